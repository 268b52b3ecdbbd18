package review

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playPath plays clients whose paths begin with an empty segment, as they do where a base URL that ends
// with a slash is joined with a path. At first no route begins their paths; then the operator adds one.
func playPath(r *rig, trouble bool) bool {
	type sent struct{ method, target, body string }
	var mutex sync.Mutex
	requests := make(map[string]sent)
	changed, same := 0, 0
	onRun := func(id, target string, body []byte) {
		mutex.Lock()
		defer mutex.Unlock()
		s := requests[id]
		if s.target == target && s.body == string(body) {
			same++
			return
		}
		changed++
		r.note("a server runs %s as %q with %d bytes; the client sent %q with %d bytes", id, target, len(body), s.target, len(s.body))
	}
	once, lookup := route("once", "/pule252/", "unsafe", service, 1500), route("lookup", "/puxa403/", "safe", service, 1500)
	r.put("op", "config", configuration(7, once, lookup))
	zones := []string{"upperhill-a", "westlands-b", "embakasi-c"}
	for i, z := range zones {
		r.addServer(fmt.Sprintf("i-desk%d", i), service, z, 20*time.Millisecond, onRun)
	}
	for _, z := range zones {
		r.addBox("front-"+z+"-1", z)
	}
	for _, b := range r.boxes {
		waitFor(b.name, b.ready)
	}
	time.Sleep(2 * time.Second)

	statuses := make(map[int]int)
	began := time.Now()
	var g sync.WaitGroup
	g.Go(func() {
		time.Sleep(3 * time.Second)
		if trouble {
			r.put("op", "config", configuration(9, once, lookup, route("any", "/", "safe", service, 1500)))
			r.note("the store has acknowledged version 9, which adds a route with the prefix /")
		}
	})
	for n := 0; time.Since(began) < 12*time.Second; n++ {
		for i, b := range r.boxes {
			for k, s := range []sent{
				{http.MethodPost, "/pule252/2f?part=7%2Fb", "drawing"},
				{http.MethodGet, "/puxa403/2f?part=7%2Fb", ""},
				{http.MethodGet, "//puxa403/2f?part=7%2Fb", ""},
			} {
				id := fmt.Sprintf("c%d-%d-%d", n, i, k)
				mutex.Lock()
				requests[id] = s
				mutex.Unlock()
				g.Go(func() {
					status, err := send(b.front, id, s.method, s.target, s.body)
					if err != nil {
						r.note("%s: %v", id, err)
					}
					mutex.Lock()
					statuses[status]++
					mutex.Unlock()
				})
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.Wait()
	r.note("answers by status: %v; %d requests ran as they were sent, %d were changed", statuses, same, changed)
	fmt.Printf("%d requests ran as they were sent, %d were changed\n", same, changed)
	if same == 0 {
		stop(errors.New("no request was served"))
	}
	return changed > 0
}
