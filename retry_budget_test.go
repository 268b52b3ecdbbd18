//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/fake/routed"
	fakeservice "github.com/linetiller/linetiller/internal/fake/service"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
	"github.com/linetiller/linetiller/internal/table"
)

// retryUsage is how many retries all boxes together made in one window of the retry budget.
type retryUsage struct {
	allowed  float64
	from     time.Time
	requests int
	retries  int
}

// worstRetryUsage returns the usage of the window in which the retries at plain upstreams exceed the
// allowed ones by most, or come closest to them. Every arrival beyond the first of its request is a
// retry. The requests are those sent in that window, in the preceding one or in the one half a window
// earlier, whichever are most.
func (c *callers) worstRetryUsage(b settings.RetryBudget) retryUsage {
	var arrivals []routed.Arrival
	for _, n := range plainUpstreams {
		arrivals = append(arrivals, c.region.upstreams[n].Arrivals()...)
	}
	slices.SortFunc(arrivals, func(x, y routed.Arrival) int { return x.At.Compare(y.At) })
	var retries, requests []time.Time
	seen := make(map[string]bool)
	for i := range arrivals {
		if x := &arrivals[i]; seen[x.Request] {
			retries = append(retries, x.At)
		}
		seen[arrivals[i].Request] = true
	}
	for _, x := range c.sentRequests {
		requests = append(requests, x.sentAt)
	}
	w := b.Window.Duration
	worst := retryUsage{retries: -1}
	for _, from := range retries {
		u := retryUsage{from: from, retries: countWithin(retries, from, w)}
		for _, earlier := range []time.Duration{0, w / 2, w} {
			u.requests = max(u.requests, countWithin(requests, from.Add(-earlier), w))
		}
		u.allowed = b.Ratio*float64(u.requests) + b.Extra
		if worst.retries < 0 || float64(u.retries)-u.allowed > float64(worst.retries)-worst.allowed {
			worst = u
		}
	}
	return worst
}

// countWithin counts the times in the window that starts at from.
func countWithin(l []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range l {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// restartEntryBoxes kills boxes, all before the first one starts again.
func (r *routedRegion) restartEntryBoxes(boxes ...string) {
	for _, n := range boxes {
		r.kill(n)
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range boxes {
		r.link.SetDown(n, false)
		r.link.SetDown(n+"-entry", false)
		r.startEntryBox(n)
	}
}

// TestRetryBudgetHoldsWhileBoxesRestart guards against boxes that exceed the retry budget together
// because each process starts with a full share of it.
func TestRetryBudgetHoldsWhileBoxesRestart(t *testing.T) {
	allTimes := func(times int, pause time.Duration) func(r *routedRegion) {
		return func(r *routedRegion) {
			for range times {
				time.Sleep(pause)
				r.restartEntryBoxes(boxesByHall...)
			}
		}
	}
	for _, x := range []struct {
		name    string
		fault   routed.Faults
		disrupt func(r *routedRegion)
	}{
		{"no restart", routed.Faults{Status: http.StatusInternalServerError}, func(*routedRegion) {}},
		{"all once", routed.Faults{Status: http.StatusInternalServerError}, allTimes(1, 5*time.Second)},
		{"all twice", routed.Faults{Status: http.StatusInternalServerError}, allTimes(2, 4*time.Second)},
		{"all seven times", routed.Faults{Status: http.StatusInternalServerError}, allTimes(7, time.Second)},
		{"all seven times, requests rejected", routed.Faults{RefuseStatus: http.StatusServiceUnavailable}, allTimes(7, time.Second)},
		{"in turn, all the time", routed.Faults{Status: http.StatusInternalServerError}, func(r *routedRegion) {
			for range 6 {
				for _, n := range boxesByHall {
					time.Sleep(200 * time.Millisecond)
					r.restartEntryBoxes(n)
				}
			}
		}},
		{"half of them, again and again", routed.Faults{Status: http.StatusInternalServerError}, func(r *routedRegion) {
			for range 8 {
				time.Sleep(time.Second)
				r.restartEntryBoxes("box-a1", "box-b1")
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPlainUpstreams(t, func(t *testing.T, r *routedRegion, c *callers) {
				time.Sleep(15 * time.Second) // so that a whole window has passed since the boxes started
				for _, n := range plainUpstreams {
					r.upstreams[n].SetFaults(x.fault)
				}
				var g sync.WaitGroup
				g.Go(func() { x.disrupt(r) })
				c.sendPaced(20*time.Second, 25*time.Millisecond, false, roundRobin)
				g.Wait()
				u := c.worstRetryUsage(settings.Default().Budget)
				t.Logf("worst window: %d retries for %d requests, %.0f allowed", u.retries, u.requests, u.allowed)
				if u.retries < 1 || float64(u.retries) > u.allowed {
					t.Errorf("retries in a window: got %d for %d requests, want 1 to %.0f", u.retries, u.requests, u.allowed)
				}
			})
		})
	}
}

// TestRetryBudgetCoversServiceCalls guards against calls of services whose retries have a budget of
// their own at each box, which is full after each start.
func TestRetryBudgetCoversServiceCalls(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		const period, interval = 9 * time.Second, 25 * time.Millisecond
		var upstreams []*fakeservice.Service
		for i, address := range []string{"127.0.2.1:1", "127.0.2.2:1"} {
			x := fakeservice.New()
			upstreams = append(upstreams, x)
			r.setHall(address, "a")
			r.link.Handle(address, x)
			r.apply("box-a1", resource.KindUpstream, fmt.Sprint("desk-", i), `{"address":"http://`+address+`","hall":"a","service":"desk","type":"service"}`)
		}
		time.Sleep(15 * time.Second) // so that a whole window has passed since the boxes started
		for _, x := range upstreams {
			x.LoseAnswers(1_000_000)
		}
		requests := 0
		var g sync.WaitGroup
		for began := time.Now(); time.Since(began) < period; requests++ {
			if requests%120 == 119 {
				for _, n := range boxesByHall {
					r.kill(n)
					r.link.SetDown(n, false)
					r.startBox(n)
				}
			}
			box := roundRobin(requests)
			g.Go(func() {
				q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+box+"/services/desk/x", http.NoBody)
				if err != nil {
					t.Error(err)
					return
				}
				q.Header.Set("Authorization", "Bearer "+workspaceKey)
				if w, err := r.link.RoundTrip(q); err == nil {
					_ = w.Body.Close()
				}
			})
			time.Sleep(interval)
		}
		g.Wait()
		b := settings.Default().Budget
		got, allowed := upstreams[0].Runs()+upstreams[1].Runs()-requests, b.Ratio*float64(requests)+b.Extra
		if got < 1 || float64(got) > allowed {
			t.Errorf("retries within a window: got %d for %d requests, want 1 to %.0f", got, requests, allowed)
		}
	})
}

// TestSharesOfTheExtraRetriesWhileAHallIsCutOff guards against boxes that divide the extra retries by
// the boxes they can reach, while those of a hall that is cut off go on using their shares.
func TestSharesOfTheExtraRetriesWhileAHallIsCutOff(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		for i := 3; i <= 8; i++ {
			r.startBox(fmt.Sprint("box-b", i))
		}
		time.Sleep(20 * time.Second)
		r.checkExtraRetries("all boxes", time.Second)
		r.kill("box-a2")
		r.isolateHallB(true)
		r.checkExtraRetries("hall b cut off", 10*time.Minute)
		r.kill("box-a1")
		r.link.SetDown("box-a1", false)
		r.startBox("box-a1")
		r.checkExtraRetries("a box restarted meanwhile", 10*time.Minute)
		r.isolateHallB(false)
		r.checkExtraRetries("hall b back", time.Minute)
		r.startBox("box-a2")
		r.checkExtraRetries("all boxes back", time.Minute)
		for n, b := range r.boxes {
			if got, want := b.retryBudget.Usage("desk", time.Now()).Boxes, len(r.boxes); got != want {
				t.Errorf("%s: got the extra retries divided by %d, want by %d", n, got, want)
			}
		}
	})
}

