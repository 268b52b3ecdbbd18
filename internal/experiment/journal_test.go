package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testJournal holds the reports of three runs: one without days, one that violated rules, and one that
// ended with a fault.
var testJournal = map[string]string{
	"1.json": `{"id":"aa","at":["2026-01-01T00:00:00Z","x"],"cmd":"run","head":"0123456789","site":"small","why":"first look","days":null}`,
	"2.json": `{"id":"bb","at":["2026-01-02T00:00:00Z","x"],"cmd":"hunt","head":"89abcdef01","site":"small-grown","why":"a hunt","days":[
{"name":"quiet-1","G":0.9,"rules":{}},{"name":"trouble-1","G":0.5,"rules":{"ORDER":2,"LOST":1}}]}`,
	"3.json": `{"id":"cc","at":["2026-01-03T00:00:00Z","x"],"cmd":"score","head":"89abcdef01","site":"large","why":"a score","days":[{"name":"quiet-1","G":0.8,"fault":"it ended"}]}`,
}

// TestJournalIsFiltered checks which runs each filter selects, and the columns that are printed for
// a run.
func TestJournalIsFiltered(t *testing.T) {
	folder := t.TempDir()
	for n, text := range testJournal {
		if err := os.WriteFile(filepath.Join(folder, n), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []struct {
		arguments string
		want      string // ids, in order
	}{
		{"", "aa bb cc"},
		{"--site small", "aa bb"},
		{"--site large", "cc"},
		{"--head 89ab", "bb cc"},
		{"--why hunt", "bb"},
		{"--day trouble", "bb"},
		{"--broken", "bb cc"},
		{"--broken --day quiet --site l", "cc"},
		{"--site none", ""},
	} {
		var out, errs bytes.Buffer
		arguments := append([]string{"experiment", "journal", "--folder", folder}, strings.Fields(x.arguments)...)
		if got := Main(arguments, &out, &errs); got != 0 {
			t.Fatalf("%q: got exit code %d: %s", x.arguments, got, errs.String())
		}
		var ids []string
		for l := range strings.Lines(out.String()) {
			ids = append(ids, strings.Fields(l)[1])
		}
		if got := strings.Join(ids, " "); got != x.want {
			t.Errorf("%q: got %q, want %q", x.arguments, got, x.want)
		}
		if x.arguments == "--why hunt" && !strings.Contains(out.String(), "89abcde  2 days  0.700  LOST,ORDER  a hunt") {
			t.Errorf("got %q, want the commit, days, mean worth, violated rules and reason", out.String())
		}
	}
}

// TestJournalNamesWhatItCannotRead checks that the error for a malformed report names its file.
func TestJournalNamesWhatItCannotRead(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "broken.json"), []byte(`{"id":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readJournal(folder, &journalFilter{}); err == nil || !strings.Contains(err.Error(), "broken.json") {
		t.Errorf("got %v, want an error that names the file", err)
	}
}
