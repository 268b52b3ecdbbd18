package review

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	usualClients = 9               // of one box, each with one request in progress
	burstFactor  = 1.7             // x of the burst
	burstFor     = 3 * time.Second // for_s of the burst
	uploadWork   = time.Second     // of a server on an upload
	playFor      = 14 * time.Second
	restartAfter = 500 * time.Millisecond
)

// upload is one client with a kept connection, over which it sends a request as soon as the one before is
// answered.
type upload struct {
	box  *boxProcess
	name string
	rig  *rig
	ran  func(id string) int
	end  time.Time
}

// uploads counts what became of the requests.
type uploads struct {
	mutex  sync.Mutex
	lost   int // run by a server, sent on a kept connection that ended without an answer
	served int
}

// playMemory plays clients that send requests with the largest body that the configuration allows, and a
// platform that kills processes over the memory of their machine.
func playMemory(r *rig, trouble bool) bool {
	r.put("op", "config", configuration(7, route("once", "/pule252/", "unsafe", service, 5000)))
	zones := []string{"upperhill-a", "westlands-b", "embakasi-c"}
	var servers []*server
	for i, z := range zones {
		servers = append(servers, r.addServer(fmt.Sprintf("i-desk%d", i), service, z, uploadWork, func(string, string, []byte) {}))
	}
	ran := func(id string) int {
		n := 0
		for _, s := range servers {
			n += s.ran(id)
		}
		return n
	}
	for _, z := range zones {
		r.addBox("front-"+z+"-1", z)
	}
	for _, b := range r.boxes {
		waitFor(b.name, b.ready)
	}
	time.Sleep(2 * time.Second)

	began := time.Now()
	var n uploads
	var g, watchers sync.WaitGroup
	var kills int
	var mutex sync.Mutex
	for i, b := range r.boxes {
		watchers.Go(func() {
			k := r.limitMemory(b, began.Add(playFor+2*time.Second))
			mutex.Lock()
			kills += k
			mutex.Unlock()
		})
		for c := range usualClients {
			g.Go(func() {
				time.Sleep(time.Duration(c) * uploadWork / usualClients)
				(&upload{box: b, name: fmt.Sprintf("u%d-%d", i, c), rig: r, ran: ran, end: began.Add(playFor)}).run(&n)
			})
		}
		factor := burstFactor
		more := int(usualClients*factor) - usualClients
		for c := range more {
			if !trouble {
				break
			}
			g.Go(func() {
				time.Sleep(time.Until(began.Add(6 * time.Second)))
				(&upload{box: b, name: fmt.Sprintf("burst%d-%d", i, c), rig: r, ran: ran, end: began.Add(6*time.Second + burstFor)}).run(&n)
			})
		}
	}
	g.Wait()
	watchers.Wait()
	r.note("%d served, %d lost, %d processes killed for their memory", n.served, n.lost, kills)
	fmt.Printf("%d requests served, %d lost on kept connections, %d processes killed for their memory\n", n.served, n.lost, kills)
	if n.served == 0 {
		stop(errors.New("no request was served"))
	}
	return n.lost > 3
}

// limitMemory kills the process of a box when its memory is over that of its machine, and starts it again,
// until a time. It returns how often.
func (r *rig) limitMemory(b *boxProcess, until time.Time) int {
	kills, most := 0, 0
	for time.Now().Before(until) {
		kb := b.residentKB()
		most = max(most, kb)
		if kb > memoryMB*1024 {
			kills++
			r.note("%s holds %d kB, over %d MB, and is killed", b.name, kb, memoryMB)
			b.signal(syscall.SIGKILL)
			<-b.done
			time.Sleep(restartAfter)
			r.start(b)
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.note("%s held %d kB at most", b.name, most)
	return kills
}

// residentKB returns the resident memory of the process in kB, 0 if it has ended.
func (b *boxProcess) residentKB() int {
	b.mutex.Lock()
	pid := b.process.Process.Pid
	b.mutex.Unlock()
	t, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.Lines(string(t)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return n
		}
	}
	return 0
}

// run sends requests until the end. After a request that was lost it opens a new connection.
func (u *upload) run(n *uploads) {
	body := strings.Repeat("x", maxBodyBytes)
	for k := 0; time.Now().Before(u.end); {
		c, err := net.DialTimeout("tcp", u.box.front, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(c)
		for kept := false; time.Now().Before(u.end); kept = true {
			id := fmt.Sprintf("%s-%d", u.name, k)
			k++
			status, err := u.send(c, r, id, body)
			if err == nil {
				n.mutex.Lock()
				n.served++
				n.mutex.Unlock()
				if status != http.StatusOK {
					u.rig.note("%s: status %d", id, status)
					break
				}
				continue
			}
			time.Sleep(20 * time.Millisecond)
			if u.ran(id) > 0 {
				u.rig.note("%s was sent on by %s and gets no answer (kept connection: %v): %v", id, u.box.name, kept, err)
				n.mutex.Lock()
				if kept {
					n.lost++
				}
				n.mutex.Unlock()
			}
			break
		}
		_ = c.Close()
	}
}

// send sends one request and returns the status of its answer.
func (u *upload) send(c net.Conn, r *bufio.Reader, id, body string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /pule252/2f HTTP/1.1\r\nHost: %s\r\nX-Linetiller-Request-Id: %s\r\nX-Linetiller-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, len(body)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, body); err != nil {
		return 0, err
	}
	w, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}
