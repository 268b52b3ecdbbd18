package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fail"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// testBox is one box of a random schedule.
type testBox struct {
	disconnected   bool // from the store
	follower       *Follower
	delayedAnswers []func() // responses to its calls that have not arrived yet
	maxRevision    int64    // the highest revision that its view ever had
	staleAt        int64    // the revision at which its reads of the table are stuck, 0 if they are not
	view           *resource.View
}

// cluster is a set of boxes, the table that they read, and the writes that were accepted.
type cluster struct {
	accepted map[string]table.Row // by name: the newest accepted row of a resource
	history  []table.Row
	boxes    []*testBox
	table    *fakeplatform.Platform
}

func newCluster(n int) *cluster {
	w := &cluster{accepted: make(map[string]table.Row), table: fakeplatform.New()}
	for i := range n {
		w.restart(i)
	}
	return w
}

// restart starts box i without any state.
func (w *cluster) restart(i int) {
	p := &testBox{view: resource.NewView()}
	m := member.NewTable(box.Member{Address: fmt.Sprint(i), Hall: "a", Name: fmt.Sprint(i), State: box.StateServing})
	p.follower = NewFollower(p.view, m, slog.New(slog.DiscardHandler))
	p.follower.Add(resource.SourceResources, ResourceReader(func(_ context.Context, _ string, after int64, _ time.Duration) (*table.Changes, error) {
		return w.read(p, after)
	}))
	p.follower.Call = func(_ context.Context, address string, q *box.Request) (*box.Reply, error) {
		n := 0
		_, _ = fmt.Sscan(address, &n)
		return &box.Reply{Changes: w.boxes[n].view.Missing(q.Revisions)}, nil
	}
	if i < len(w.boxes) {
		w.boxes[i] = p
		return
	}
	w.boxes = append(w.boxes, p)
}

// read reads the table as a box sees it: not at all, in a stale state, or as it is.
func (w *cluster) read(p *testBox, after int64) (*table.Changes, error) {
	if p.disconnected {
		return nil, fail.New(fail.Unavailable, fail.Origin{}, "platform_down", "cut")
	}
	c := &table.Changes{}
	newest := make(map[string]table.Row)
	for _, r := range w.history {
		if r.Revision > after && (p.staleAt == 0 || r.Revision <= p.staleAt) {
			newest[r.Key] = r
			c.Revision = r.Revision
		}
	}
	for _, r := range newest {
		c.Rows = append(c.Rows, r)
	}
	slices.SortFunc(c.Rows, func(a, b table.Row) int { return int(a.Revision - b.Revision) })
	return c, nil
}

func (w *cluster) write(name string, deleted bool) {
	key := ResourceKey(resource.KindPriority, name)
	b, _ := json.Marshal(ResourceRow{Deleted: deleted, Resource: &resource.Resource{
		Kind: resource.KindPriority, Metadata: resource.Metadata{Name: name}, Spec: []byte(`{"value":1}`),
	}})
	r := w.table.Commit(&table.Transaction{Writes: []table.Write{{Key: key, Value: b}}})
	row := table.Row{Key: key, Revision: r.Revision, Value: b}
	w.history = append(w.history, row)
	w.accepted[name] = row
}

