package linetiller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// runsRow is the state of a hall's row of requests that ran to their ends, as its writer needs it.
type runsRow struct {
	changed   bool      // runs were reported that are not written yet
	checkedAt time.Time // for something to write: a check takes some milliseconds
	revision  int64     // of the row, 0 where there is none
	triedAt   time.Time
	written   map[policy.Fingerprint]bool
}

// runEntry is a request in the row.
type runEntry struct {
	_           struct{} `cbor:",toarray"`
	AtMS        int64    // when it last ran to its end, by the store's clock
	Fingerprint policy.Fingerprint
	Times       int
}

const (
	runsKind = "served"
	// maxRuns bounds the requests of a row, of some 30 B each: a row may have 64 KB.
	maxRuns = 1024
	// runsWriteInterval is the minimum time between two writes, frequentRunWriteInterval that for a request which has
	// run frequentRunThreshold times and is not in the row.
	runsWriteInterval        = 30 * time.Second
	frequentRunWriteInterval = 5 * time.Second
	frequentRunThreshold     = 3
)

// mergeRunsRow records what the row of a hall holds.
func (b *Box) mergeRunsRow(r *table.Row, hall string) {
	k := b.recorder
	l := k.decodeRuns(r.Value)
	b.relay.Frequent().Merge(l, time.Now())
	if hall == b.settings.Hall {
		k.setRunsWritten(r.Revision, l)
	}
}

// writeRuns writes the row, where that is due.
func (b *Box) writeRuns(ctx context.Context) {
	k := b.recorder
	l, revision := k.runsDue(b.relay.Frequent(), b.stopping.Load(), time.Now())
	if len(l) == 0 {
		return
	}
	revision, ok := b.commitRow(ctx, runsKey(b.settings.Hall), revision, encodeRow(k.runEntries(l)))
	if !ok {
		k.markRunsChanged()
		return
	}
	k.setRunsWritten(revision, l)
}

// decodeRuns returns the runs of a row. It leaves out those of a time to come: the store's clock was reset
// since they were written, so that their age is unknown.
func (k *recorder) decodeRuns(value json.RawMessage) []policy.CompletedRun {
	var l []policy.CompletedRun
	for _, x := range decodeRow[runEntry](value) {
		if at, past := k.localTime(x.AtMS); past {
			l = append(l, policy.CompletedRun{At: at, Fingerprint: x.Fingerprint, Times: x.Times})
		}
	}
	return l
}

// runEntries returns runs as the row has them.
func (k *recorder) runEntries(runs []policy.CompletedRun) []runEntry {
	var l []runEntry
	for _, x := range runs {
		l = append(l, runEntry{AtMS: k.storeMS(x.At), Fingerprint: x.Fingerprint, Times: x.Times})
	}
	return l
}

// runsDue returns the runs to write now, if any, and the row's revision.
func (k *recorder) runsDue(f *policy.FrequentRuns, leaving bool, now time.Time) ([]policy.CompletedRun, int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	r := &k.runs
	if (!r.changed && r.written != nil) || (now.Sub(r.checkedAt) < frequentRunWriteInterval && !leaving) {
		return nil, 0
	}
	r.checkedAt = now
	l := f.Top(maxRuns, now)
	unwritten := func(x policy.CompletedRun) bool { return x.Times >= frequentRunThreshold && !r.written[x.Fingerprint] }
	due := leaving || now.Sub(r.triedAt) >= runsWriteInterval || slices.ContainsFunc(l, unwritten)
	if !due || len(l) == 0 {
		return nil, 0
	}
	r.changed, r.triedAt = false, now
	return l, r.revision
}

// markRunsChanged records that runs are known that are not written yet.
func (k *recorder) markRunsChanged() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.runs.changed = true
}

// setRunsWritten records what the row holds.
func (k *recorder) setRunsWritten(revision int64, l []policy.CompletedRun) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	r := &k.runs
	r.revision = revision
	r.written = make(map[policy.Fingerprint]bool, len(l))
	for _, x := range l {
		r.written[x.Fingerprint] = true
	}
}

// invalidate records that it is not known what the row holds.
func (r *runsRow) invalidate() {
	r.revision, r.written = 0, nil
}

// runsKey returns the key of a hall's row.
func runsKey(hall string) string { return keptTable + "/" + runsKind + "/" + hall }
