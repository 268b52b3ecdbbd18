package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// process is a process that the demonstration started.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	name    string
}

// boxAddresses are the addresses that a box logs when it has started.
type boxAddresses struct {
	Boxes     string `json:"boxes"`
	Clients   string `json:"clients"`
	Event     int    `json:"event"`
	Operators string `json:"operators"`
}

const (
	eventStarted = 101
	startPeriod  = 10 * time.Second
	stopPeriod   = 10 * time.Second
)

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// stop asks the process to end and waits; one that does not end in time is killed.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopPeriod):
		p.kill()
	}
}

// startBox starts a box and returns its addresses.
func startBox(program, settings, name string) (*process, *boxAddresses, error) {
	c := exec.Command(program, "serve", "--settings", settings)
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	a := new(boxAddresses)
	p, err := start(c, name, r, func(line string) bool {
		return json.Unmarshal([]byte(line), a) == nil && a.Event == eventStarted
	})
	return p, a, err
}

// startFake starts a stand-in and returns its URL.
func startFake(program, name string, arguments ...string) (*process, string, error) {
	c := exec.Command(program, arguments...)
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	address := ""
	p, err := start(c, name, r, func(line string) bool {
		var ok bool
		address, ok = strings.CutPrefix(line, "listening ")
		return ok
	})
	return p, "http://" + address, err
}

// start starts a command and reads its output until a line says it is ready.
func start(c *exec.Cmd, name string, output io.Reader, ready func(line string) bool) (*process, error) {
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{command: c, exited: make(chan struct{}), name: name}
	up := make(chan bool, 1)
	go func() {
		s := bufio.NewScanner(output)
		seen := false
		last := ""
		for s.Scan() {
			last = s.Text()
			if !seen && ready(last) {
				seen = true
				up <- true
			}
		}
		if !seen {
			fmt.Println(name, "said:", last)
			up <- false
		}
		_ = c.Wait()
		close(p.exited)
	}()
	select {
	case ok := <-up:
		if !ok {
			return nil, fmt.Errorf("%s did not start", name)
		}
		return p, nil
	case <-time.After(startPeriod):
		p.kill()
		return nil, fmt.Errorf("%s did not start in %s", name, startPeriod)
	}
}
