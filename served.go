package linetiller

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// servedRuns is this box's part in remembering which requests ran to their ends, so that the crashes
// of other requests are not held against them. Each box reports its runs to the keepers of its data hall.
// The first keeper writes them to the hall's row in the platform's store, so that they outlast a restart
// of all boxes; the others have them at hand where it is lost, or the store is away.
type servedRuns struct {
	mutex      sync.Mutex // guards the fields below
	changed    bool       // runs were reported that are not written yet
	keeps      bool       // this box is a keeper
	readAt     time.Time  // of the rows, zero where they were never read
	reportedAt time.Time  // to the keepers
	revision   int64      // of the hall's row, as it was read or written
	storeAt    time.Time  // readAt by the store's clock
	triedAt    time.Time  // to read the rows
	wanted     bool       // the rows are to be read
	written    map[policy.Fingerprint]bool
	writtenAt  time.Time

	wake chan struct{} // holds one where the rows are to be read at once
}

// servedEntry is a request in a row.
type servedEntry struct {
	_           struct{} `cbor:",toarray"`
	AtMS        int64    // when it last ran to its end, by the store's clock
	Fingerprint policy.Fingerprint
	Times       int
}

const (
	servedTable = "served"
	// servedKeepers is how many boxes of each data hall keep its runs.
	servedKeepers = 3
	// servedLookEvery is between two looks whether there is something to read, report or write.
	servedLookEvery = 2 * time.Second
	// servedReadEvery is between two reads of the rows at the least: many requests may break off as an
	// upstream crashes.
	servedReadEvery = 5 * time.Second
	// servedReportBox is between two reports of a box, for each box of its hall: that bounds what keepers
	// get.
	servedReportBox = 200 * time.Millisecond
	// servedReportMost bounds the requests of a report, of some 20 B each.
	servedReportMost = 32
	// servedRowMost bounds the requests of a row, of some 30 B each: a row may have 64 KB.
	servedRowMost = 1024
	// servedWriteEvery is between two writes at the least, servedFrequentEvery where a request has run
	// servedFrequent times that is not in the row.
	servedWriteEvery    = 30 * time.Second
	servedFrequentEvery = 5 * time.Second
	servedFrequent      = 3
)

// newServedRuns returns a box's part in remembering runs, of which it knows none.
func newServedRuns() *servedRuns { return &servedRuns{wake: make(chan struct{}, 1)} }

// fetchServed has the rows read as soon as the store answers, for a request to be cleared of a crash that
// ran to its end before.
func (b *Box) fetchServed() {
	s := b.served
	s.mutex.Lock()
	s.wanted = true
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default: // it is about to look anyway
	}
}

// keepServed does what is due: reads the rows, reports this box's runs, and writes its hall's.
func (b *Box) keepServed(ctx context.Context) {
	hall := b.members.Alive(b.settings.Hall)
	keepers := policy.Rank(servedTable, hall)
	keepers = keepers[:min(servedKeepers, len(keepers))]
	if len(keepers) == 0 { // all are leaving
		keepers = []string{b.settings.Box}
	}
	s, now := b.served, time.Now()
	s.setKeeps(slices.Contains(keepers, b.settings.Box))
	if s.readDue(now) {
		b.readServed(ctx)
	}
	if s.reportDue(len(hall), now) {
		b.reportServed(ctx, keepers)
	}
	if keepers[0] == b.settings.Box {
		b.writeServed(ctx)
	}
}

// learnServed records the runs of a row, by the clocks as the rows were read.
func (b *Box) learnServed(r *table.Row, readAt, storeAt time.Time) {
	var l []policy.ServedRun
	for _, x := range decodeServed(r.Value) {
		l = append(l, policy.ServedRun{At: readAt.Add(time.UnixMilli(x.AtMS).Sub(storeAt)), Fingerprint: x.Fingerprint, Times: x.Times})
	}
	b.relay.Frequent().Learn(l, readAt)
	if r.Key == servedKey(b.settings.Hall) {
		b.served.setWritten(r.Revision, l)
	}
}

// noteServed records a report of runs.
func (b *Box) noteServed(l []policy.ServedRun) {
	b.relay.Frequent().Add(l, time.Now())
	s := b.served
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed = true
}

// readServed reads the rows of all halls, and clears requests by them.
func (b *Box) readServed(ctx context.Context) {
	c, err := b.store.Changes(ctx, servedTable, 0, 0)
	if err != nil {
		return // it is tried again
	}
	now := time.Now()
	b.served.setRead(now, c.Now)
	for i := range c.Rows {
		r := &c.Rows[i]
		r.Key = servedKey(r.Key)
		b.learnServed(r, now, c.Now)
	}
	b.relay.ClearServed()
}

