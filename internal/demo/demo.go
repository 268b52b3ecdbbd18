// Package demo demonstrates the whole system with processes on one machine. It fails if any step does
// not have the result that it claims.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/cmd"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/process"
)

// demo is a running demonstration.
type demo struct {
	boxes           []*process.BoxAddresses
	temporaryFolder string            // for settings and keys
	engineURLs      map[string]string // by name
	output          io.Writer
	platformURL     string
	processes       []*process.Process
	programFolder   string // folder with the built programs
	serviceURL      string
}

const (
	timeout      = 55 * time.Second // of the whole demonstration
	applyTimeout = 15 * time.Second // until all boxes use the applied resources
	model        = "tiller-llm"
	operatorKey  = "demo-operators"
	workspaceKey = "demo-quotes"
)

// halls are the data halls of the demonstration; each has two boxes and two engines.
var halls = []string{"upperhill-a", "westlands-b"}

// Main runs the demonstration with the programs in the folder that the argument names, and returns the
// exit code.
func Main(arguments []string, output io.Writer) int {
	if len(arguments) != 2 {
		_, _ = fmt.Fprintln(output, "usage: demo FOLDER-OF-PROGRAMS")
		return cmd.ExitBadInput
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := &demo{engineURLs: make(map[string]string), output: output, programFolder: arguments[1]}
	err := d.run(ctx)
	d.stopAll()
	if err != nil {
		_, _ = fmt.Fprintln(output, "FAILED:", err)
		return cmd.ExitFailure
	}
	_, _ = fmt.Fprintln(output, "demo: all steps succeeded")
	return cmd.ExitOK
}

// callServiceTwice sends a request to a service twice with the same idempotency key, and checks that the
// service ran it once.
func (d *demo) callServiceTwice(ctx context.Context) error {
	var answers []string
	for range 2 {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.boxes[1].Clients+"/services/quote-desk/quotes", strings.NewReader("bracket"))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+workspaceKey)
		r.Header.Set(client.HeaderIdempotencyKey, "charge-1")
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err != nil {
			return err
		}
		d.printf("   %s %s", w.Status, bytes.TrimSpace(b))
		answers = append(answers, string(b))
	}
	if answers[0] != answers[1] || !strings.Contains(answers[0], `"run":1`) {
		return errors.New("the service ran the call more than once")
	}
	return nil
}

// killBox kills the box that streams a generation, and checks that the client continues at another box
// and receives each token of the engine exactly once.
func (d *demo) killBox(ctx context.Context) error {
	var ids []string
	g := d.newGenerator(0, 1)
	g.OnToken = func(id, text string) error {
		ids = append(ids, id)
		_, _ = fmt.Fprint(d.output, text)
		if len(ids) == 40 {
			d.printf("\n   ** box %s is killed **", "a-1")
			d.processByName("a-1").Kill()
		}
		return nil
	}
	finish, boxes, err := g.Run(ctx, &client.GenerationRequest{Model: model, Prompt: "a wave plan, length=120"})
	d.printf("\n   finish reason %q after %d tokens from %d boxes", finish, len(ids), boxes)
	if err != nil {
		return err
	}
	if boxes != 2 || finish != "stop" {
		return fmt.Errorf("used %d boxes with finish reason %q, want 2 boxes and \"stop\"", boxes, finish)
	}
	return checkTokenIDs(ids, 120)
}

// newGenerator returns a client that uses the boxes with the given indices, in this order.
func (d *demo) newGenerator(indices ...int) *client.Generator {
	g := &client.Generator{HTTP: &http.Client{}, Key: workspaceKey}
	for _, i := range indices {
		g.Boxes = append(g.Boxes, "http://"+d.boxes[i].Clients)
	}
	return g
}

func (d *demo) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.output, format+"\n", arguments...)
}

