// Package demo shows the whole system at work with processes on one machine,
// and fails where anything that it claims does not happen.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/cmd"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/process"
	"github.com/linetiller/linetiller/internal/resource"
)

// demo is one demonstration.
type demo struct {
	boxes     []*process.BoxAddresses
	directory string // for settings and keys
	engines   map[string]string
	output    io.Writer
	platform  string
	processes []*process.Process
	programs  string // the folder of the built programs
	service   string
}

const (
	allPeriod    = 55 * time.Second
	inForceTime  = 15 * time.Second
	model        = "tiller-llm"
	operatorKey  = "demo-operators"
	workspaceKey = "demo-quotes"
)

// halls are the data halls of the demonstration; each has two boxes and two engines.
var halls = []string{"upperhill-a", "westlands-b"}

// Main runs the demonstration with the programs in a folder and returns an exit code.
func Main(arguments []string, output io.Writer) int {
	if len(arguments) != 2 {
		_, _ = fmt.Fprintln(output, "usage: demo FOLDER-OF-PROGRAMS")
		return cmd.ExitBadInput
	}
	ctx, cancel := context.WithTimeout(context.Background(), allPeriod)
	defer cancel()
	d := &demo{engines: make(map[string]string), output: output, programs: arguments[1]}
	err := d.run(ctx)
	d.stopAll()
	if err != nil {
		_, _ = fmt.Fprintln(output, "FAILED:", err)
		return cmd.ExitFailure
	}
	_, _ = fmt.Fprintln(output, "demo: all of it happened")
	return cmd.ExitOK
}

