package linetiller

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// recorder is this box's part in storing what has to survive a restart of all boxes: the
// fingerprints of requests that ran to completion, so that they are not blamed for crashes caused
// by others, and of quarantined requests. Each box reports its completed runs to the recorders of
// its data hall, a few boxes chosen by rendezvous hashing. The first recorder writes the hall's
// rows in the platform's store. The others can replace it, and can clear requests while the store
// is unavailable.
type recorder struct {
	mutex       sync.Mutex // guards the fields below
	era         int64      // era of the store that this box knows
	isRecorder  bool       // this box is one of the recorders of its hall
	quarantined quarantinedRow
	readAt      time.Time // last read of the rows by the local clock; zero if never read
	reportedAt  time.Time // last report of completed runs
	runs        runsRow
	storeReadAt time.Time // last read of the rows by the store's clock
	triedAt     time.Time // last attempt to read the rows
	readPending bool      // the rows must be read before they are written again

	wake chan struct{} // buffered; holds a value if the rows are to be synchronized at once
}

const (
	// recorderTable is the store's table of the recorders' rows.
	recorderTable = "kept"
	// recordersPerHall is how many boxes of each data hall are recorders.
	recordersPerHall = 3
	// recorderSyncInterval is the time between two checks for rows to read or write, or runs to report.
	recorderSyncInterval = 2 * time.Second
	// recorderReadMinInterval is the minimum time between two reads of the rows: when an upstream
	// crashes, many requests may fail and each requests a read.
	recorderReadMinInterval = 5 * time.Second
	// recorderReadMaxAge is the age of a read after which a recorder reads the rows and the store's
	// clock again, so that the drift between the two clocks stays below clockSlack.
	recorderReadMaxAge = time.Hour
	// clockSlack is how far a time in a row may lie after the last read of the rows before the
	// store's clock is assumed to have been reset.
	clockSlack = time.Second
	// reportIntervalPerBox, multiplied by the number of boxes of the hall, is the time between two
	// reports of a box. It limits the load of the recorders.
	reportIntervalPerBox = 200 * time.Millisecond
	// maxReportedRuns limits the requests in one report. Each takes about 20 B.
	maxReportedRuns = 32
)

// newRecorder returns a recorder that has not read the rows yet.
func newRecorder() *recorder { return &recorder{wake: make(chan struct{}, 1)} }

// addRuns records completed runs that were reported by a box of the hall.
func (b *Box) addRuns(l []policy.CompletedRun) {
	b.relay.FrequentRuns().Add(l, time.Now())
	b.recorder.markRunsChanged()
}

// commitRow writes a row of this box's hall if its revision in the store is still the given one. It
// returns the row's new revision and reports whether the row was written.
func (b *Box) commitRow(ctx context.Context, key string, revision int64, value json.RawMessage) (int64, bool) {
	r, err := b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil || !r.Committed {
		b.recorder.requestRead() // after an error, the row may have been written nevertheless
		return 0, false
	}
	return r.Revision, true
}

// readRecorderRows reads the rows of all halls and clears the requests that are known from them to
// have completed.
func (b *Box) readRecorderRows(ctx context.Context) {
	c, err := b.store.Changes(ctx, recorderTable, 0, 0)
	if err != nil {
		return // retried at a later sync
	}
	k, now := b.recorder, time.Now()
	k.setRead(now, c.Now)
	for i := range c.Rows {
		r := &c.Rows[i]
		kind, hall, _ := strings.Cut(r.Key, "/")
		switch kind {
		case runsKind:
			b.mergeRunsRow(r, hall)
		case quarantinedKind:
			b.mergeQuarantinedRow(r, hall)
		}
	}
	event.KeptRowsRead.Log(b.log, "rows", len(c.Rows), "requests", b.relay.FrequentRuns().Size())
	b.relay.ClearCompleted()
}

// reportRuns reports this box's completed runs to the recorders of its hall. If a call fails, the
// runs are reported again, unless this box is a recorder itself.
func (b *Box) reportRuns(ctx context.Context, recorders []string) {
	l := b.relay.CompletedRuns().TakeReport(maxReportedRuns)
	if len(l) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var g errgroup.Group
	for _, n := range recorders {
		g.Go(func() error {
			if n == b.settings.Box {
				b.addRuns(l)
				return nil
			}
			_, err := b.links.CallOnce(ctx, b.members.Address(n), b.newRequest(box.Request{Kind: box.KindReportCompleted, CompletedRuns: l}))
			return err
		})
	}
	if g.Wait() != nil && !slices.Contains(recorders, b.settings.Box) {
		b.relay.CompletedRuns().RestoreReport(l)
	}
}

