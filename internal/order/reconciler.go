// Package order reconciles engines with the models, versions and roles that operators declare, by
// sending them orders that carry a fencing token.
//
// The box that owns an upstream sends it orders while it holds a lease on it, whose epoch is the
// fencing token. To limit the rate of reads from the weight store, all boxes share a small number
// of further leases as permits to load weights.
package order

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/lease"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/periodic"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Reconciler sends orders to the upstreams that this box owns. It is safe for concurrent use.
// SendOrder, Owns and ReadLoad must be set before first use.
type Reconciler struct {
	// SendOrder sends an order to the engine at the address.
	SendOrder func(ctx context.Context, address string, o *upstream.Order) error
	// Owns reports whether this box owns the upstream.
	Owns func(u *resource.Upstream) bool
	// ReadLoad reads the load report of the engine at the address.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	manager     *lease.Manager
	leases      map[string]*lease.Lease // by upstream
	log         *slog.Logger
	metrics     *metric.Set
	mutex       sync.Mutex // guards leases
	loadPermits int        // number of permits to load weights
	view        *resource.View
}

const (
	stepTimeout = 10 * time.Second // for one step of one engine
	runInterval = 3 * time.Second
	workers     = 4 // engines that are reconciled at the same time
)

// New returns a reconciler. Boxes load from the weight store only while they hold one of the given
// number of permits, which all boxes share.
func New(v *resource.View, k *lease.Manager, m *metric.Set, l *slog.Logger, permits int) *Reconciler {
	return &Reconciler{manager: k, leases: make(map[string]*lease.Lease), log: l, metrics: m, loadPermits: permits, view: v}
}

// Run reconciles all engines of this box every runInterval until the context ends.
func (r *Reconciler) Run(ctx context.Context) {
	periodic.Run(ctx, runInterval, r.reconcileAll)
}

// Step sends an engine the next order that it needs. It reports whether an order was sent; none is
// if the engine is in the declared state or if a lease is held by another box.
func (r *Reconciler) Step(ctx context.Context, u *resource.Upstream) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	l, err := r.ReadLoad(ctx, u.Spec.Address)
	if err != nil {
		return false, err
	}
	o := r.nextOrder(u, l)
	if o == nil {
		return false, nil
	}
	h, err := r.acquireLease(ctx, u.Name)
	if err != nil || h == nil {
		return false, err
	}
	if o.Kind == upstream.OrderLoad {
		p, err := r.acquireLoadPermit(ctx)
		if err != nil || p == nil {
			return false, err
		}
	}
	return r.send(ctx, u, h, o)
}

// acquireLease returns a valid lease on an upstream, or nil if another box holds it.
func (r *Reconciler) acquireLease(ctx context.Context, name string) (*lease.Lease, error) {
	r.mutex.Lock()
	l := r.leases[name]
	r.mutex.Unlock()
	if l != nil && l.Valid(time.Now()) {
		return l, nil
	}
	l, err := r.manager.Renew(ctx, "upstream/"+name, l)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.leases, name)
	if l != nil {
		r.leases[name] = l
	}
	return l, err
}

// acquireLoadPermit acquires one of the leases that permit a load from the weight store. It returns
// nil if all are taken. Permits are not released but expire, which also spaces out the loads.
func (r *Reconciler) acquireLoadPermit(ctx context.Context) (*lease.Lease, error) {
	for i := range r.loadPermits {
		l, err := r.manager.Acquire(ctx, fmt.Sprintf("weights/%d", i))
		if l != nil || err != nil {
			return l, err
		}
	}
	r.metrics.Count(metric.Orders, "result", "weights_busy")
	return nil, nil
}

// defaultVersion returns the declared version of a model, or "" if there is none.
func (r *Reconciler) defaultVersion(model string) string {
	x := r.view.Get(resource.KindModel, model)
	if x == nil {
		return ""
	}
	s, err := resource.Decode[resource.ModelSpec](x)
	if err != nil {
		return ""
	}
	return s.Default
}

