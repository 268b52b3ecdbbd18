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

// recorder is this box's part in what has to outlast a restart of all boxes: which requests ran to their
// ends, so that crashes caused by others are not held against them, and which are quarantined. Each box
// reports its runs to the keepers of its data hall, a few boxes chosen by rendezvous hashing. The first
// keeper writes the hall's rows in the platform's store; the others can replace it, and clear requests
// while the store is unavailable.
type recorder struct {
	mutex       sync.Mutex // guards the fields below
	era         int64      // of the store, as the box knows it
	isRecorder  bool       // this box is a keeper
	quarantined quarantinedRow
	readAt      time.Time // of the rows, zero where they were never read
	reportedAt  time.Time // to the keepers
	runs        runsRow
	storeReadAt time.Time // readAt by the store's clock
	triedAt     time.Time // to read the rows
	readPending bool      // the rows are read before they are written

	wake chan struct{} // holds one where the rows are to be read at once
}

const (
	keptTable = "kept"
	// recordersPerHall is how many boxes of each data hall are its keepers.
	recordersPerHall = 3
	// keptSyncInterval is the time between two checks for something to read, report or write.
	keptSyncInterval = 2 * time.Second
	// keptReadMinInterval is the minimum time between two reads of the rows: many requests may break off as an
	// upstream crashes.
	keptReadMinInterval = 5 * time.Second
	// keptReadMaxAge is the age of a read after which a keeper reads the rows and the store's clock again,
	// so that the drift between the two clocks stays below clockSlack.
	keptReadMaxAge = time.Hour
	clockSlack     = time.Second
	// reportIntervalPerBox is the time between two reports of a box, for each box of its hall: it bounds the load of
	// keepers.
	reportIntervalPerBox = 200 * time.Millisecond
	// maxReportedRuns bounds the requests of a report, of some 20 B each.
	maxReportedRuns = 32
)

// newRecorder returns a keeper that knows nothing yet.
func newRecorder() *recorder { return &recorder{wake: make(chan struct{}, 1)} }

// commitRow writes a row of this box's hall, unless that has changed since it was read or written. It
// returns the row's revision, and reports whether the row was written.
func (b *Box) commitRow(ctx context.Context, key string, revision int64, value json.RawMessage) (int64, bool) {
	r, err := b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil || !r.Committed {
		b.recorder.requestRead() // it may have been written
		return 0, false
	}
	return r.Revision, true
}

// requestKeptRead has the rows read as soon as the store answers, to clear requests of a crash that ran to
// their ends before it.
func (b *Box) requestKeptRead() {
	k := b.recorder
	k.requestRead()
	select {
	case k.wake <- struct{}{}:
	default: // a read is due already
	}
}

// syncKeptRows reads the rows, reports this box's runs and writes its hall's rows, each where it is due.
func (b *Box) syncKeptRows(ctx context.Context) {
	hall := b.members.Alive(b.settings.Hall)
	recorders := policy.Rank(keptTable, hall)
	recorders = recorders[:min(recordersPerHall, len(recorders))]
	if len(recorders) == 0 { // all are leaving
		recorders = []string{b.settings.Box}
	}
	k, now := b.recorder, time.Now()
	era, _ := b.follower.Era()
	k.setRecorder(slices.Contains(recorders, b.settings.Box), era, now)
	if k.readDue(now) {
		b.readKeptRows(ctx)
	}
	if k.reportDue(len(hall), now) {
		b.reportRuns(ctx, recorders)
	}
	if recorders[0] == b.settings.Box && k.canWrite() {
		b.writeRuns(ctx)
		b.writeQuarantined(ctx)
	}
}

// addRuns records a report of runs.
func (b *Box) addRuns(l []policy.CompletedRun) {
	b.relay.Frequent().Add(l, time.Now())
	b.recorder.markRunsChanged()
}

// readKeptRows reads the rows of all halls, and clears requests by them.
func (b *Box) readKeptRows(ctx context.Context) {
	c, err := b.store.Changes(ctx, keptTable, 0, 0)
	if err != nil {
		return // it is tried again
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
	event.KeptRequestsRead.Log(b.log, "rows", len(c.Rows), "requests", b.relay.Frequent().Size())
	b.relay.ClearServed()
}

// reportRuns reports this box's runs to the keepers of its hall.
func (b *Box) reportRuns(ctx context.Context, recorders []string) {
	l := b.relay.Served().TakeReport(maxReportedRuns)
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
			_, err := b.links.CallOnce(ctx, b.members.Address(n), b.newRequest(box.Request{Kind: box.KindServed, Served: l}))
			return err
		})
	}
	if g.Wait() != nil && !slices.Contains(recorders, b.settings.Box) {
		b.relay.Served().RestoreReport(l)
	}
}

// runRecorder synchronizes the rows and reports until the context ends.
func (b *Box) runRecorder(ctx context.Context) {
	t := time.NewTicker(keptSyncInterval)
	defer t.Stop()
	for {
		b.syncKeptRows(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-b.recorder.wake:
		}
	}
}

// localTime converts a time of the store's clock, in milliseconds, to one of this box's clock. It reports
// whether that is not after the last read, within clockSlack; a later one is replaced by the time of the read.
func (k *recorder) localTime(storeMS int64) (t time.Time, past bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	d := time.UnixMilli(storeMS).Sub(k.storeReadAt)
	return k.readAt.Add(min(0, d)), d <= clockSlack
}

// canWrite reports whether it is known what the rows hold.
func (k *recorder) canWrite() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return !k.readAt.IsZero() && !k.readPending
}

// readDue reports whether the rows are to be read now.
func (k *recorder) readDue(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.readPending || now.Sub(k.triedAt) < keptReadMinInterval {
		return false
	}
	k.triedAt = now
	return true
}

// reportDue reports whether this box is to report its runs now, in a hall of so many boxes.
func (k *recorder) reportDue(boxes int, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if now.Sub(k.reportedAt) < time.Duration(boxes)*reportIntervalPerBox {
		return false
	}
	k.reportedAt = now
	return true
}

// setRecorder records whether this box is a keeper, and the store's era. A box that becomes a keeper reads
// what others have kept; in a new era the rows are those of a copy.
func (k *recorder) setRecorder(isRecorder bool, era int64, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if isRecorder && (!k.isRecorder || era != k.era || now.Sub(k.readAt) >= keptReadMaxAge) {
		k.readPending = true
	}
	k.isRecorder, k.era = isRecorder, era
}

// setRead records that the rows were read, and the time of it by the store's clock, zero where that is
// not known.
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

// storeMS converts a time to one of the store's clock, in milliseconds.
func (k *recorder) storeMS(t time.Time) int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.storeReadAt.Add(t.Sub(k.readAt)).UnixMilli()
}

// requestRead has the rows read before they are written again.
func (k *recorder) requestRead() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.readPending = true
}

// decodeRow returns the entries of a row, none where it cannot be read.
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

// encodeRow returns a row's value: its entries in CBOR, in a JSON string.
func encodeRow[E any](l []E) json.RawMessage {
	b, err := cbor.Marshal(l)
	if err != nil {
		panic("linetiller: a row can always be encoded: " + err.Error())
	}
	v, err := json.Marshal(b)
	if err != nil {
		panic("linetiller: bytes can always be encoded: " + err.Error())
	}
	return v
}
