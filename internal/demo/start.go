package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/process"
	"github.com/linetiller/linetiller/internal/resource"
)

// applyResources applies the resources at one box, and waits until all boxes use them and a watch at a
// box of the other hall has reported them.
func (d *demo) applyResources(ctx context.Context) error {
	path := filepath.Join(d.temporaryFolder, "resources.json")
	if err := os.WriteFile(path, d.resources(), 0o600); err != nil {
		return err
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan error, 1)
	o := operator.NewClient("http://"+d.boxes[3].Operators, operatorKey, &http.Client{})
	// There are eight resources: a model, a priority, a workspace, four engines and a service.
	go func() { watched <- d.watchChanges(watch, o, 8) }()
	if err := d.runCommand("apply", "-f", path, "--wait", applyTimeout.String(),
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

// filePath returns the path of a file in the temporary folder.
func (d *demo) filePath(name string) string {
	return filepath.Join(d.temporaryFolder, name)
}

func (d *demo) makeAuthority() error {
	return d.runCommand("certificate", "authority", "--certificate", d.filePath("authority.pem"), "--key", d.filePath("authority-key.pem"))
}

// resources returns the resources of the demonstration as a JSON list.
func (d *demo) resources() []byte {
	var l []*resource.Resource
	add := func(k resource.Kind, name string, spec any) {
		b, _ := json.Marshal(spec)
		l = append(l, &resource.Resource{Kind: k, Metadata: resource.Metadata{Name: name}, Spec: b})
	}
	add(resource.KindModel, model, resource.ModelSpec{MaxTokens: 2000})
	add(resource.KindPriority, "counter", resource.PrioritySpec{Value: 10})
	add(resource.KindWorkspace, "quotes", resource.WorkspaceSpec{KeyHashes: []string{resource.HashKey(workspaceKey)}, Priority: "counter", Weight: 1})
	for n, u := range d.engineURLs {
		add(resource.KindUpstream, n, resource.UpstreamSpec{
			Address: u, Hall: n[:len(n)-2], KVTokens: 60_000, MaxBatch: 100, Models: []string{model}, Type: resource.UpstreamEngine,
		})
	}
	add(resource.KindUpstream, "quote-desk-1", resource.UpstreamSpec{
		Address: d.serviceURL, Hall: halls[0], Service: "quote-desk", Type: resource.UpstreamService,
	})
	b, _ := json.MarshalIndent(l, "", "  ")
	return b
}

// startBoxes creates a certificate authority and starts two boxes in each hall.
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
			p, a, err := process.StartBox(filepath.Join(d.programFolder, "linetiller"), path, name, nil)
			if err != nil {
				return err
			}
			d.processes = append(d.processes, p)
			d.boxes = append(d.boxes, a)
			d.printf("box %s in %s: clients %s, operators %s", name, h, a.Clients, a.Operators)
		}
	}
	return nil
}

// startFakes starts a fake platform, two fake engines in each hall, and a fake service.
func (d *demo) startFakes(context.Context) error {
	p, u, err := process.StartFake(filepath.Join(d.programFolder, "fakeplatform"), "platform")
	if err != nil {
		return err
	}
	d.processes, d.platformURL = append(d.processes, p), u
	for _, h := range halls {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", h, n)
			p, u, err := process.StartFake(filepath.Join(d.programFolder, "fakeengine"), name, "-step", "20ms")
			if err != nil {
				return err
			}
			d.processes, d.engineURLs[name] = append(d.processes, p), u
		}
	}
	p, u, err = process.StartFake(filepath.Join(d.programFolder, "fakeservice"), "service")
	if err != nil {
		return err
	}
	d.processes, d.serviceURL = append(d.processes, p), u
	return nil
}

// startedGenerations returns the number of generations that the engines have started.
func (d *demo) startedGenerations(ctx context.Context) (int, error) {
	sum := 0
	for _, u := range d.engineURLs {
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

// stopAll stops all processes in the reverse order of their start.
func (d *demo) stopAll() {
	for i := len(d.processes) - 1; i >= 0; i-- {
		d.processes[i].Stop()
	}
}

// writeSettings creates the certificate and the settings file of a box, and returns the path of the file.
func (d *demo) writeSettings(name, hall string) (string, error) {
	err := d.runCommand("certificate", "box", "--certificate", d.filePath(name+".pem"), "--key", d.filePath(name+"-key.pem"),
		"--authority", d.filePath("authority.pem"), "--authority-key", d.filePath("authority-key.pem"), name, "127.0.0.1")
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
`, name, hall, resource.HashKey(operatorKey), d.platformURL, d.filePath("authority.pem"), d.filePath(name+".pem"), d.filePath(name+"-key.pem"))
	p := d.filePath(name + ".toml")
	return p, os.WriteFile(p, []byte(s), 0o600)
}
