//go:build !race || whole

package linetiller

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/resource"
)

// connection is one connection of a box to the platform's store.
type connection struct {
	silent bool // it carries nothing more, and is not closed
}

// connections are a box's connections to the platform's store, kept and used again as an
// HTTP client does.
type connections struct {
	idle  []*connection
	mutex sync.Mutex
	next  http.RoundTripper
	open  map[*connection]bool
	muted bool // new connections are silent, too
}

// kept gives its connection back once the answer has been read.
type kept struct {
	io.ReadCloser
	release func()
}

// silenced is a region whose boxes keep their connections to the store.
type silenced struct {
	*routes
	connections map[string]*connections
}

// pollPeriod is between two looks at what boxes know.
const pollPeriod = 10 * time.Millisecond

// Close closes the answer and releases its connection.
func (k *kept) Close() error {
	defer k.release()
	return k.ReadCloser.Close()
}

// CloseIdleConnections closes the connections that are not used.
func (c *connections) CloseIdleConnections() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = nil
}

// RoundTrip makes one call, over a kept connection where there is one.
func (c *connections) RoundTrip(q *http.Request) (*http.Response, error) {
	x := c.take()
	w, err := c.next.RoundTrip(q)
	if c.holds(x) {
		if err == nil {
			_ = w.Body.Close() // it does not come
		}
		<-q.Context().Done()
		c.drop(x)
		return nil, q.Context().Err()
	}
	if err != nil {
		c.drop(x)
		return nil, err
	}
	w.Body = &kept{ReadCloser: w.Body, release: sync.OnceFunc(func() { c.release(x) })}
	return w, nil
}

// silence makes the open connections carry nothing more.
func (c *connections) silence() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for x := range c.open {
		x.silent = true
	}
}

// mute makes new connections silent as well, or not.
func (c *connections) mute(on bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.muted = on
}

func (c *connections) drop(x *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, x)
}

func (c *connections) holds(x *connection) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return x.silent
}

func (c *connections) release(x *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, x)
}

func (c *connections) take() *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n := len(c.idle); n > 0 {
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return x
	}
	x := &connection{silent: c.muted}
	c.open[x] = true
	return x
}

// withSilence runs f with halls of three boxes each and six engines, after some time, in which
// reads come to lie differently.
func withSilence(t *testing.T, halls string, settle time.Duration, f func(t *testing.T, r *silenced)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &silenced{connections: make(map[string]*connections), routes: &routes{region: newRegion(t), routed: make(map[string]*routed.Engine)}}
		defer r.close()
		r.configure(1, routedKey)
		for i := range 6 {
			r.startRouted(fmt.Sprintf("i-%c%d", halls[i%len(halls)], i+1))
		}
		for i := range 3 * len(halls) {
			r.startKeeping(fmt.Sprintf("box-%c%d", halls[i%len(halls)], i+1))
		}
		time.Sleep(10*time.Second + settle)
		f(t, r)
	})
}

// startKeeping starts a box that keeps its connections to the store.
func (r *silenced) startKeeping(name string) {
	c := &connections{next: &reach{from: name, region: r.region}, open: make(map[*connection]bool)}
	r.connections[name] = c
	r.platformOf[name] = c
	r.startRouter(name)
}

// readers returns the boxes that read the store while all is well, the one that reads most first.
func (r *silenced) readers() []string {
	before := r.storeCalls()
	time.Sleep(15 * time.Second)
	after := r.storeCalls()
	var l []string
	for n := range after {
		if after[n] > before[n] {
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b string) int { return (after[b] - before[b]) - (after[a] - before[a]) })
	return l
}

// someReadersFirst returns the boxes, those first that read the store, the others as drawn.
func (r *silenced) someReadersFirst(seed uint64) []string {
	l := r.readers()
	n := len(l)
	for _, b := range slices.Sorted(maps.Keys(r.boxes)) {
		if !slices.Contains(l, b) {
			l = append(l, b)
		}
	}
	x := rand.New(rand.NewPCG(seed, 0))
	x.Shuffle(len(l)-n, func(i, j int) { l[n+i], l[n+j] = l[n+j], l[n+i] })
	return l
}

// inForce writes a configuration and a shutdown notice of an engine, and returns how long
// after them the last box went by each; most where one does not by then.
func (r *silenced) inForce(version int, engine string, most time.Duration) (key, leaving time.Duration) {
	r.configure(version, fmt.Sprint("key-", version))
	r.listRouted(engine, "draining")
	return r.knownAfter(version, engine, most)
}

// knownAfter returns how long it takes until the last box goes by a configuration, and by a
// shutdown notice.
func (r *silenced) knownAfter(version int, engine string, most time.Duration) (key, leaving time.Duration) {
	began := time.Now()
	key, leaving = most, most
	for time.Since(began) < most {
		knows, leaves := true, true
		for n, b := range r.boxes {
			if r.isDark(n, n) {
				continue
			}
			knows = knows && b.view.Revisions()[resource.SourceConfiguration] >= int64(version)
			u := b.view.Upstream(engine)
			leaves = leaves && (u == nil || !u.AcceptsWork(time.Now()))
		}
		if knows {
			key = min(key, time.Since(began))
		}
		if leaves {
			leaving = min(leaving, time.Since(began))
		}
		if knows && leaves {
			break
		}
		time.Sleep(pollPeriod)
	}
	return key, leaving
}

// applyPeriod is the users' bound on when a change has to be in force, and on when a shutdown notice has to
// be known.
const applyPeriod = 2 * time.Second

