package linetiller_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const modulePath = "github.com/linetiller/linetiller"

// layersByPackage returns the layer of each package, from 1, as the developer guide lists them.
func layersByPackage(t *testing.T) map[string]int {
	t.Helper()
	_, page, found := strings.Cut(readFile(t, "docs/developer-guide.md"), "### Layers\n")
	if !found {
		t.Fatal("the guide lists no layers")
	}
	page, _, _ = strings.Cut(page, "\n## ")
	layers := make(map[string]int)
	for i, line := range regexp.MustCompile(`(?m)^    (.+)$`).FindAllStringSubmatch(page, -1) {
		for _, n := range strings.Fields(line[1]) {
			layers[n] = i + 1
		}
	}
	return layers
}

// layerName returns the name under which the guide lists a package, given its import path or
// folder, and whether boxes run the package.
func layerName(path string) (name string, listed bool) {
	path = strings.TrimPrefix(path, modulePath)
	path = strings.TrimPrefix(strings.TrimPrefix(path, "/"), "internal/")
	for _, prefix := range []string{"fake/", "measure", "process"} {
		if strings.HasPrefix(path, prefix) {
			return path, false
		}
	}
	if path == "" {
		return "linetiller", true
	}
	return path, true
}

// TestLayersHold checks that packages of this module import only packages of lower layers, as the
// developer guide lists them.
func TestLayersHold(t *testing.T) {
	layers := layersByPackage(t)
	checked := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "cmd/") {
			return err
		}
		from, listed := layerName(strings.TrimSuffix(filepath.Dir(path), "."))
		if !listed {
			return nil
		}
		if layers[from] == 0 {
			t.Errorf("%s: package %s is in no layer", path, from)
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, x := range file.Imports {
			p := strings.Trim(x.Path.Value, `"`)
			if !strings.HasPrefix(p, modulePath) {
				continue
			}
			checked++
			to, ok := layerName(p)
			switch {
			case !ok && layers[from] < layers["experiment"]:
				t.Errorf("%s imports %s, a stand-in or a measurement", path, to)
			case ok && layers[to] >= layers[from]:
				t.Errorf("%s (layer %d) imports %s (layer %d)", path, layers[from], to, layers[to])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := checked, 300; got < want {
		t.Errorf("imports checked: got %d, want at least %d", got, want)
	}
}

// TestPeriodsAreNotMeasuredByTheTimeOfDay guards against periods computed from Unix times, which
// lack the reading of the monotonic clock: a step of the wall clock made reads of the store look
// older or newer than they are.
func TestPeriodsAreNotMeasuredByTheTimeOfDay(t *testing.T) {
	allowed := map[string]bool{"internal/policy/admission.go": true} // only orders waiting requests
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || allowed[path] {
			return err
		}
		if _, listed := layerName(strings.TrimSuffix(filepath.Dir(path), ".")); !listed {
			return nil
		}
		if s := readFile(t, path); strings.Contains(s, ".UnixNano()") || strings.Contains(s, "time.Unix(0,") {
			t.Errorf("%s: got a time of day in nanoseconds, want a time.Time", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
