package explain

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestStories compares the timelines of requests that were refused, interrupted, late, moved, lost
// or resumed with golden files. The timelines are built from the recorded logs of two boxes.
func TestStories(t *testing.T) {
	var all []Line
	for _, n := range []string{"box-1.log", "box-2.log"} {
		f, err := os.Open(filepath.Join("testdata", n))
		if err != nil {
			t.Fatal(err)
		}
		l, err := Read(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, l...)
	}
	for _, id := range []string{"refused", "passed-over", "cut", "late", "moved", "lost", "resumed"} {
		s, err := NewTimeline(all, id)
		if err != nil {
			t.Errorf("%s: %v", id, err)
			continue
		}
		path := filepath.Join("testdata", id+".golden")
		if *update {
			if err := os.WriteFile(path, []byte(s.String()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.String(); got != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", id, got, want)
		}
	}
	if _, err := NewTimeline(all, "none"); !errors.Is(err, ErrNotFound) {
		t.Errorf("timeline of a request that is not in the logs: got %v, want %v", err, ErrNotFound)
	}
}

// TestReasonsAreExplained checks that each error reason in the sources of the relay and of the calls
// to upstreams has an entry in reasons. Without one, the explanation shows the bare reason.
func TestReasonsAreExplained(t *testing.T) {
	pattern := regexp.MustCompile(`fail\.(?:New|Wrap)\(.*?"([a-z]+_[a-z_]+)"`) // the underscore tells reasons from step names
	found := 0
	for _, p := range []string{"../relay/*.go", "../../platform/engines.go"} {
		files, _ := filepath.Glob(p)
		for _, f := range files {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range pattern.FindAllStringSubmatch(string(b), -1) {
				if strings.HasSuffix(f, "_test.go") || m[1] == "bad_upstream_request" || m[1] == "upstream_garbled" {
					continue
				}
				found++
				if reasons[m[1]] == "" {
					t.Errorf("%s: reason %q has no entry in reasons", f, m[1])
				}
			}
		}
	}
	if found < 15 {
		t.Errorf("reasons found: got %d, want at least 15", found)
	}
}

// FuzzRead checks that no log and request ID cause a panic, and that each timeline has a cause.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"time":"2026-12-02T10:00:00Z","msg":"x","event":203,"request":"r","reason":7}`), "r")
	f.Add([]byte("12.3 box-1 {\"event\":\"x\",\"request\":\"r\"}\n{}\nnothing"), "r")
	f.Fuzz(func(t *testing.T, b []byte, id string) {
		l, err := Read(bytes.NewReader(b))
		if err != nil {
			return
		}
		if s, err := NewTimeline(l, id); err == nil && s.Cause == "" {
			t.Error("got a timeline without a cause")
		}
	})
}