// reportServed reports this box's runs to the keepers of its hall.
func (b *Box) reportServed(ctx context.Context, keepers []string) {
	l := b.relay.Served().Report(servedReportMost)
	if len(l) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod)
	defer cancel()
	var g errgroup.Group
	for _, k := range keepers {
		g.Go(func() error {
			if k == b.settings.Box {
				b.noteServed(l)
				return nil
			}
			_, err := b.links.Once(ctx, b.members.Address(k), b.request(box.Request{Kind: box.KindServed, Served: l}))
			return err
		})
	}
	if g.Wait() != nil && !slices.Contains(keepers, b.settings.Box) {
		b.relay.Served().Unreport(l)
	}
}

// runServed keeps runs while the box runs.
func (b *Box) runServed(ctx context.Context) {
	t := time.NewTicker(servedLookEvery)
	defer t.Stop()
	for {
		b.keepServed(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-b.served.wake:
		}
	}
}

// writeServed writes the row of this box's hall, where that is due.
func (b *Box) writeServed(ctx context.Context) {
	s, now := b.served, time.Now()
	l := s.due(b.relay.Frequent(), b.stopping.Load(), now)
	if len(l) == 0 {
		return
	}
	k := servedKey(b.settings.Hall)
	r, err := b.store.Commit(ctx, &table.Transaction{
		Conditions: []table.Condition{{Key: k, Revision: s.hallRevision()}},
		Writes:     []table.Write{{Key: k, Value: encodeServed(l, s.storeTime)}},
	})
	if err != nil || !r.Committed {
		s.forgetRow() // it may have been written meanwhile
		return
	}
	s.setWritten(r.Revision, l)
}

// due returns what is to be written of the runs that are known, nil where it is not time to.
func (s *servedRuns) due(f *policy.Frequent, leaving bool, now time.Time) []policy.ServedRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since := now.Sub(s.writtenAt)
	if !s.changed || s.readAt.IsZero() || s.wanted || (since < servedFrequentEvery && !leaving) {
		return nil
	}
	l := f.Most(servedRowMost, now)
	unwritten := func(x policy.ServedRun) bool { return x.Times >= servedFrequent && !s.written[x.Fingerprint] }
	if since < servedWriteEvery && !leaving && !slices.ContainsFunc(l, unwritten) {
		return nil
	}
	s.changed, s.writtenAt = false, now
	return l
}

// forgetRow has the rows read again before the next write.
func (s *servedRuns) forgetRow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed, s.wanted = true, true
}

// hallRevision returns the revision that the hall's row is known to have, 0 for none.
func (s *servedRuns) hallRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// readDue reports whether the rows are to be read now.
func (s *servedRuns) readDue(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.wanted || now.Sub(s.triedAt) < servedReadEvery {
		return false
	}
	s.triedAt = now
	return true
}

// reportDue reports whether this box is to report its runs now, in a hall of so many boxes.
func (s *servedRuns) reportDue(boxes int, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.reportedAt) < time.Duration(boxes)*servedReportBox {
		return false
	}
	s.reportedAt = now
	return true
}

// setKeeps records whether this box is a keeper: one that becomes one reads what others have kept.
func (s *servedRuns) setKeeps(keeps bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wanted = s.wanted || (keeps && !s.keeps)
	s.keeps = keeps
}

// setRead records that the rows were read, and when by the store's clock.
func (s *servedRuns) setRead(now, store time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readAt, s.storeAt = now, store
	s.revision, s.wanted, s.written = 0, false, nil
}

// setWritten records what the hall's row holds.
func (s *servedRuns) setWritten(revision int64, l []policy.ServedRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = revision
	s.written = make(map[policy.Fingerprint]bool, len(l))
	for _, x := range l {
		s.written[x.Fingerprint] = true
	}
}

// storeTime returns a time by the store's clock.
func (s *servedRuns) storeTime(t time.Time) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storeAt.Add(t.Sub(s.readAt))
}

// decodeServed returns the entries of a row, none where it cannot be read.
func decodeServed(value json.RawMessage) []servedEntry {
	var b []byte
	if json.Unmarshal(value, &b) != nil {
		return nil
	}
	var l []servedEntry
	if cbor.Unmarshal(b, &l) != nil {
		return nil
	}
	return l
}

// encodeServed returns a row of runs, whose times storeTime tells by the store's clock.
func encodeServed(runs []policy.ServedRun, storeTime func(time.Time) time.Time) json.RawMessage {
	var l []servedEntry
	for _, x := range runs {
		l = append(l, servedEntry{AtMS: storeTime(x.At).UnixMilli(), Fingerprint: x.Fingerprint, Times: x.Times})
	}
	b, err := cbor.Marshal(l)
	if err != nil {
		panic("linetiller: runs can always be encoded: " + err.Error())
	}
	v, err := json.Marshal(b)
	if err != nil {
		panic("linetiller: bytes can always be encoded: " + err.Error())
	}
	return v
}

// servedKey returns the key of a hall's row.
func servedKey(hall string) string { return servedTable + "/" + hall }
