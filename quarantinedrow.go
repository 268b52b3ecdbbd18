package linetiller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// quarantinedRow is the state of a hall's row of quarantined requests, as needed to write it.
type quarantinedRow struct {
	digest   uint64    // of the contents of the row; 0 if empty or unknown
	revision int64     // of the row; 0 if there is none
	triedAt  time.Time // last attempt to write
}

// crashEntry is a crash in the row. Times are in Unix milliseconds.
type crashEntry struct {
	_        struct{} `cbor:",toarray"`
	AtMS     int64    // when it was noticed, by the store's clock
	Born     int64    // when the crashed process of the upstream had started, as reported by the upstream; 0 if unknown
	SeenAtMS int64    // when a caller last sent a suspect again, by the store's clock
	Suspects []policy.Suspect
	Upstream string
}

const (
	quarantinedKind = "quarantined"
	// maxQuarantined limits the suspects in a row, of about 20 B each, and also its crashes, of
	// about 230 B with the longest names. A row may have 64 KB.
	maxQuarantined = 128
	// quarantinedWriteInterval is the minimum time between two writes.
	quarantinedWriteInterval = 5 * time.Second
)

// mergeQuarantinedRow adds the crashes in a hall's row to those that this box knows, and triggers
// heartbeats if there are new ones, so that the neighbours fetch them, too.
func (b *Box) mergeQuarantinedRow(r *table.Row, hall string) {
	k := b.recorder
	l := k.decodeCrashes(r.Value)
	if hall == b.settings.Hall {
		k.setQuarantinedWritten(r.Revision, policy.DigestOf(l))
	}
	if b.relay.RecordCrashes(l, "store") {
		b.requestPush()
	}
}

// writeQuarantined writes the row of quarantined requests if it has changed and a write is due.
func (b *Box) writeQuarantined(ctx context.Context) {
	k, now := b.recorder, time.Now()
	l := b.relay.Quarantine().QuarantinedCrashes(maxQuarantined, now)
	digest := policy.DigestOf(l)
	revision, due := k.quarantinedDue(digest, now)
	if !due {
		return
	}
	if revision, ok := b.commitRow(ctx, quarantinedKey(b.settings.Hall), revision, encodeRow(k.crashEntries(l))); ok {
		k.setQuarantinedWritten(revision, digest)
	}
}

// crashEntries converts crashes to entries of the row.
func (k *recorder) crashEntries(crashes []policy.Crash) []crashEntry {
	l := []crashEntry{}
	for i := range crashes {
		c := &crashes[i]
		l = append(l, crashEntry{AtMS: k.storeMS(c.At), Born: c.StartedAtMS, SeenAtMS: k.storeMS(c.LastActivity()), Suspects: c.Suspects, Upstream: c.Upstream})
	}
	return l
}

// decodeCrashes returns the crashes in a row.
func (k *recorder) decodeCrashes(value json.RawMessage) []policy.Crash {
	var l []policy.Crash
	for _, x := range decodeRow[crashEntry](value) {
		at, _ := k.localTime(x.AtMS)
		seenAt, _ := k.localTime(x.SeenAtMS)
		l = append(l, policy.Crash{At: at, StartedAtMS: x.Born, LastResentAt: seenAt, Suspects: x.Suspects, Upstream: x.Upstream})
	}
	return l
}

// quarantinedDue reports whether the row is to be written now, given the digest of its new
// contents, and returns the row's revision.
func (k *recorder) quarantinedDue(digest uint64, now time.Time) (revision int64, due bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	r := &k.quarantined
	if digest == r.digest || now.Sub(r.triedAt) < quarantinedWriteInterval {
		return 0, false
	}
	r.triedAt = now
	return r.revision, true
}

// setQuarantinedWritten records the digest of the contents and the revision of the row.
func (k *recorder) setQuarantinedWritten(revision int64, digest uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.quarantined.digest, k.quarantined.revision = digest, revision
}

// invalidate marks the contents of the row as unknown.
func (r *quarantinedRow) invalidate() {
	r.digest, r.revision = 0, 0
}

// quarantinedKey returns the key of a hall's row of quarantined requests.
func quarantinedKey(hall string) string { return recorderTable + "/" + quarantinedKind + "/" + hall }