// TestShareOfABoxThatDoesNotReturn checks that a lost box keeps its share of the extra retries until
// its time is up, and that one which left does not.
func TestShareOfABoxThatDoesNotReturn(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		const lostFor = 10 * time.Minute
		v, err := json.Marshal(&resource.BoxSpec{Address: "box-b9", Hall: "b", LostUntil: time.Now().Add(lostFor)})
		if err != nil {
			t.Fatal(err)
		}
		row := table.Write{Key: configuration.BoxKey("box-b9"), Value: v}
		if _, err := r.boxes["box-a1"].store.Commit(t.Context(), &table.Transaction{Writes: []table.Write{row}}); err != nil {
			t.Fatal(err)
		}
		left := r.boxes["box-b2"]
		left.members.SetLeaving(time.Now())
		time.Sleep(5 * time.Second)
		r.kill("box-b2")
		for _, x := range []struct {
			after time.Duration
			want  int
		}{{lostFor - time.Minute, 4}, {lostFor + 2*time.Minute, 3}} {
			time.Sleep(x.after)
			for n, b := range r.boxes {
				if got := b.retryBudget.Usage("desk", time.Now()).Boxes; got != x.want {
					t.Errorf("%s, %s later: got the extra retries divided by %d, want by %d", n, x.after, got, x.want)
				}
			}
		}
	})
}

// TestLostBoxesStartTogether guards against the boxes of a hall, all lost, that find no other box
// listed as they start, so that each of them reads the whole store.
func TestLostBoxesStartTogether(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		const maxCalls = 4 // two reads of the list of boxes, a read and a write of its own row
		names, before := []string{"box-b1", "box-b2"}, make(map[string]int)
		for i := 3; i <= 12; i++ {
			names = append(names, fmt.Sprint("box-b", i))
			r.startBox(names[i-1])
		}
		time.Sleep(20 * time.Second)
		for _, n := range names {
			r.kill(n)
			before[n] = r.storeCallsOf(n)
		}
		time.Sleep(10 * time.Minute)
		for _, n := range names {
			r.link.SetDown(n, false)
			r.startBox(n)
		}
		for _, n := range names {
			for !r.boxes[n].isReady() {
				time.Sleep(10 * time.Millisecond)
			}
			if got, maxWant := r.storeCallsOf(n)-before[n], maxCalls; !r.boxes[n].follower.ReadsStore() && got > maxWant {
				t.Errorf("%s: got %d calls to the store, want at most %d", n, got, maxWant)
			}
		}
	})
}

// checkExtraRetries checks for a period that the extra retries of all boxes together do not exceed
// the allowed ones.
func (r *region) checkExtraRetries(step string, period time.Duration) {
	r.t.Helper()
	worst := 0.0
	for began := time.Now(); time.Since(began) < period; time.Sleep(500 * time.Millisecond) {
		sum := 0.0
		for _, b := range r.boxes {
			sum += b.retryBudget.Usage("desk", time.Now()).Allowed
		}
		worst = max(worst, sum)
	}
	if want := settings.Default().Budget.Extra; worst <= 0 || worst > want {
		r.t.Errorf("%s: got %.1f extra retries over all boxes, want above 0 and at most %.0f", step, worst, want)
	}
}
