package standins

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// box is a box of the system, which runs as a process of its own.
type box struct {
	name, dir, entry, readiness string
	settings                    string // with a gap for first_start
	log                         *os.File

	mutex     sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	killedAt  time.Time
}

// firstPort and lastPort bound the ports of boxes. They lie below those that the kernel gives to connections, so that
// a port stays free while its box is down.
const firstPort, lastPort = 12_000, 30_000

// usedPorts are the ports that were handed out.
var usedPorts = make(map[int]bool)

// listen listens at a free port between firstPort and lastPort.
func listen() (net.Listener, error) {
	for range 10 * (lastPort - firstPort) {
		p := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[p] {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p)); err == nil {
			usedPorts[p] = true
			return l, nil
		}
	}
	return nil, errors.New("no free port")
}

// freeAddresses returns free loopback addresses.
func freeAddresses(n int) ([]string, error) {
	var a []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		a = append(a, l.Addr().String())
		_ = l.Close()
	}
	return a, nil
}

// boxTemplate are the settings of a box, filled as deploy/box.toml is for a small deployment.
const boxTemplate = `box = "%s"
hall = "%s"
first_start = FIRST
links = "plain"
box_address = "%s"
client_address = "%s"
operator_address = "%s"
platform = "http://%s"
[budget]
extra = 56
ratio = 0.2
window = "10s"
[cold]
[entry]
address = "%s"
metrics = "%s"
readiness = "%s"
[limits]
memory_mb = 134
[timeouts]
platform = "1s"
drain = "3s"
grace = "8s"
[regions]
"zone-a" = "region-a"
"zone-b" = "region-a"
"zone-c" = "region-a"
"zone-d" = "region-a"
`

func newBox(dir, name, hall, storeAddress string) (*box, error) {
	p, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	b := &box{name: name, dir: dir, entry: p[3], readiness: p[5]}
	b.settings = fmt.Sprintf(boxTemplate, name, hall, p[0], p[1], p[2], storeAddress, p[3], p[4], p[5])
	b.log, err = os.Create(filepath.Join(dir, name+".log"))
	return b, err
}

// start starts the box with the command of the deploy file.
func (b *box) start(program string, first bool) error {
	path := filepath.Join(b.dir, b.name+".toml")
	s := strings.ReplaceAll(b.settings, "FIRST", fmt.Sprint(first))
	if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
		return err
	}
	c := exec.Command(program, "serve")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LINETILLER_CONFIG=" + path}
	c.Stdout, c.Stderr = b.log, b.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.command, b.exited, b.startedAt = c, make(chan struct{}), time.Now()
	go func(x chan struct{}) { _ = c.Wait(); close(x) }(b.exited)
	return nil
}

func (b *box) signal(s syscall.Signal) {
	b.mutex.Lock()
	c := b.command
	if s == syscall.SIGKILL {
		b.killedAt = time.Now()
	}
	b.mutex.Unlock()
	if c != nil {
		_ = c.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (b *box) kill() {
	b.signal(syscall.SIGKILL)
	b.mutex.Lock()
	x := b.exited
	b.mutex.Unlock()
	if x != nil {
		<-x
	}
}

func (b *box) started() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.startedAt
}

// awaitReady waits until the box says that it is ready.
func (b *box) awaitReady(limit time.Duration) bool {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w, err := c.Get("http://" + b.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = w.Body.Close()
		if w.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
