package linetiller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/periodic"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/table"
)

// servedRow is what the platform's store holds of requests that often ran to their ends, as this box
// read it. It outlasts a restart of all boxes.
type servedRow struct {
	mutex     sync.Mutex // guards the fields below
	at        map[policy.Fingerprint]time.Time
	readAt    time.Time     // when it was read
	reading   chan struct{} // closed as the read in progress ends, nil where there is none
	writtenAt time.Time     // when this box wrote it
}

const (
	servedKey = "served/often" // of the row
	// servedKeep is for how long the row is used as it was read: many requests may break off
	// as an upstream crashes.
	servedKeep = 5 * time.Second
	// servedLookEvery is between two looks whether there is something to write.
	servedLookEvery = 5 * time.Second
	// servedReadPeriod bounds a read of the row.
	servedReadPeriod = time.Second
	// servedWriteEvery is between two writes at the least.
	servedWriteEvery = 30 * time.Second
)

// runServed writes which requests often run to their ends, while this box is the one to do so: what
// many callers ask for, each box serves.
func (b *Box) runServed(ctx context.Context) {
	periodic.Run(ctx, servedLookEvery, func(ctx context.Context) {
		if policy.First("served", b.members.Alive("")) == b.settings.Box {
			b.writeServed(ctx)
		}
	})
}

// servedBefore returns when a request last ran to its end by the platform's store, the zero time where
// that is not known.
func (b *Box) servedBefore(ctx context.Context, p policy.Fingerprint) time.Time {
	s := &b.served
	for ctx.Err() == nil {
		s.mutex.Lock()
		if !s.readAt.IsZero() && time.Since(s.readAt) < servedKeep {
			defer s.mutex.Unlock()
			return s.at[p]
		}
		c := s.reading
		if c == nil {
			s.reading = make(chan struct{})
			s.mutex.Unlock()
			s.take(b.readServed(ctx))
			continue
		}
		s.mutex.Unlock()
		select {
		case <-c:
		case <-ctx.Done():
		}
	}
	return time.Time{}
}

// take records what was read, and ends the wait of those that need it.
func (s *servedRow) take(at map[policy.Fingerprint]time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at, s.readAt = at, time.Now()
	close(s.reading)
	s.reading = nil
}

// readServed reads the row; where it cannot be had, nothing is known.
func (b *Box) readServed(ctx context.Context) map[policy.Fingerprint]time.Time {
	ctx, cancel := context.WithTimeout(ctx, servedReadPeriod)
	defer cancel()
	r, err := b.store.Get(ctx, servedKey)
	if err != nil || r == nil {
		return nil
	}
	var l []policy.ServedRun
	if json.Unmarshal(r.Value, &l) != nil {
		return nil
	}
	m := make(map[policy.Fingerprint]time.Time, len(l))
	for _, x := range l {
		m[x.Fingerprint] = x.At
	}
	return m
}

// writeServed writes the row, not too often. One that comes late does no harm.
func (b *Box) writeServed(ctx context.Context) {
	s := &b.served
	l := b.relay.Served().Often(time.Now())
	s.mutex.Lock()
	due := len(l) > 0 && time.Since(s.writtenAt) >= servedWriteEvery
	if due {
		s.writtenAt = time.Now()
	}
	s.mutex.Unlock()
	if !due {
		return
	}
	v, err := json.Marshal(l)
	if err != nil {
		return
	}
	_, _ = b.store.Commit(ctx, &table.Transaction{Writes: []table.Write{{Key: servedKey, Value: v}}}) // the next write tells it anew
}
