// Package process starts programs, waits until their output shows that they are ready, and stops them.
// It only sends signals to processes that it has started.
package process

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

// Process is a process started by this package.
type Process struct {
	Exited chan struct{} // closed when the process has exited
	Name   string

	command *exec.Cmd
}

// BoxAddresses holds the addresses that a box logs when it has started.
type BoxAddresses struct {
	Boxes     string `json:"boxes"`
	Clients   string `json:"clients"`
	Event     int    `json:"event"`
	Operators string `json:"operators"`
}

const (
	eventStarted = 101              // number of the log event "box started"
	startTimeout = 10 * time.Second // until a process is ready
	stopTimeout  = 10 * time.Second // until a process is killed after SIGTERM
)

// Start starts a command and waits until ready returns true for a line of its output. The output is
// drained until the process exits. Start kills a process that is not ready within startTimeout.
func Start(c *exec.Cmd, name string, output io.Reader, ready func(line string) bool) (*Process, error) {
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Exited: make(chan struct{}), Name: name, command: c}
	started := make(chan bool, 1)
	go p.scanOutput(output, started, ready)
	select {
	case ok := <-started:
		if !ok {
			return nil, fmt.Errorf("%s closed its output before it was ready", name)
		}
		return p, nil
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("%s was not ready within %s", name, startTimeout)
	}
}

// StartBox starts a box with a settings file and returns its addresses. Unless logs is nil, it receives
// a copy of the standard output and the standard error.
func StartBox(program, settings, name string, logs io.Writer) (*Process, *BoxAddresses, error) {
	c := exec.Command(program, "serve", "--settings", settings)
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	var output io.Reader = r
	if logs != nil {
		output = io.TeeReader(r, logs)
		c.Stderr = logs // reports why a box does not start
	}
	a := new(BoxAddresses)
	p, err := Start(c, name, output, func(line string) bool {
		return json.Unmarshal([]byte(line), a) == nil && a.Event == eventStarted
	})
	return p, a, err
}

// StartFake starts a fake upstream or platform and returns its URL.
func StartFake(program, name string, arguments ...string) (*Process, string, error) {
	c := exec.Command(program, arguments...)
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	address := ""
	p, err := Start(c, name, r, func(line string) bool {
		var ok bool
		address, ok = strings.CutPrefix(line, "listening ")
		return ok
	})
	return p, "http://" + address, err
}

// ExitCode waits until the process has exited and returns its exit code.
func (p *Process) ExitCode() int {
	<-p.Exited
	return p.command.ProcessState.ExitCode()
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails if the process has already exited
	<-p.Exited
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.command.Process.Signal(s)
}

// Stop sends SIGTERM and waits until the process has exited. It kills the process after stopTimeout.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // fails if the process has already exited
	select {
	case <-p.Exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// scanOutput reads the output until the process exits. It sends true to started when the process is
// ready, or false if the output ends before.
func (p *Process) scanOutput(output io.Reader, started chan<- bool, ready func(line string) bool) {
	s := bufio.NewScanner(output)
	s.Buffer(nil, 1<<20)
	isReady, lastLine := false, ""
	for s.Scan() {
		lastLine = s.Text()
		if !isReady && ready(lastLine) {
			isReady = true
			started <- true
		}
	}
	if !isReady {
		fmt.Println(p.Name, "was not ready; last line of output:", lastLine)
		started <- false
	}
	_ = p.command.Wait() // the exit code is available from ExitCode
	close(p.Exited)
}
