package review

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The bounds of the case, as the site sets them.
const (
	configApply = 2 * time.Second // config_apply_ms
	downFor     = 5 * time.Second // for_s
)

// playReaders plays a deployment of one zone in which the processes of two of eight machines are killed at
// once, just before a key is taken away, and started again downFor later. The two are those that read the
// store for the others.
func playReaders(r *rig, trouble bool) bool {
	const cycles = 3
	var mutex sync.Mutex
	onRun := func(string, string, []byte) {}
	keys := func(version int) []string { return []string{"key-kept", fmt.Sprintf("key-%d", version)} }
	private := route("once", "/pule252/", "unsafe", service, 1500)
	private["public"] = false
	put := func(version int) {
		c := configuration(version, private)
		c["tenants"] = []any{map[string]any{"name": "huka270", "api_keys": keys(version), "priority": 1}}
		r.put("op", "config", c)
	}
	put(7)
	for i := range 3 {
		r.addServer(fmt.Sprintf("i-desk%d", i), service, "upperhill-a", 5*time.Millisecond, onRun)
	}
	for i := range 8 {
		r.addBox(fmt.Sprintf("front-upperhill-a-%d", i+1), "upperhill-a")
	}
	for _, b := range r.boxes {
		waitFor(b.name, b.ready)
	}
	killed := []*boxProcess{r.boxes[3], r.boxes[4]}
	late, served := 0, 0
	for cycle := range cycles {
		time.Sleep(6 * time.Second) // longer than contact_ms
		old := fmt.Sprintf("key-%d", 7+cycle)
		if trouble {
			for _, b := range killed {
				b.signal(syscall.SIGKILL)
				r.note("%s is killed", b.name)
			}
		}
		killedAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		put(8 + cycle)
		acknowledged := time.Now()
		r.note("the store has acknowledged version %d, without %s", 8+cycle, old)
		var g sync.WaitGroup
		last := make(map[string]time.Duration)
		for _, b := range r.boxes {
			if b == killed[0] || b == killed[1] {
				continue
			}
			g.Go(func() {
				for n := 0; time.Since(killedAt) < downFor; n++ {
					id := fmt.Sprintf("%s-%d-%d", b.name, cycle, n)
					sentAt := time.Since(acknowledged)
					status, err := sendWithKey(b.front, id, old)
					mutex.Lock()
					switch {
					case err != nil:
						r.note("%s: %v", id, err)
					case status == http.StatusOK:
						served++
						last[b.name] = sentAt
						if sentAt > configApply {
							late++
							r.note("%s, sent %.3f s after the acknowledgement with %s, is served", id, sentAt.Seconds(), old)
						}
					}
					mutex.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		g.Wait()
		r.note("last request served with %s, by box: %v", old, last)
		if !trouble {
			continue
		}
		for _, b := range killed {
			<-b.done
			r.start(b)
			r.note("%s is started again", b.name)
		}
		for _, b := range killed {
			waitFor(b.name, b.ready)
		}
	}
	fmt.Printf("%d requests were served with a key that was dropped over %v before, %d in time\n", late, configApply, served-late)
	if status, err := sendWithKey(r.boxes[0].front, "last", "key-kept"); err != nil || status != http.StatusOK {
		stop(errors.Join(errors.New("a request with a key that is in force was not served"), err))
	}
	return late > 0
}

// sendWithKey sends a request with a key on a connection of its own and returns the status of the answer.
func sendWithKey(address, id, key string) (int, error) {
	return send(address, id, http.MethodPost, "/pule252/2f", "drawing", "Authorization: Bearer "+key)
}
