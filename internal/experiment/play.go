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

// Benchmark plays days on the users' bench, from the repository's root.
type Benchmark struct {
	ReportFolder string // the folder where the bench leaves its reports
	Program      string
	Reason       string // goes with every run
}

// snapshotPrefix begins the line by which the bench names a run's report.
const snapshotPrefix = "snapshot "

// Run plays a day of a site from one seed, 0 for the day's own, and returns its rows.
// What the bench prints goes to output.
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
		return nil, fmt.Errorf("play %s of %s: %w", day, site, err)
	}
	id, err := lastSnapshot(printed.String())
	if err != nil {
		return nil, fmt.Errorf("play %s of %s: %w", day, site, err)
	}
	return b.readReport(id)
}

// readReport reads the report of a run.
func (b *Benchmark) readReport(id string) ([]Row, error) {
	l, err := filepath.Glob(filepath.Join(b.ReportFolder, "*-"+id+".json"))
	if err != nil {
		return nil, err
	}
	if len(l) != 1 {
		return nil, fmt.Errorf("there are %d reports of run %s in %s, not 1", len(l), id, b.ReportFolder)
	}
	return ReadFiles(l)
}

// lastSnapshot returns the id of the report that the bench named last.
func lastSnapshot(printed string) (string, error) {
	lines := strings.Split(strings.TrimSpace(printed), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := strings.CutPrefix(lines[i], snapshotPrefix); ok {
			return strings.TrimSpace(id), nil
		}
	}
	return "", errors.New("the bench named no report")
}