// checkInForce changes the configuration and has an engine leave, and checks that both are
// known everywhere in time.
func (r *silenced) checkInForce(t *testing.T, most time.Duration) {
	t.Helper()
	key, leaving := r.inForce(2, "i-"+firstHall(r)+"1", 6*time.Second)
	t.Logf("key %v, leaving %v", key, leaving)
	if key > most {
		t.Errorf("the new key was in force everywhere after %v, want at most %v", key, most)
	}
	if leaving > most {
		t.Errorf("the shutdown notice was known everywhere after %v, want at most %v", leaving, most)
	}
}

// firstHall returns the hall of the first engine.
func firstHall(r *silenced) string {
	for n := range r.routed {
		if n[3] == '1' {
			return n[2:3]
		}
	}
	return ""
}

// TestChangesWhereWaitingReadsAreLost has all connections to the store that are open carry nothing
// more, while new ones work, right before a change, at moments over four seconds: a reader
// that waits for changes went by its old view until its read ran out.
func TestChangesWhereWaitingReadsAreLost(t *testing.T) {
	for _, halls := range []string{"a", "ab", "abc"} {
		for settle := time.Duration(0); settle < 4*time.Second; settle += 370 * time.Millisecond {
			t.Run(fmt.Sprint(halls, " ", settle), func(t *testing.T) {
				withSilence(t, halls, settle, func(t *testing.T, r *silenced) {
					for _, c := range r.connections {
						c.silence()
					}
					r.checkInForce(t, applyPeriod)
				})
			})
		}
	}
}

// TestChangesWhereReadersLoseTheStoreInTurn has the store fall silent to a few boxes one
// after another, those that read it first, right before a change: each step of the failover
// was waited for.
func TestChangesWhereReadersLoseTheStoreInTurn(t *testing.T) {
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(gap, " ", seed), func(t *testing.T) {
				withSilence(t, "abc", time.Duration(seed)*530*time.Millisecond, func(t *testing.T, r *silenced) {
					for i, b := range r.someReadersFirst(seed)[:3] {
						if i > 0 {
							time.Sleep(gap)
						}
						r.connections[b].silence()
						r.connections[b].mute(true)
					}
					r.checkInForce(t, applyPeriod)
				})
			})
		}
	}
}

// TestChangesWhoseSenderLosesPower has a box lose power right after its message has told others that it
// knows of a change: they asked it in vain, and asked nobody else until they had given up.
func TestChangesWhoseSenderLosesPower(t *testing.T) {
	for teller := range 9 {
		t.Run(fmt.Sprint(teller), func(t *testing.T) {
			withSilence(t, "abc", time.Duration(teller)*130*time.Millisecond, func(t *testing.T, r *silenced) {
				l := r.someReadersFirst(uint64(teller))
				r.delivered = func(from string, q *box.Request) {
					if from == l[teller] && q.Kind == box.KindHeartbeat && q.Revisions[resource.SourceConfiguration] == 2 {
						r.darken(from)
					}
				}
				r.checkInForce(t, applyPeriod/2)
			})
		})
	}
}

// TestEveryBoxKnowsThatItsViewIsCurrent checks the age of what the boxes of three halls know, in
// calm and while no new configuration is written, and that it grows while the store is silent.
func TestEveryBoxKnowsThatItsViewIsCurrent(t *testing.T) {
	withSilence(t, "abc", 0, func(t *testing.T, r *silenced) {
		const calm, silence = 6 * time.Second, 15 * time.Second
		for range 20 {
			time.Sleep(time.Second)
			for n, b := range r.boxes {
				if got := b.follower.ViewAge(); got == 0 || got > calm {
					t.Errorf("%s: got a view of age %v, want at most %v", n, got, calm)
				}
			}
		}
		for _, c := range r.connections {
			c.silence()
			c.mute(true)
		}
		time.Sleep(silence)
		for n, b := range r.boxes {
			if got, want := b.follower.ViewAge(), silence-calm; got < want {
				t.Errorf("%s: got a view of age %v in a silence, want at least %v", n, got, want)
			}
		}
	})
}

// TestNewKeyWhileTheStoreIsSilent gives a key, and takes one away, while the store is silent to all boxes:
// none refuses the new key for good, and all serve it once the store is back.
func TestNewKeyWhileTheStoreIsSilent(t *testing.T) {
	withSilence(t, "ab", 0, func(t *testing.T, r *silenced) {
		for _, c := range r.connections {
			c.silence()
			c.mute(true)
		}
		time.Sleep(10 * time.Second)
		r.configure(2, "new-key")
		time.Sleep(5 * time.Second)
		for n := range r.boxes {
			if _, _, got := r.plan(n, "early-"+n, "new-key", 8); got != http.StatusServiceUnavailable {
				t.Errorf("%s: the new key in the silence: got status %d, want 503", n, got)
			}
			if _, whole, got := r.plan(n, "old-"+n, routedKey, 8); !whole {
				t.Errorf("%s: the old key in the silence: got status %d, want a whole stream", n, got)
			}
		}
		for _, c := range r.connections {
			c.mute(false)
		}
		time.Sleep(5 * time.Second)
		for n := range r.boxes {
			if _, whole, got := r.plan(n, "late-"+n, "new-key", 8); !whole {
				t.Errorf("%s: the new key afterwards: got status %d, want a whole stream", n, got)
			}
			if _, _, got := r.plan(n, "gone-"+n, routedKey, 8); got != http.StatusUnauthorized {
				t.Errorf("%s: the key that was taken away: got status %d, want 401", n, got)
			}
		}
	})
}
