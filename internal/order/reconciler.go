// Package order brings engines to the models, versions and roles that operators
// declare, by fenced orders.
//
// The box that owns an upstream gives its orders, under a lease whose epoch is
// the fence. A few leases are shared by all boxes as permits to load weights,
// since the weight store's rate is limited.
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

// Reconciler gives orders for the upstreams that fall to this box. It is safe
// for concurrent use.
type Reconciler struct {
	// SendOrder gives an engine an order; a seam.
	SendOrder func(ctx context.Context, address string, o *upstream.Order) error
	// Owns reports whether an upstream falls to this box; a seam.
	Owns func(u *resource.Upstream) bool
	// ReadLoad reads an engine's report; a seam.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	manager     *lease.Manager
	leases      map[string]*lease.Lease // by upstream
	log         *slog.Logger
	metrics     *metric.Set
	mutex       sync.Mutex // guards leases
	loadPermits int
	view        *resource.View
}

const (
	stepTimeout = 10 * time.Second // for one engine to be brought a step further
	runInterval = 3 * time.Second
	workers     = 4
)

// New returns a reconciler that lets boxes load from the weight store only while
// they hold one of so many permits.
func New(v *resource.View, k *lease.Manager, m *metric.Set, l *slog.Logger, permits int) *Reconciler {
	return &Reconciler{manager: k, leases: make(map[string]*lease.Lease), log: l, metrics: m, loadPermits: permits, view: v}
}

// Run gives orders until the context ends.
func (r *Reconciler) Run(ctx context.Context) {
	periodic.Run(ctx, runInterval, r.reconcileAll)
}

// Step brings one engine one order further. It reports whether an order was given.
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

func (r *Reconciler) reconcileAll(ctx context.Context) {
	mine := r.view.Upstreams(func(u *resource.Upstream) bool { return u.Spec.Type == resource.UpstreamEngine && r.Owns(u) })
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
	for _, u := range mine {
		work <- u
	}
	close(work)
	g.Wait()
}

func (r *Reconciler) recordFailure(err error, u *resource.Upstream) {
	r.metrics.Count(metric.Orders, "result", fail.Reason(err))
	event.OrderFailed.Log(r.log, "upstream", u.Name, "reason", fail.Reason(err), "error", err.Error())
}

// send gives an order under a lease and reads back what came of it. The lease is
// checked at the last moment: its holder may have been paused since it took it.
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
	event.OrderGiven.Log(r.log, "upstream", u.Name, "kind", o.Kind, "model", o.Model, "version", o.Version, "fence", o.Fence)
	if u.Spec.ChecksFence {
		return true, nil
	}
	// An upstream that does not check fences may have been given an order by a
	// holder before or after this one: what it has now tells.
	l, err := r.ReadLoad(ctx, u.Spec.Address)
	if err != nil {
		return true, err
	}
	if n := r.nextOrder(u, l); n != nil && *n == (upstream.Order{Kind: o.Kind, Model: o.Model, Role: o.Role, Version: o.Version}) {
		return true, fail.New(fail.Conflict, fail.Place{Peer: "upstream " + u.Name, Step: "read back order"}, "order_undone", "the order did not last")
	}
	return true, nil
}

func (r *Reconciler) dropLease(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.leases, name)
}

// acquireLease returns a valid lease on an upstream, or nil where another box has it.
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

// nextOrder returns the order that brings an engine nearer to what is declared, or nil.
func (r *Reconciler) nextOrder(u *resource.Upstream, l *upstream.Load) *upstream.Order {
	if u.Spec.Leaving && !l.Leaving {
		return &upstream.Order{Kind: upstream.OrderRole, Role: upstream.RoleLeaving}
	}
	if !u.Spec.Leaving && l.Leaving && l.Role == upstream.RoleLeaving {
		return &upstream.Order{Kind: upstream.OrderRole, Role: upstream.RoleServing}
	}
	for _, m := range u.Spec.Models {
		if v := r.defaultVersion(m); v != "" && l.Loaded[m] != v {
			return &upstream.Order{Kind: upstream.OrderLoad, Model: m, Version: v}
		}
	}
	var loaded []string
	for m := range l.Loaded {
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

// acquireLoadPermit returns one of the leases to load from the weight store, or nil where
// all are taken. A permit is not given back: it ends by itself, which keeps
// loads apart in time as well.
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
