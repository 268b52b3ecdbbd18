package review

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rig runs the store and the boxes as processes. Engines, services, clients and the operator are in
// this process.
type rig struct {
	boxes   []*boxProcess
	folder  string // for the settings and the logs of the boxes
	mutex   sync.Mutex
	record  *os.File
	root    string // of the repository
	started time.Time
	store   *exec.Cmd
	address string // of the store
}

// boxProcess is a box.
type boxProcess struct {
	done      chan struct{} // closed once the process has ended
	front     string        // its address for clients
	mutex     sync.Mutex
	name      string
	process   *exec.Cmd
	readiness string
	settings  string // path of the settings file
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errHarness is the panic of a case that could not run.
type errHarness struct{ err error }

// stop ends the case: it could not run.
func stop(err error) { panic(errHarness{err}) }

// newRig starts the store.
func newRig(root, record string) *rig {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		stop(err)
	}
	f, err := os.Create(record)
	if err != nil {
		stop(err)
	}
	r := &rig{folder: folder, record: f, root: root, started: time.Now(), address: freeAddress()}
	r.store = exec.Command(filepath.Join(root, "review/bin/fakeplatform"), "-address", r.address)
	r.store.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.store.Start(); err != nil {
		stop(err)
	}
	waitFor("the store", func() bool {
		c, err := net.Dial("tcp", r.address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	return r
}

// addBox starts a box with the settings that the platform fills in for a small deployment.
func (r *rig) addBox(name, zone string) *boxProcess {
	b := &boxProcess{front: freeAddress(), name: name, readiness: freeAddress(), settings: filepath.Join(r.folder, name+".toml")}
	text := fmt.Sprintf(`box = %q
hall = %q
first_start = true
links = "plain"
box_address = %q
client_address = %q
operator_address = %q
platform = "http://%s"
[budget]
extra = 56
ratio = 0.2
window = "10s"
[cold]
[entry]
address = %q
metrics = %q
readiness = %q
[limits]
memory_mb = %d
[timeouts]
platform = "1s"
drain = "3s"
grace = "8s"
[regions]
"upperhill-a" = "nairobi"
"westlands-b" = "nairobi"
"embakasi-c" = "nairobi"
`, name, zone, freeAddress(), freeAddress(), freeAddress(), r.address, b.front, freeAddress(), b.readiness, memoryMB)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		stop(err)
	}
	r.boxes = append(r.boxes, b)
	r.start(b)
	return b
}

// memoryMB is the memory of a machine.
const memoryMB = 134

// close ends all processes.
func (r *rig) close() {
	for _, b := range r.boxes {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
		<-b.done
	}
	_ = r.store.Process.Kill()
	_ = r.store.Wait()
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// note writes a line to the record.
func (r *rig) note(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

// put writes a row, as the operator or a server does, and returns once the store has acknowledged it.
func (r *rig) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		stop(err)
	}
	type row struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	in, err := json.Marshal(map[string]any{"expected_rev": []row{}, "put": []row{{table, "", key, b}}, "remove": []row{}})
	if err != nil {
		stop(err)
	}
	w, err := http.Post("http://"+r.address+"/rows-tx", "application/json", bytes.NewReader(in))
	if err != nil {
		stop(err)
	}
	defer func() { _ = w.Body.Close() }()
	if _, err := io.Copy(io.Discard, w.Body); err != nil || w.StatusCode != http.StatusOK {
		stop(fmt.Errorf("the store answered %s", w.Status))
	}
}

// start starts a box's process, with the command of the deploy file.
func (r *rig) start(b *boxProcess) {
	c := exec.Command("target/linetiller", "serve")
	c.Dir = r.root
	c.Path = filepath.Join(r.root, "target/linetiller")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "LINETILLER_CONFIG=" + b.settings}
	log, err := os.OpenFile(filepath.Join(r.folder, b.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		stop(err)
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		stop(err)
	}
	done := make(chan struct{})
	b.mutex.Lock()
	b.process, b.done = c, done
	b.mutex.Unlock()
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}()
}

// signal sends a signal to the process of a box.
func (b *boxProcess) signal(s syscall.Signal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = b.process.Process.Signal(s) // an error means that it has ended
}

// ready reports whether the box says that it is ready.
func (b *boxProcess) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + b.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts = make(map[int]bool)

// freeAddress returns a free loopback address, with a port below those of outgoing connections. It is
// called by one goroutine only.
func freeAddress() string {
	const lowest, count = 12_000, 18_000
	for range 200 {
		port := lowest + rand.IntN(count)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			givenPorts[port] = true
			return l.Addr().String()
		}
	}
	stop(errors.New("no free port"))
	return ""
}

// waitFor waits until ready returns true, for 20 s at most.
func waitFor(what string, ready func() bool) {
	for range 800 {
		if ready() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	stop(fmt.Errorf("waited for %s in vain", what))
}