func (d *demo) run(ctx context.Context) error {
	var err error
	d.directory, err = os.MkdirTemp("", "linetiller-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(d.directory) }()
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the stand-ins: a platform, four engines, a plain service", d.startFakes},
		{"start four boxes in two data halls", d.startBoxes},
		{"apply resources and watch them come in force", d.applyResources},
		{"stream a generation", d.streamOne},
		{"repeat a request key", d.repeatKey},
		{"call a plain service twice with one key", d.callService},
		{"kill a box mid-stream", d.killBox},
		{"freeze a box, and ask its neighbour", d.freezeBox},
		{"stop a box while it streams", d.stopBox},
	} {
		d.say("\n== %s", step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

func (d *demo) applyResources(ctx context.Context) error {
	path := filepath.Join(d.directory, "resources.json")
	if err := os.WriteFile(path, d.resources(), 0o600); err != nil {
		return err
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan error, 1)
	o := operator.NewClient("http://"+d.boxes[3].Operators, operatorKey, &http.Client{})
	go func() { watched <- d.watch(watch, o, 8) }()
	if err := d.linetiller("apply", "-f", path, "--wait", inForceTime.String(),
		"--operator", "http://"+d.boxes[0].Operators, "--operator-key", operatorKey); err != nil {
		return err
	}
	select {
	case err := <-watched:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watch shows changes at a box other than the one they were made at.
func (d *demo) watch(ctx context.Context, o *operator.Client, count int) error {
	errDone := errors.New("seen all")
	err := o.Watch(ctx, "", "0", func(e *operator.WatchEvent) error {
		if e.Type == operator.WatchBookmark {
			return nil
		}
		d.say("   watch at the other hall: %s %s", e.Resource.Kind, e.Resource.Metadata.Name)
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

func (d *demo) callService(ctx context.Context) error {
	var answers []string
	for range 2 {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.boxes[1].Clients+"/services/quote-desk/quotes", strings.NewReader("bracket"))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+workspaceKey)
		r.Header.Set(client.HeaderKey, "charge-1")
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err != nil {
			return err
		}
		d.say("   %s %s", w.Status, bytes.TrimSpace(b))
		answers = append(answers, string(b))
	}
	if answers[0] != answers[1] || !strings.Contains(answers[0], `"run":1`) {
		return errors.New("the call ran more than once")
	}
	return nil
}

// killBox kills the box that streams a generation, and checks that the client
// has the same tokens as the engine made, each once.
func (d *demo) killBox(ctx context.Context) error {
	var ids []string
	g := d.generator(0, 1)
	g.Taken = func(id, text string) error {
		ids = append(ids, id)
		_, _ = fmt.Fprint(d.output, text)
		if len(ids) == 40 {
			d.say("\n   ** box %s is killed **", "a-1")
			d.processNamed("a-1").Kill()
		}
		return nil
	}
	finish, boxes, err := g.Run(ctx, &client.Ask{Model: model, Prompt: "a wave plan, length=120"})
	d.say("\n   ended by %q after %d tokens, asked at %d boxes", finish, len(ids), boxes)
	if err != nil {
		return err
	}
	if boxes != 2 || finish != "stop" {
		return fmt.Errorf("boxes %d, finish %q", boxes, finish)
	}
	return wholeOnce(ids, 120)
}

// freezeBox stops the clock of a box with SIGSTOP, asks the other box of its
// hall, thaws it, and asks the thawed one.
func (d *demo) freezeBox(ctx context.Context) error {
	p := d.processNamed("b-1")
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := d.whole(ctx, 3, 50, nil)
	if e := p.Signal(syscall.SIGCONT); e != nil || err != nil {
		return errors.Join(err, e)
	}
	d.say("\n   whole while b-1 was frozen; b-1 goes on")
	return d.whole(ctx, 2, 50, nil)
}

// stopBox asks a box to stop while it streams: the stream ends whole.
func (d *demo) stopBox(ctx context.Context) error {
	p := d.processNamed("b-2")
	err := d.whole(ctx, 3, 150, func(taken int) {
		if taken == 20 {
			d.say("\n   ** box b-2 is asked to stop **")
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
	d.say("\n   b-2 ended with exit code %d", p.ExitCode())
	if p.ExitCode() != cmd.ExitOK {
		return errors.New("the box did not end well")
	}
	return nil
}

// whole streams a generation of count tokens through one box and checks that it
// comes whole; each is called with the number of tokens taken, where it is given.
func (d *demo) whole(ctx context.Context, box, count int, each func(taken int)) error {
	var ids []string
	g := d.generator(box)
	g.Taken = func(id, text string) error {
		ids = append(ids, id)
		_, _ = fmt.Fprint(d.output, text)
		if each != nil {
			each(len(ids))
		}
		return nil
	}
	if _, _, err := g.Run(ctx, &client.Ask{Model: model, Prompt: fmt.Sprintf("a plan, length=%d", count)}); err != nil {
		return err
	}
	return wholeOnce(ids, count)
}

func (d *demo) repeatKey(ctx context.Context) error {
	before, err := d.started(ctx)
	if err != nil {
		return err
	}
	var texts []string
	for n := range 3 {
		text := ""
		g := d.generator(n, n+1)
		g.Taken = func(_, t string) error {
			text += t
			return nil
		}
		if _, _, err := g.Run(ctx, &client.Ask{Key: "quote-17", Model: model, Prompt: "a charged quote, length=30"}); err != nil {
			return err
		}
		d.say("   answer %d at box %d: %d characters", n+1, n+1, len(text))
		texts = append(texts, text)
	}
	after, err := d.started(ctx)
	if err != nil {
		return err
	}
	d.say("   generations that the engines started for it: %d", after-before)
	if after-before != 1 || texts[0] == "" || texts[0] != texts[1] || texts[1] != texts[2] {
		return errors.New("the request did not run exactly once")
	}
	return nil
}

func (d *demo) streamOne(_ context.Context) error {
	return d.linetiller("generate", "--box", "http://"+d.boxes[2].Clients, "--workspace-key", workspaceKey,
		"--model", model, "a", "quote", "for", "a", "bracket,", "length=40")
}

// generator returns a client that tries the boxes with the given numbers.
func (d *demo) generator(numbers ...int) *client.Generator {
	g := &client.Generator{HTTP: &http.Client{}, Key: workspaceKey}
	for _, n := range numbers {
		g.Boxes = append(g.Boxes, "http://"+d.boxes[n].Clients)
	}
	return g
}

// linetiller runs a command as the program would.
func (d *demo) linetiller(arguments ...string) error {
	d.say("$ linetiller %s", strings.Join(arguments, " "))
	if c := cmd.Main(append([]string{"linetiller"}, arguments...), strings.NewReader(""), d.output, d.output); c != cmd.ExitOK {
		return fmt.Errorf("linetiller %s: exit code %d", arguments[0], c)
	}
	return nil
}

func (d *demo) processNamed(name string) *process.Process {
	for _, p := range d.processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// resources returns the resources of the demonstration in JSON.
func (d *demo) resources() []byte {
	var l []*resource.Resource
	add := func(k resource.Kind, name string, spec any) {
		b, _ := json.Marshal(spec)
		l = append(l, &resource.Resource{Kind: k, Metadata: resource.Metadata{Name: name}, Spec: b})
	}
	add(resource.KindModel, model, resource.ModelSpec{MaxTokens: 2000})
	add(resource.KindPriority, "counter", resource.PrioritySpec{Value: 10})
	add(resource.KindWorkspace, "quotes", resource.WorkspaceSpec{KeyHashes: []string{resource.HashKey(workspaceKey)}, Priority: "counter", Weight: 1})
	for n, u := range d.engines {
		add(resource.KindUpstream, n, resource.UpstreamSpec{
			Address: u, Hall: n[:len(n)-2], KVTokens: 60_000, MaxBatch: 100, Models: []string{model}, Type: resource.UpstreamEngine,
		})
	}
	add(resource.KindUpstream, "quote-desk-1", resource.UpstreamSpec{
		Address: d.service, Hall: halls[0], Service: "quote-desk", Type: resource.UpstreamService,
	})
	b, _ := json.MarshalIndent(l, "", "  ")
	return b
}

func (d *demo) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.output, format+"\n", arguments...)
}

// started returns how many generations the engines have started.
func (d *demo) started(ctx context.Context) (int, error) {
	sum := 0
	for _, u := range d.engines {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, u+"/fake/started", nil)
		if err != nil {
			return 0, err
		}
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err
		}
		n := 0
		err = json.NewDecoder(w.Body).Decode(&n)
		_ = w.Body.Close()
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

func (d *demo) startBoxes(context.Context) error {
	if err := d.makeAuthority(); err != nil {
		return err
	}
	for _, h := range halls {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%c-%d", h[len(h)-1], n)
			path, err := d.writeSettings(name, h)
			if err != nil {
				return err
			}
			p, a, err := process.StartBox(filepath.Join(d.programs, "linetiller"), path, name, nil)
			if err != nil {
				return err
			}
			d.processes = append(d.processes, p)
			d.boxes = append(d.boxes, a)
			d.say("box %s in %s: clients %s, operators %s", name, h, a.Clients, a.Operators)
		}
	}
	return nil
}

func (d *demo) startFakes(context.Context) error {
	p, u, err := process.StartFake(filepath.Join(d.programs, "fakeplatform"), "platform")
	if err != nil {
		return err
	}
	d.processes, d.platform = append(d.processes, p), u
	for _, h := range halls {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", h, n)
			p, u, err := process.StartFake(filepath.Join(d.programs, "fakeengine"), name, "-step", "20ms")
			if err != nil {
				return err
			}
			d.processes, d.engines[name] = append(d.processes, p), u
		}
	}
	p, u, err = process.StartFake(filepath.Join(d.programs, "fakeservice"), "service")
	if err != nil {
		return err
	}
	d.processes, d.service = append(d.processes, p), u
	return nil
}

// stopAll stops every process that was started, the newest first.
func (d *demo) stopAll() {
	for i := len(d.processes) - 1; i >= 0; i-- {
		d.processes[i].Stop()
	}
}

func (d *demo) makeAuthority() error {
	return d.linetiller("certificate", "authority", "--certificate", d.path("authority.pem"), "--key", d.path("authority-key.pem"))
}

func (d *demo) path(name string) string {
	return filepath.Join(d.directory, name)
}

func (d *demo) writeSettings(name, hall string) (string, error) {
	err := d.linetiller("certificate", "box", "--certificate", d.path(name+".pem"), "--key", d.path(name+"-key.pem"),
		"--authority", d.path("authority.pem"), "--authority-key", d.path("authority-key.pem"), name, "127.0.0.1")
	if err != nil {
		return "", err
	}
	s := fmt.Sprintf(`box = %q
hall = %q
box_address = "127.0.0.1:0"
client_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
operator_key_hash = %q
platform = %q

[tls]
authority = %q
certificate = %q
key = %q
`, name, hall, resource.HashKey(operatorKey), d.platform, d.path("authority.pem"), d.path(name+".pem"), d.path(name+"-key.pem"))
	p := d.path(name + ".toml")
	return p, os.WriteFile(p, []byte(s), 0o600)
}

// wholeOnce checks that the event ids name the tokens of one generation, each
// once and in order.
func wholeOnce(ids []string, count int) error {
	if len(ids) != count {
		return fmt.Errorf("%d tokens came, %d were made", len(ids), count)
	}
	first := strings.TrimSuffix(ids[0], "/0")
	for i, id := range ids {
		if id != fmt.Sprintf("%s/%d", first, i) {
			return fmt.Errorf("token %d has the id %q", i, id)
		}
	}
	return nil
}
