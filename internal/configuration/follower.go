// Package configuration keeps a box's view of the resources up to date, from
// the platform's table or from boxes that are ahead.
package configuration

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/platform"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// Prefix is the prefix of the resources' rows in the table.
const Prefix = "resource/"

const (
	catchUpPeriod  = time.Second
	readEvery      = time.Second
	readersPerHall = 2
	retryMost      = 15 * time.Second
)

// Follower keeps one view up to date. It is safe for concurrent use.
type Follower struct {
	// Ask sends a request to another box; a seam for tests.
	Ask func(ctx context.Context, address string, q *box.Request) (*box.Reply, error)
	// Read reads the table's changes after a revision; a seam for tests.
	Read func(ctx context.Context, after int64) (*platform.Changes, error)
	// Spread draws a number in [0, 1) by which retries are spread out.
	Spread func() float64

	log     *slog.Logger
	members *member.Table
	turn    chan struct{} // holds one value while a catch-up is under way
	view    *resource.View
}

// NewFollower returns a follower that keeps v up to date.
func NewFollower(v *resource.View, m *member.Table, l *slog.Logger) *Follower {
	return &Follower{log: l, members: m, turn: make(chan struct{}, 1), view: v}
}

// CatchUp brings the view to at least revision r by asking the box at address.
// One catch-up goes at a time, so that many messages from a box that is ahead
// make one; waiting for its turn ends with the context. Reads of the table are
// not held up by it, nor it by them: the view takes changes in any order.
func (f *Follower) CatchUp(ctx context.Context, address string, r int64) error {
	if f.view.Revision() >= r {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpPeriod)
	defer cancel()
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.turn }()
	have := f.view.Revision()
	if have >= r {
		return nil
	}
	p, err := f.Ask(ctx, address, &box.Request{After: have, From: f.members.Self(), Kind: box.KindChanges, Revision: have})
	if err != nil {
		return err
	}
	f.apply(p.Changes, p.Revision, "box "+address)
	return nil
}

// Refresh brings the view up to date from the table.
func (f *Follower) Refresh(ctx context.Context) error {
	c, err := f.Read(ctx, f.view.Revision())
	if err != nil {
		return err
	}
	changes, r := fromRows(c.Rows)
	f.apply(changes, r, "platform")
	return nil
}

// Run reads the table regularly while this box is one of its hall's readers,
// until the context ends. After a failure it waits longer each time, spread
// out, so that boxes do not all return at once.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for {
		wait := readEvery
		if f.reads() {
			failures = f.readOnce(ctx, failures)
		}
		if failures > 0 {
			wait = min(retryMost, readEvery<<min(failures, 5))
			wait = wait/2 + time.Duration(f.Spread()*float64(wait)/2)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (f *Follower) apply(c []resource.Change, r int64, from string) {
	if f.view.Apply(c, r) {
		event.RevisionApplied.Log(f.log, "revision", f.view.Revision(), "changes", len(c), "from", from)
	}
}

func (f *Follower) readOnce(ctx context.Context, failures int) int {
	err := f.Refresh(ctx)
	if err != nil {
		if failures == 0 && ctx.Err() == nil {
			event.PlatformDown.Log(f.log, "step", fail.Step(err), "error", err.Error())
		}
		return failures + 1
	}
	if failures > 0 {
		event.PlatformBack.Log(f.log)
	}
	return 0
}

// reads reports whether this box is one of the few of its hall that read the
// table; the others hear of changes from them.
func (f *Follower) reads() bool {
	s := f.members.Self()
	l := policy.Rank("reader", f.members.Alive(s.Hall))
	for _, n := range l[:min(readersPerHall, len(l))] {
		if n == s.Name {
			return true
		}
	}
	return len(l) == 0
}

// Key returns the key of a resource's row.
func Key(k resource.Kind, name string) string {
	return Prefix + string(k) + "/" + name
}

// fromRows returns the changes that rows hold, and the highest revision of them.
//
// The table's own revision is not used: it rises with rows of other prefixes,
// and the configuration's must rise with its own changes only.
func fromRows(rows []platform.Row) ([]resource.Change, int64) {
	var l []resource.Change
	r := int64(0)
	for _, x := range rows {
		r = max(r, x.Revision)
		v := new(Value)
		if json.Unmarshal(x.Value, v) != nil || v.Resource == nil {
			continue
		}
		l = append(l, resource.Change{Deleted: v.Deleted, Resource: Versioned(v.Resource, x.Revision), Revision: x.Revision})
	}
	return l, r
}
