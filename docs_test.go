package linetiller_test

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/linetiller/linetiller/internal/cmd"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestPromisesNameTests checks that every test named in the tables exists in the package named
// beside it.
func TestPromisesNameTests(t *testing.T) {
	pages := readFile(t, "docs/PROMISES.md") + readFile(t, "docs/design/platform.md")
	names := regexp.MustCompile("`((?:Test|Fuzz)\\w+)` \\(([^)]+)\\)").FindAllStringSubmatch(pages, -1)
	if got, want := len(names), 60; got < want {
		t.Errorf("tests named: got %d, want at least %d", got, want)
	}
	for _, n := range names {
		files, _ := filepath.Glob(filepath.Join(n[2], "*_test.go"))
		found := false
		for _, f := range files {
			found = found || strings.Contains(readFile(t, f), "func "+n[1]+"(")
		}
		if !found {
			t.Errorf("%s is not in %s", n[1], n[2])
		}
	}
}

func TestEventsAreCatalogued(t *testing.T) {
	page := readFile(t, "docs/EVENTS.md")
	for _, e := range event.All {
		if want := fmt.Sprintf("| %d | %s | %s |", e.Number, e.Name, strings.ToLower(e.Level.String())); !strings.Contains(page, want) {
			t.Errorf("page: got no row that begins with %q", want)
		}
	}
	if got, want := strings.Count(page, "\n| "), len(event.All)+1; got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
}

func TestMetricsAreListed(t *testing.T) {
	page := readFile(t, "docs/reference.md")
	for _, n := range metric.Names {
		if !strings.Contains(page, "`"+string(n)+"`") {
			t.Errorf("page: got no %s", n)
		}
	}
}

// TestCommandsInDocsExist runs every command line shown in the docs with --help, and checks that
// the help lists the flags that it uses.
func TestCommandsInDocsExist(t *testing.T) {
	var pages []string
	for _, p := range []string{"README.md", "docs/*.md", "docs/*/*.md"} {
		l, _ := filepath.Glob(p)
		pages = append(pages, l...)
	}
	commandLines := 0
	for _, p := range pages {
		for _, l := range regexp.MustCompile(`(?m)^    linetiller (.*)$`).FindAllStringSubmatch(readFile(t, p), -1) {
			commandLines++
			arguments := []string{"linetiller"}
			for _, w := range strings.Fields(l[1]) {
				if !regexp.MustCompile(`^[a-z]+$`).MatchString(w) {
					break
				}
				arguments = append(arguments, w)
			}
			for _, f := range regexp.MustCompile(` --?[a-z][a-z-]*`).FindAllString(" "+l[1], -1) {
				f = strings.TrimSpace(f)
				var out strings.Builder
				if c := cmd.Main(append(arguments, "--help"), strings.NewReader(""), &out, &out); c != 0 || !strings.Contains(out.String(), f) {
					t.Errorf("%s: %s: got no flag %s in its help", p, l[0], f)
				}
			}
		}
	}
	if commandLines < 10 {
		t.Errorf("command lines in the docs: got %d, want at least 10", commandLines)
	}
}

// TestLayoutNamesEveryPackage checks that the developer guide's section on the layout names
// each package under internal.
func TestLayoutNamesEveryPackage(t *testing.T) {
	_, rest, _ := strings.Cut(readFile(t, "docs/developer-guide.md"), "## Layout")
	layout, _, _ := strings.Cut(rest, "\n## ")
	l, err := os.ReadDir("internal")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range l {
		if d.IsDir() && !strings.Contains(layout, "`"+d.Name()+"`") && !strings.Contains(layout, "`internal/"+d.Name()+"`") {
			t.Errorf("the layout does not name internal/%s", d.Name())
		}
	}
}

// TestLinksInDocsLead checks that every page linked from another exists.
func TestLinksInDocsLead(t *testing.T) {
	pages, _ := filepath.Glob("docs/*.md")
	more, _ := filepath.Glob("docs/*/*.md")
	for _, p := range append(append(pages, more...), "README.md") {
		for _, l := range regexp.MustCompile(`\]\(([^)#:]+)\)`).FindAllStringSubmatch(readFile(t, p), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(p), l[1])); err != nil {
				t.Errorf("%s: %v", p, err)
			}
		}
	}
}

// TestWireNamesStandInOnePlace checks that names of the platform's wire protocol occur only in
// platform/ and in the stand-ins.
func TestWireNamesStandInOnePlace(t *testing.T) {
	names := regexp.MustCompile(`X-Linetiller-|(?i:kv-(?:from|backup|move|handle|fetch|pin)|hold-take)|rows-(?:tx|get|feed)|blob-(?:put|get)|target_version|expected_rev|after_rev|api_keys|path_prefix`)
	files := 0
	err := filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == "platform" || path == filepath.Join("internal", "fake") || strings.HasPrefix(path, ".git")) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		if n := names.FindString(readFile(t, path)); n != "" {
			t.Errorf("%s: got %q, which belongs in platform/", path, n)
		}
		return nil
	})
	if err != nil || files < 50 {
		t.Errorf("files read: got %d, %v", files, err)
	}
}

// TestKnownFailuresAreFew checks the list of tests that are known to fail: three at most, each
// with the command or seed and what was seen, its cause and an open issue.
func TestKnownFailuresAreFew(t *testing.T) {
	b, err := os.ReadFile("KNOWN-RED.txt")
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	if len(lines) > 3 {
		t.Errorf("tests known to fail: got %d, want at most 3", len(lines))
	}
	for _, l := range lines {
		if !regexp.MustCompile(`^Test\w+ \(.+\): .+; .+; issue \d+$`).MatchString(l) {
			t.Errorf("got %q, want a test, its command or seed, what was seen, the cause and an issue", l)
		}
	}
}