// processByName returns the process with a name, or nil if there is none.
func (d *demo) processByName(name string) *process.Process {
	for _, p := range d.processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// repeatRequest sends a generation request with the same request key through three boxes, and checks
// that the engines started one generation and that the answers are the same.
func (d *demo) repeatRequest(ctx context.Context) error {
	before, err := d.startedGenerations(ctx)
	if err != nil {
		return err
	}
	var texts []string
	for n := range 3 {
		text := ""
		g := d.newGenerator(n, n+1)
		g.OnToken = func(_, t string) error {
			text += t
			return nil
		}
		if _, _, err := g.Run(ctx, &client.GenerationRequest{Key: "quote-17", Model: model, Prompt: "a charged quote, length=30"}); err != nil {
			return err
		}
		d.printf("   answer %d at box %d: %d characters", n+1, n+1, len(text))
		texts = append(texts, text)
	}
	after, err := d.startedGenerations(ctx)
	if err != nil {
		return err
	}
	d.printf("   generations started by the engines: %d", after-before)
	if after-before != 1 || texts[0] == "" || texts[0] != texts[1] || texts[1] != texts[2] {
		return errors.New("the request did not run exactly once, or the answers differ")
	}
	return nil
}

func (d *demo) run(ctx context.Context) error {
	var err error
	d.temporaryFolder, err = os.MkdirTemp("", "linetiller-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(d.temporaryFolder) }()
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the fakes: a platform, four engines, a plain service", d.startFakes},
		{"start four boxes in two data halls", d.startBoxes},
		{"apply resources and watch them take effect", d.applyResources},
		{"stream a generation", d.streamGeneration},
		{"repeat a request key", d.repeatRequest},
		{"call a plain service twice with one key", d.callServiceTwice},
		{"kill a box mid-stream", d.killBox},
		{"suspend a box and use the other one of its hall", d.suspendBox},
		{"stop a box while it streams", d.stopBox},
	} {
		d.printf("\n== %s", step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

// runCommand runs a linetiller command within this process.
func (d *demo) runCommand(arguments ...string) error {
	d.printf("$ linetiller %s", strings.Join(arguments, " "))
	if c := cmd.Main(append([]string{"linetiller"}, arguments...), strings.NewReader(""), d.output, d.output); c != cmd.ExitOK {
		return fmt.Errorf("linetiller %s: exit code %d", arguments[0], c)
	}
	return nil
}

// stopBox sends SIGTERM to a box while it streams, and checks that the stream completes and the box
// exits with code 0.
func (d *demo) stopBox(ctx context.Context) error {
	p := d.processByName("b-2")
	err := d.streamAndCheck(ctx, 3, 150, func(received int) {
		if received == 20 {
			d.printf("\n   ** box b-2 is asked to stop **")
			_ = p.Signal(syscall.SIGTERM)
		}
	})
	if err != nil {
		return err
	}
	select {
	case <-p.Exited:
	case <-ctx.Done():
		return ctx.Err()
	}
	d.printf("\n   b-2 exited with code %d", p.ExitCode())
	if p.ExitCode() != cmd.ExitOK {
		return errors.New("the box did not exit with code 0")
	}
	return nil
}

// streamAndCheck streams a generation of count tokens through the box with an index, and checks that
// each token arrives exactly once. Unless onToken is nil, it is called after each token with the number
// received so far.
func (d *demo) streamAndCheck(ctx context.Context, box, count int, onToken func(received int)) error {
	var ids []string
	g := d.newGenerator(box)
	g.OnToken = func(id, text string) error {
		ids = append(ids, id)
		_, _ = fmt.Fprint(d.output, text)
		if onToken != nil {
			onToken(len(ids))
		}
		return nil
	}
	if _, _, err := g.Run(ctx, &client.GenerationRequest{Model: model, Prompt: fmt.Sprintf("a plan, length=%d", count)}); err != nil {
		return err
	}
	return checkTokenIDs(ids, count)
}

func (d *demo) streamGeneration(_ context.Context) error {
	return d.runCommand("generate", "--box", "http://"+d.boxes[2].Clients, "--workspace-key", workspaceKey,
		"--model", model, "a", "quote", "for", "a", "bracket,", "length=40")
}

// suspendBox suspends a box with SIGSTOP, streams a generation through the other box of its hall,
// resumes the suspended box, and streams a generation through it.
func (d *demo) suspendBox(ctx context.Context) error {
	p := d.processByName("b-1")
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := d.streamAndCheck(ctx, 3, 50, nil)
	if e := p.Signal(syscall.SIGCONT); e != nil || err != nil {
		return errors.Join(err, e)
	}
	d.printf("\n   complete while b-1 was suspended; b-1 is resumed")
	return d.streamAndCheck(ctx, 2, 50, nil)
}

// watchChanges prints the first count changes that the operator API of a box reports. The demonstration
// uses a box in another hall than the one at which the changes are made.
func (d *demo) watchChanges(ctx context.Context, o *operator.Client, count int) error {
	errDone := errors.New("all changes received")
	err := o.Watch(ctx, "", "0", func(e *operator.WatchEvent) error {
		if e.Type == operator.WatchBookmark {
			return nil
		}
		d.printf("   watch at the other hall: %s %s", e.Resource.Kind, e.Resource.Metadata.Name)
		count--
		if count == 0 {
			return errDone
		}
		return nil
	})
	if errors.Is(err, errDone) {
		return nil
	}
	return err
}

// checkTokenIDs checks that the event IDs are those of count tokens of one generation, each once and in
// order.
func checkTokenIDs(ids []string, count int) error {
	if len(ids) != count {
		return fmt.Errorf("received %d tokens, want %d", len(ids), count)
	}
	first := strings.TrimSuffix(ids[0], "/0")
	for i, id := range ids {
		if id != fmt.Sprintf("%s/%d", first, i) {
			return fmt.Errorf("unexpected ID of token %d: %q", i, id)
		}
	}
	return nil
}