// requestRecorderRead requests a read of the rows before the next regular synchronization, to clear
// the suspects of a crash that had completed before it.
func (b *Box) requestRecorderRead() {
	k := b.recorder
	k.requestRead()
	select {
	case k.wake <- struct{}{}:
	default: // a read is already pending
	}
}

// runRecorder synchronizes the rows and reports runs until ctx ends.
func (b *Box) runRecorder(ctx context.Context) {
	t := time.NewTicker(recorderSyncInterval)
	defer t.Stop()
	for {
		b.syncRecorderRows(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-b.recorder.wake:
		}
	}
}

// syncRecorderRows reads the rows, reports this box's completed runs and, on the hall's first
// recorder, writes the hall's rows, each if it is due.
func (b *Box) syncRecorderRows(ctx context.Context) {
	hall := b.members.Active(b.settings.Hall)
	recorders := policy.Rank(recorderTable, hall)
	recorders = recorders[:min(recordersPerHall, len(recorders))]
	k, now := b.recorder, time.Now()
	era, _ := b.follower.Era()
	k.setRecorder(slices.Contains(recorders, b.settings.Box), era, now)
	if k.readDue(now) {
		b.readRecorderRows(ctx)
	}
	if k.reportDue(len(hall), now) {
		b.reportRuns(ctx, recorders)
	}
	if recorders[0] == b.settings.Box && k.canWrite() {
		b.writeRuns(ctx)
		b.writeQuarantined(ctx)
	}
}

// canWrite reports whether the contents of the rows are known, so that they may be overwritten.
func (k *recorder) canWrite() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return !k.readAt.IsZero() && !k.readPending
}

// localTime converts a time of the store's clock, in Unix milliseconds, to the local clock. A time
// after the last read is replaced by the time of that read; past is false if it is later by more
// than clockSlack.
func (k *recorder) localTime(storeMS int64) (t time.Time, past bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	d := time.UnixMilli(storeMS).Sub(k.storeReadAt)
	return k.readAt.Add(min(0, d)), d <= clockSlack
}

// readDue reports whether the rows are to be read now, and records the attempt if so.
func (k *recorder) readDue(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.readPending || now.Sub(k.triedAt) < recorderReadMinInterval {
		return false
	}
	k.triedAt = now
	return true
}

// reportDue reports whether this box, in a hall of the given number of boxes, is to report its runs
// now, and records the report if so.
func (k *recorder) reportDue(boxes int, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if now.Sub(k.reportedAt) < time.Duration(boxes)*reportIntervalPerBox {
		return false
	}
	k.reportedAt = now
	return true
}

// requestRead requests a read of the rows before they are written again.
func (k *recorder) requestRead() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.readPending = true
}

// setRead records that the rows were read, at the given times of the local clock and of the store's
// clock; store is zero if unknown.
func (k *recorder) setRead(now, store time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if store.IsZero() {
		store = now
	}
	k.readAt, k.storeReadAt, k.readPending = now, store, false
	k.runs.invalidate()
	k.quarantined.invalidate()
}

// setRecorder records whether this box is a recorder, and the store's era. The rows are read if the
// box becomes a recorder, because others have written them; in a new era, because they were
// restored from a backup; and if the last read is older than recorderReadMaxAge.
func (k *recorder) setRecorder(isRecorder bool, era int64, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if isRecorder && (!k.isRecorder || era != k.era || now.Sub(k.readAt) >= recorderReadMaxAge) {
		k.readPending = true
	}
	k.isRecorder, k.era = isRecorder, era
}

// storeMS converts a local time to Unix milliseconds of the store's clock.
func (k *recorder) storeMS(t time.Time) int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.storeReadAt.Add(t.Sub(k.readAt)).UnixMilli()
}

// decodeRow returns the entries of a row, or nil if its value is invalid.
func decodeRow[E any](value json.RawMessage) []E {
	var b []byte
	if json.Unmarshal(value, &b) != nil {
		return nil
	}
	var l []E
	if cbor.Unmarshal(b, &l) != nil {
		return nil
	}
	return l
}

// encodeRow returns a row's value: its entries as CBOR, in a JSON string (base64).
func encodeRow[E any](l []E) json.RawMessage {
	b, err := cbor.Marshal(l)
	if err != nil {
		panic("linetiller: cannot encode the entries of a row: " + err.Error())
	}
	v, err := json.Marshal(b)
	if err != nil {
		panic("linetiller: cannot encode the value of a row: " + err.Error())
	}
	return v
}
