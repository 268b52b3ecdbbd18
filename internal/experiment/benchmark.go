package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// Benchmark runs days on the users' benchmark, an external program that must be started from the root
// of the repository.
type Benchmark struct {
	ReportFolder string // folder to which the program writes its reports
	Program      string // path
	Reason       string // recorded in every report
}

// snapshotPrefix is the prefix of the output line with the report ID of a run.
const snapshotPrefix = "snapshot "

// Run runs a day of a site with a seed, 0 for the default of the day, and returns the rows of its
// report. It copies the output of the program to output.
func (b *Benchmark) Run(ctx context.Context, site, day string, seed int64, output io.Writer) ([]Row, error) {
	a := []string{"run", site, day, "--why", b.Reason}
	if seed != 0 {
		a = append(a, "--seed", strconv.FormatInt(seed, 10))
	}
	var printed bytes.Buffer
	c := exec.CommandContext(ctx, b.Program, a...)
	c.Stdout = io.MultiWriter(&printed, output)
	c.Stderr = output
	if err := c.Run(); err != nil {
		return nil, fmt.Errorf("run day %s on site %s: %w", day, site, err)
	}
	id, err := lastSnapshot(printed.String())
	if err != nil {
		return nil, fmt.Errorf("run day %s on site %s: %w", day, site, err)
	}
	return b.readReport(id)
}

// readReport returns the rows of the report with the given ID.
func (b *Benchmark) readReport(id string) ([]Row, error) {
	l, err := filepath.Glob(filepath.Join(b.ReportFolder, "*-"+id+".json"))
	if err != nil {
		return nil, err
	}
	if len(l) != 1 {
		return nil, fmt.Errorf("found %d reports of run %s in %s, want 1", len(l), id, b.ReportFolder)
	}
	return ReadFiles(l)
}

// lastSnapshot returns the last report ID in the output of the benchmark.
func lastSnapshot(printed string) (string, error) {
	lines := strings.Split(strings.TrimSpace(printed), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := strings.CutPrefix(lines[i], snapshotPrefix); ok {
			return strings.TrimSpace(id), nil
		}
	}
	return "", errors.New("benchmark printed no report ID")
}
