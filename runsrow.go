package linetiller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// runsRow is the state of a hall's row of completed requests, as needed to write it.
type runsRow struct {
	changed   bool                        // whether runs were reported since the last write
	checkedAt time.Time                   // last check for something to write; a check takes a few milliseconds
	revision  int64                       // of the row; 0 if there is none
	triedAt   time.Time                   // last attempt to write
	written   map[policy.Fingerprint]bool // fingerprints in the row; nil if unknown
}

// runEntry is a completed request in the row.
type runEntry struct {
	_           struct{} `cbor:",toarray"`
	AtMS        int64    // when it last completed, in Unix milliseconds of the store's clock
	Fingerprint policy.Fingerprint
	Times       int // number of completed runs
}

const (
	runsKind = "served"
	// maxRuns limits the requests in a row. Each takes about 30 B, and a row may have 64 KB.
	maxRuns = 1024
	// runsWriteInterval is the minimum time between two writes. If a request that has run at least
	// frequentRunThreshold times is not in the row yet, frequentRunWriteInterval applies instead.
	runsWriteInterval        = 30 * time.Second
	frequentRunWriteInterval = 5 * time.Second
	frequentRunThreshold     = 3
)

// mergeRunsRow adds the runs in a hall's row to those that this box knows.
func (b *Box) mergeRunsRow(r *table.Row, hall string) {
	k := b.recorder
	l := k.decodeRuns(r.Value)
	b.relay.FrequentRuns().Merge(l, time.Now())
	if hall == b.settings.Hall {
		k.setRunsWritten(r.Revision, l)
	}
}

// writeRuns writes the row of completed requests if it is due.
func (b *Box) writeRuns(ctx context.Context) {
	k := b.recorder
	l, revision := k.runsDue(b.relay.FrequentRuns(), b.stopping.Load(), time.Now())
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

// decodeRuns returns the runs in a row. It omits runs whose time lies in the future: the store's
// clock was reset after they were written, so that their age is unknown.
func (k *recorder) decodeRuns(value json.RawMessage) []policy.CompletedRun {
	var l []policy.CompletedRun
	for _, x := range decodeRow[runEntry](value) {
		if at, past := k.localTime(x.AtMS); past {
			l = append(l, policy.CompletedRun{At: at, Fingerprint: x.Fingerprint, Times: x.Times})
		}
	}
	return l
}

// markRunsChanged records that there are runs to write.
func (k *recorder) markRunsChanged() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.runs.changed = true
}

// runEntries converts runs to entries of the row.
func (k *recorder) runEntries(runs []policy.CompletedRun) []runEntry {
	var l []runEntry
	for _, x := range runs {
		l = append(l, runEntry{AtMS: k.storeMS(x.At), Fingerprint: x.Fingerprint, Times: x.Times})
	}
	return l
}

// runsDue returns the runs to write now and the row's revision; it returns no runs if no write is
// due. A box that is leaving writes without waiting for the intervals.
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

// setRunsWritten records the contents and the revision of the row.
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

// invalidate marks the contents of the row as unknown.
func (r *runsRow) invalidate() {
	r.revision, r.written = 0, nil
}

// runsKey returns the key of a hall's row of completed requests.
func runsKey(hall string) string { return recorderTable + "/" + runsKind + "/" + hall }