// TestConfigurationNeverReverts runs random schedules of writes, reads that fail or return stale
// data, responses that arrive late and out of order, boxes that catch up from each other, and boxes
// that restart. After each step, no revision of a box and of a resource may have decreased. In the
// end, once all boxes are connected again, each must have every accepted write.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		w := newCluster(boxes)
		seen := make([]map[string]int64, boxes)
		for i := range seen {
			seen[i] = make(map[string]int64)
		}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, boxes-1).Draw(t, "box") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				w.write(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			},
			"other write": func(*rapid.T) {
				w.table.Commit(&table.Transaction{Writes: []table.Write{{Key: "request/w/k", Value: []byte("{}")}}})
			},
			"cut": func(t *rapid.T) {
				p := w.boxes[pick(t)]
				p.disconnected = !p.disconnected
			},
			"stale": func(t *rapid.T) {
				p := w.boxes[pick(t)]
				p.staleAt = int64(rapid.IntRange(0, len(w.history)).Draw(t, "revision"))
			},
			"read": func(t *rapid.T) { _ = w.boxes[pick(t)].follower.Refresh(context.Background()) },
			"catch up": func(t *rapid.T) {
				a, b := pick(t), pick(t)
				_ = w.boxes[a].follower.CatchUp(context.Background(), fmt.Sprint(b), w.boxes[b].view.Revisions())
			},
			"ask": func(t *rapid.T) {
				p := w.boxes[pick(t)]
				l := w.boxes[pick(t)].view.Missing(p.view.Revisions())
				p.delayedAnswers = append(p.delayedAnswers, func() {
					for i := range l {
						p.follower.apply(&l[i], "late")
					}
				})
			},
			"late answer": func(t *rapid.T) {
				p := w.boxes[pick(t)]
				if len(p.delayedAnswers) == 0 {
					t.Skip("no response is delayed")
				}
				i := rapid.IntRange(0, len(p.delayedAnswers)-1).Draw(t, "answer")
				p.delayedAnswers[i]()
				p.delayedAnswers = append(p.delayedAnswers[:i], p.delayedAnswers[i+1:]...)
			},
			"start anew": func(t *rapid.T) {
				i := pick(t)
				w.restart(i)
				seen[i] = make(map[string]int64)
			},
			"": func(t *rapid.T) {
				for i, p := range w.boxes {
					if got := p.view.Revision(); got < p.maxRevision {
						t.Fatalf("box %d: revision decreased from %d to %d", i, p.maxRevision, got)
					}
					p.maxRevision = p.view.Revision()
					for _, r := range p.view.List("") {
						if got, want := r.Revision(), seen[i][r.Metadata.Name]; got < want {
							t.Fatalf("box %d: revision of %s decreased from %d to %d", i, r.Metadata.Name, want, got)
						}
						seen[i][r.Metadata.Name] = r.Revision()
					}
				}
			},
		})
		w.boxes[0].disconnected, w.boxes[0].staleAt = false, 0
		_ = w.boxes[0].follower.Refresh(context.Background())
		for i, p := range w.boxes {
			_ = p.follower.CatchUp(context.Background(), "0", w.boxes[0].view.Revisions())
			for name, row := range w.accepted {
				v := new(ResourceRow)
				_ = json.Unmarshal(row.Value, v)
				got := p.view.Get(resource.KindPriority, name)
				if v.Deleted != (got == nil) || (got != nil && got.Revision() != row.Revision) {
					t.Fatalf("box %d: %s: got %+v, want revision %d, deleted %v", i, name, got, row.Revision, v.Deleted)
				}
			}
		}
	})
}

// TestReadersAreFew checks how many of the 300 boxes of a hall read the store.
func TestReadersAreFew(t *testing.T) {
	readers := 0
	for i := range 300 {
		self := box.Member{Hall: "a", Name: fmt.Sprint(i), State: box.StateServing}
		m := member.NewTable(self)
		var l []box.Member
		for j := range 300 {
			l = append(l, box.Member{Hall: "a", Name: fmt.Sprint(j), State: box.StateServing})
		}
		m.ApplyList(l, testNow)
		if NewFollower(resource.NewView(), m, nil).ReadsStore() {
			readers++
		}
	}
	if got, want := readers, readersPerHall; got != want {
		t.Errorf("readers: got %d, want %d", got, want)
	}
}

