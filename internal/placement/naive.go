package placement

import (
	"context"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Naive is the baseline policy: it sends requests directly to the upstream with the lowest
// reported load. It is safe for concurrent use.
type Naive struct {
	// ReadLoad reads the load report of the upstream at an address. It must be set before Run.
	ReadLoad func(ctx context.Context, address string) (*upstream.Load, error)

	interval time.Duration // between reads of all load reports
	mutex    sync.Mutex    // guards policy
	policy   *policy.Naive
	view     *resource.View
}

// NewNaive returns the baseline policy for the upstreams in v. It reads every upstream's load
// report once per interval.
func NewNaive(v *resource.View, interval time.Duration, seed uint64) *Naive {
	return &Naive{interval: interval, policy: policy.NewNaive(seed), view: v}
}

// Place returns the upstream with the lowest reported load that is not in avoid.
func (p *Naive) Place(_ context.Context, w *policy.Work, avoid map[string]bool) (*Place, error) {
	var c []policy.Candidate
	now := time.Now()
	for _, u := range p.view.UpstreamsOfModel(w.Model) {
		if u.AcceptsWork(now) && w.AllowsHall(u.Spec.Hall) {
			c = append(c, policy.Candidate{Name: u.Name})
		}
	}
	p.mutex.Lock()
	n := p.policy.Choose(c, func(n string) bool { return !avoid[n] })
	p.mutex.Unlock()
	u := p.view.Upstream(n)
	if u == nil {
		return nil, fail.New(fail.NotRun, fail.Origin{Peer: "upstreams", Step: "choose"},
			string(policy.ReasonNoUpstream), "no upstream takes new work for model %q", w.Model)
	}
	return &Place{GrantedAt: time.Now(), Upstream: u}, nil
}

// Run reads load reports until the context ends.
func (p *Naive) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, u := range p.view.Upstreams(func(u *resource.Upstream) bool { return u.Spec.Type == resource.UpstreamEngine }) {
			l, err := p.ReadLoad(ctx, u.Spec.Address)
			if err != nil {
				continue
			}
			p.mutex.Lock()
			p.policy.SetReport(u.Name, policy.Report{AsOf: l.AsOf, Running: l.Running, UsedTokens: l.UsedTokens, Waiting: l.Waiting})
			p.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.interval):
		}
	}
}
