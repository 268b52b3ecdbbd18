// Package process starts programs, waits until they say that they are ready, and
// ends them. Only what it started is ever signalled.
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

// Process is a process that was started here.
type Process struct {
	Exited chan struct{} // closed once it has ended
	Name   string

	command *exec.Cmd
}

// BoxAddresses are the addresses that a box logs when it has started.
type BoxAddresses struct {
	Boxes     string `json:"boxes"`
	Clients   string `json:"clients"`
	Event     int    `json:"event"`
	Operators string `json:"operators"`
}

const (
	eventStarted = 101
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// Start starts a command and reads its output until a line says it is ready.
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
			return nil, fmt.Errorf("%s did not start", name)
		}
		return p, nil
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("%s did not start in %s", name, startTimeout)
	}
}

// StartBox starts a box and returns its addresses; each line that it logs goes to
// lines, too, where that is not nil.
func StartBox(program, settings, name string, logs io.Writer) (*Process, *BoxAddresses, error) {
	c := exec.Command(program, "serve", "--settings", settings)
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	var output io.Reader = r
	if logs != nil {
		output = io.TeeReader(r, logs)
		c.Stderr = logs // why it does not start
	}
	a := new(BoxAddresses)
	p, err := Start(c, name, output, func(line string) bool {
		return json.Unmarshal([]byte(line), a) == nil && a.Event == eventStarted
	})
	return p, a, err
}

// StartFake starts a stand-in and returns its URL.
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

// ExitCode returns the code of a process that has ended.
func (p *Process) ExitCode() int {
	<-p.Exited
	return p.command.ProcessState.ExitCode()
}

// Kill ends the process at once and waits.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended before
	<-p.Exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.command.Process.Signal(s)
}

// Stop asks the process to end and waits; one that does not end in time is killed.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // it may have ended before
	select {
	case <-p.Exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// scanOutput passes over the output until the process ends, and tells when it is ready.
func (p *Process) scanOutput(output io.Reader, started chan<- bool, ready func(line string) bool) {
	s := bufio.NewScanner(output)
	s.Buffer(nil, 1<<20)
	isReady, last := false, ""
	for s.Scan() {
		last = s.Text()
		if !isReady && ready(last) {
			isReady = true
			started <- true
		}
	}
	if !isReady {
		fmt.Println(p.Name, "said:", last)
		started <- false
	}
	_ = p.command.Wait() // ExitCode tells how it ended
	close(p.Exited)
}