// TestReadersAreFewOverAllHalls checks that of 295 boxes in five halls two, in different halls,
// read the store in normal operation. Every other box must watch one closer to the store, in short
// chains and with few that watch the same one.
func TestReadersAreFewOverAllHalls(t *testing.T) {
	var l []box.Member
	for i := range 295 {
		l = append(l, box.Member{Hall: fmt.Sprint("hall-", i%5), Name: fmt.Sprint(i), State: box.StateServing})
	}
	roles := make(map[readerRole]int)
	peers := make(map[string]string)
	watchers := make(map[string]int)
	halls := make(map[string]bool)
	for _, self := range l {
		m := member.NewTable(self)
		m.ApplyList(l, testNow)
		f := NewFollower(resource.NewView(), m, nil)
		a := f.assignment()
		roles[a.role]++
		if len(a.peers) > 0 {
			peers[self.Name] = a.peers[0]
			watchers[a.peers[0]]++
		}
		if a.role != roleNone {
			halls[self.Hall] = true
		}
	}
	if got, want := fmt.Sprint(roles), "map[first:1 none:293 standby:1]"; got != want {
		t.Errorf("roles: got %s, want %s", got, want)
	}
	if got, want := len(halls), 2; got != want {
		t.Errorf("halls with readers: got %d, want %d", got, want)
	}
	if got, want := len(peers), len(l)-1; got != want {
		t.Errorf("boxes that watch others: got %d, want %d", got, want)
	}
	for n, got := range watchers {
		if want := watchersPerBox + 4; got > want { // of its hall, and the first readers of the other halls
			t.Errorf("boxes that watch %s: got %d, want at most %d", n, got, want)
		}
	}
	for n := range peers {
		for i := 0; peers[n] != ""; i++ {
			if n = peers[n]; i > 4 {
				t.Fatalf("got a chain of more than five boxes at %s", n)
			}
		}
	}
}

var testNow = time.Unix(1000, 0)

// TestNoBoxesWaitForEachOther checks, for every set of lost boxes of halls of up to nine, that each other box watches one
// before it that is not lost or, if all that it may watch are lost, reads the store itself; and that some box reads.
func TestNoBoxesWaitForEachOther(t *testing.T) {
	for n := 1; n <= 9; n++ {
		var l []box.Member
		for i := range n {
			l = append(l, box.Member{Hall: "a", Name: fmt.Sprint(i), State: box.StateServing})
		}
		for lost := range 1 << n {
			read := 0
			for i, self := range l {
				if lost&(1<<i) != 0 {
					continue
				}
				m := member.NewTable(self)
				m.ApplyList(l, testNow)
				f := NewFollower(resource.NewView(), m, nil)
				order := f.responsiveRank("a")
				a := f.assignment()
				for _, p := range a.peers {
					if slices.Index(order, p) >= slices.Index(order, self.Name) {
						t.Fatalf("%d of %d boxes, %b lost: watches %s, which is behind it in %v", i, n, lost, p, order)
					}
				}
				isLost := func(p string) bool {
					return lost&(1<<slices.IndexFunc(l, func(x box.Member) bool { return x.Name == p })) != 0
				}
				if len(a.peers) == 0 || !slices.ContainsFunc(a.peers, func(p string) bool { return !isLost(p) }) {
					read++ // it finds none that responds
				}
			}
			if read == 0 && lost != 1<<n-1 {
				t.Fatalf("%d boxes, %b lost: no box reads the store", n, lost)
			}
		}
	}
}

// TestOrderHealsAfterALoss checks that boxes that do not respond are left out of the order, so that the next ones become
// the readers, and that the order is as before once they respond.
func TestOrderHealsAfterALoss(t *testing.T) {
	self := box.Member{Hall: "a", Name: "0", State: box.StateServing}
	m := member.NewTable(self)
	var l []box.Member
	for i := range 9 {
		l = append(l, box.Member{Hall: "a", Name: fmt.Sprint(i), State: box.StateServing})
	}
	m.ApplyList(l, testNow)
	f := NewFollower(resource.NewView(), m, nil)
	before := f.responsiveRank("a")
	closer := before[:slices.Index(before, self.Name)]
	for _, n := range closer {
		f.setUnresponsive(n, true)
	}
	if a := f.assignment(); a.role != rolePrimary || len(a.peers) > 0 {
		t.Errorf("with all boxes before it lost: got %+v, want the first reader", a)
	}
	for _, n := range closer {
		f.setUnresponsive(n, false)
	}
	if got := f.responsiveRank("a"); !slices.Equal(got, before) {
		t.Errorf("order once they respond: got %v, want %v", got, before)
	}
}