// dropLease makes this box acquire the lease on an upstream again before its next order.
func (r *Reconciler) dropLease(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.leases, name)
}

// nextOrder returns the next order that an engine with the reported load needs to reach the declared
// state, or nil if it has reached it.
func (r *Reconciler) nextOrder(u *resource.Upstream, l *upstream.Load) *upstream.Order {
	if u.Spec.Leaving && !l.Leaving {
		return &upstream.Order{Kind: upstream.OrderRole, Role: upstream.RoleLeaving}
	}
	if !u.Spec.Leaving && l.Leaving && l.Role == upstream.RoleLeaving {
		return &upstream.Order{Kind: upstream.OrderRole, Role: upstream.RoleServing}
	}
	for _, m := range u.Spec.Models {
		if v := r.defaultVersion(m); v != "" && l.LoadedVersions[m] != v {
			return &upstream.Order{Kind: upstream.OrderLoad, Model: m, Version: v}
		}
	}
	var loaded []string
	for m := range l.LoadedVersions {
		loaded = append(loaded, m)
	}
	slices.Sort(loaded)
	for _, m := range loaded {
		if !slices.Contains(u.Spec.Models, m) {
			return &upstream.Order{Kind: upstream.OrderUnload, Model: m}
		}
	}
	return nil
}

// reconcileAll does one step for each engine that this box owns.
func (r *Reconciler) reconcileAll(ctx context.Context) {
	owned := r.view.Upstreams(func(u *resource.Upstream) bool { return u.Spec.Type == resource.UpstreamEngine && r.Owns(u) })
	work := make(chan *resource.Upstream)
	var g sync.WaitGroup
	for range workers {
		g.Go(func() {
			for u := range work {
				if _, err := r.Step(ctx, u); err != nil {
					r.recordFailure(err, u)
				}
			}
		})
	}
	for _, u := range owned {
		work <- u
	}
	close(work)
	g.Wait()
}

// recordFailure counts and logs a step that failed.
func (r *Reconciler) recordFailure(err error, u *resource.Upstream) {
	r.metrics.Count(metric.Orders, "result", fail.Reason(err))
	event.OrderFailed.Log(r.log, "upstream", u.Name, "reason", fail.Reason(err), "error", err.Error())
}

// send sends an order under the lease h. The lease is checked immediately before, because this
// process may have been paused since it was acquired. If the upstream does not check fencing tokens,
// send reads its state back and returns an error if the order was undone.
func (r *Reconciler) send(ctx context.Context, u *resource.Upstream, h *lease.Lease, o *upstream.Order) (bool, error) {
	if !h.Valid(time.Now()) {
		r.dropLease(u.Name)
		return false, nil
	}
	o.Fence = h.Epoch
	if err := r.SendOrder(ctx, u.Spec.Address, o); err != nil {
		if errorx.IsOfType(err, fail.Conflict) {
			r.dropLease(u.Name)
		}
		return false, err
	}
	r.metrics.Count(metric.Orders, "result", "given")
	event.OrderSent.Log(r.log, "upstream", u.Name, "kind", o.Kind, "model", o.Model, "version", o.Version, "fence", o.Fence)
	if u.Spec.ChecksFence {
		return true, nil
	}
	// Without a check of fencing tokens, an order of an earlier or later lease holder may have
	// replaced this one. The reported state shows whether it did.
	l, err := r.ReadLoad(ctx, u.Spec.Address)
	if err != nil {
		return true, err
	}
	if n := r.nextOrder(u, l); n != nil && *n == (upstream.Order{Kind: o.Kind, Model: o.Model, Role: o.Role, Version: o.Version}) {
		return true, fail.New(fail.Conflict, fail.Origin{Peer: "upstream " + u.Name, Step: "read back order"}, "order_undone", "the upstream no longer has the state that the order set")
	}
	return true, nil
}
