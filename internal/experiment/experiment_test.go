package experiment

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// testReport is a shortened report in the format of the users' benchmark.
const testReport = `{"head":"0123456789abcdef","site":"s","why":"w","error":null,"days":[
{"G":0.8,"name":"quiet-1","seed":7,"served":0.9,"rules":{"CONFIG":2},"by_class":[0.5,null],
"parts":[["whole day",0.56,0.9]],"prices":[["calls",10,0.02],["nothing",0,0.0]]}]}`

func testRows(version string, worth ...float64) []Row {
	var l []Row
	for i, v := range worth {
		l = append(l, Row{Day: "d", Measure: measureWorth, Seed: int64(i), Site: "s", Value: v, Version: version})
	}
	return l
}

func TestReportBecomesRows(t *testing.T) {
	got, err := parseRows([]byte(testReport))
	if err != nil {
		t.Fatal(err)
	}
	var want []Row
	for _, x := range []struct {
		measure string
		value   float64
	}{{"worth", 0.8}, {"served", 0.9}, {"broken rules", 2}, {"class 1", 0.5}, {"part whole day", 0.9}, {"price calls", 0.02}, {"price nothing", 0}} {
		want = append(want, Row{Day: "quiet-1", Measure: x.measure, Seed: 7, Site: "s", Value: x.value, Version: "01234567"})
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestUnfinishedReportIsAnError(t *testing.T) {
	if _, err := parseRows([]byte(`{"head":"0123","error":"the run did not finish"}`)); err == nil {
		t.Error("got no error, want one")
	}
}

func TestRowsComeBackAsWritten(t *testing.T) {
	want := testRows("v", 0.1, 0.2)
	var b bytes.Buffer
	if err := WriteRows(&b, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadRows(&b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
	if _, err := ReadRows(strings.NewReader("{}\n{")); err == nil {
		t.Error("truncated row: got no error, want one")
	}
}

// TestCompareTellsChanceFromChange checks that differences are disjoint only if the ranges do not
// overlap, and that measures of a single version are omitted.
func TestCompareTellsChanceFromChange(t *testing.T) {
	for _, x := range []struct {
		after    []float64
		disjoint bool
	}{{[]float64{0.5, 0.7}, false}, {[]float64{0.71, 0.9}, true}, {[]float64{0.1, 0.3}, true}} {
		l := Compare(testRows("a", 0.4, 0.6, 0.7), append(testRows("b", x.after...), Row{Day: "other"}))
		if len(l) != 1 {
			t.Fatalf("got %d differences, want 1", len(l))
		}
		if got, want := l[0].Disjoint(), x.disjoint; got != want {
			t.Errorf("after %v: disjoint: got %v, want %v", x.after, got, want)
		}
	}
}

func TestDifferencesArePrintedSideBySide(t *testing.T) {
	var b bytes.Buffer
	if err := PrintDifferences(Compare(testRows("a", 0.25, 0.75), testRows("b", 0.875)), &b); err != nil {
		t.Fatal(err)
	}
	want := "site  day  measure  before                     after                      change   \n" +
		"s     d    worth    0.5000 (0.2500-0.7500, 2)  0.8750 (0.8750-0.8750, 1)  +0.3750  *\n"
	if got := b.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestDrawWritesAChart(t *testing.T) {
	rows, err := parseRows([]byte(testReport))
	if err != nil {
		t.Fatal(err)
	}
	for _, by := range []string{ByClass, ByDay, ByPrice} {
		path := filepath.Join(t.TempDir(), by+".svg")
		if err := Draw(rows, by, path); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := string(b); !strings.Contains(got, "<svg") || !strings.Contains(got, "01234567") {
			t.Errorf("by %s: got %.200s, want an SVG chart with the version in its legend", by, got)
		}
		if by == ByPrice && (!strings.Contains(string(b), "calls") || strings.Contains(string(b), "nothing")) {
			t.Error("by price: want the price of calls drawn and the price of 0 omitted")
		}
	}
	if err := Draw(rows, "moon", filepath.Join(t.TempDir(), "x.svg")); err == nil {
		t.Error("by an unknown key: got no error, want one")
	}
}

// TestPlayReadsTheReportOfItsRun runs a script that writes a report like the benchmark, and checks its
// arguments and the rows read from the report.
func TestPlayReadsTheReportOfItsRun(t *testing.T) {
	d := t.TempDir()
	program := filepath.Join(d, "bench")
	script := "#!/bin/sh\necho \"$*\" > " + d + "/arguments\ncat > " + d + "/20261202T000000-abc123.json <<'E'\n" + testReport + "\nE\necho 'a day'\necho 'snapshot abc123'\n"
	if err := os.WriteFile(program, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	b := &Benchmark{ReportFolder: d, Program: program, Reason: "to see"}
	rows, err := b.Run(t.Context(), "site.toml", "quiet-1", 9, io.Discard)
	if err != nil || len(rows) != 7 {
		t.Fatalf("got %d rows and error %v, want 7", len(rows), err)
	}
	a, err := os.ReadFile(filepath.Join(d, "arguments"))
	if got, want := strings.TrimSpace(string(a)), "run site.toml quiet-1 --why to see --seed 9"; got != want || err != nil {
		t.Errorf("arguments: got %q and error %v, want %q", got, err, want)
	}
	b.ReportFolder = t.TempDir()
	if _, err := b.Run(t.Context(), "site.toml", "quiet-1", 0, io.Discard); err == nil {
		t.Error("no report: got no error, want one")
	}
}

// TestStandInsRepeat checks that simulations with the same seed give the same rows.
func TestStandInsRepeat(t *testing.T) {
	const period = 10 * time.Second
	got, want := Simulate("v", 3, period), Simulate("v", 3, period)
	if !reflect.DeepEqual(got, want) || len(got) == 0 {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMainRuns checks the exit codes of the commands.
func TestMainRuns(t *testing.T) {
	d := t.TempDir()
	report, rows := filepath.Join(d, "report.json"), filepath.Join(d, "rows")
	if err := os.WriteFile(report, []byte(testReport), 0o600); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if got := Main([]string{"experiment", "rows", report}, &b, io.Discard); got != 0 {
		t.Fatalf("rows: got exit code %d, want 0", got)
	}
	if err := os.WriteFile(rows, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		arguments []string
		want      int
	}{
		{[]string{"compare", report, rows}, 0},
		{[]string{"compare", report}, 1},
		{[]string{"draw", "--chart", filepath.Join(d, "x.svg"), rows}, 0},
		{[]string{"draw", "--chart", filepath.Join(d, "x.svg"), filepath.Join(d, "none")}, 1},
		{[]string{"play", "--bench", "x", "--output", filepath.Join(d, "y")}, 1},
	} {
		if got := Main(append([]string{"experiment"}, x.arguments...), io.Discard, io.Discard); got != x.want {
			t.Errorf("%v: got exit code %d, want %d", x.arguments, got, x.want)
		}
	}
}
