package policy

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the crash of one process of an upstream, with the requests that were running there. Boxes
// announce crashes to each other.
type Crash struct {
	AliveAt      time.Time `cbor:"6,keyasint,omitzero"`  // when that process was last known to be alive: a suspect was sent to it; zero if unknown
	At           time.Time `cbor:"1,keyasint"`           // when the first box noticed it
	StartedAtMS  int64     `cbor:"2,keyasint,omitempty"` // when that process started, in Unix milliseconds; 0 if unknown
	LastResentAt time.Time `cbor:"5,keyasint,omitzero"`  // when a quarantined suspect was last sent again; it may lag by renewInterval
	Suspects     []Suspect `cbor:"3,keyasint,omitempty"`
	Upstream     string    `cbor:"4,keyasint"`
}

// Suspect is a request that was running at an upstream when it crashed, or a part of the prompt of a
// request to which the upstream was beginning to write an answer. Most suspects are innocent, as an upstream
// runs many requests at once, and requests share parts.
type Suspect struct {
	Cleared     bool        `cbor:"1,keyasint,omitempty"` // another run of it, or with it, has got further than the one that crashed
	Events      int         `cbor:"2,keyasint,omitempty"` // events of its stream that the box had relayed
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Part        bool        `cbor:"5,keyasint,omitempty"` // a part of a prompt, not a whole request
	Trials      int         `cbor:"4,keyasint,omitempty"` // how often it has been let through since it was quarantined
}

// Reports of crashes of an upstream that does not report its start time are taken to be of the same
// process if they are less than sameStartWithin apart and, by more than clockSkew, neither says that
// the process was alive after the other had noticed its crash.
const (
	sameStartWithin = 2 * time.Second
	clockSkew       = 500 * time.Millisecond // bound of the difference between the clocks of two boxes
)

// DigestOf returns a hash of crashes, their suspects and their last activity; 0 for no crashes.
func DigestOf(l []Crash) uint64 {
	var sum uint64
	for i := range l {
		c := &l[i]
		sum ^= c.hash() * uint64(max(1, c.LastActivity().Unix()))
	}
	return sum
}

// SuspectsOf returns the suspects of crashes, each once.
func SuspectsOf(l []Crash) []Fingerprint {
	var suspects []Fingerprint
	for i := range l {
		for _, s := range l[i].Suspects {
			suspects = append(suspects, s.Fingerprint)
		}
	}
	slices.Sort(suspects)
	return slices.Compact(suspects)
}

// HasSuspect reports whether the crash has a suspect that is not cleared.
func (c *Crash) HasSuspect() bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return !s.Cleared })
}

// hash returns a hash of the crash and its suspects; 0 without suspects.
func (c *Crash) hash() uint64 {
	var sum uint64
	for i := range c.Suspects {
		s := &c.Suspects[i]
		h := xxhash.New()
		_, _ = h.WriteString(c.Upstream)
		b := binary.LittleEndian.AppendUint64(nil, uint64(c.StartedAtMS))
		b = binary.LittleEndian.AppendUint64(b, uint64(s.Fingerprint))
		b = append(b, byte(s.Trials))
		if s.Cleared {
			b = append(b, 1)
		}
		_, _ = h.Write(b)
		sum ^= h.Sum64()
	}
	return sum
}

// LastActivity returns when the crash last mattered: when it was noticed, or when a quarantined
// suspect was last sent again.
func (c *Crash) LastActivity() time.Time {
	if c.LastResentAt.After(c.At) {
		return c.LastResentAt
	}
	return c.At
}

// sameStart reports whether two crashes ended the same process of an upstream.
func (c *Crash) sameStart(d *Crash) bool {
	if c.Upstream != d.Upstream || c.StartedAtMS != d.StartedAtMS {
		return false
	}
	if c.StartedAtMS != 0 {
		return true
	}
	aliveAfter := func(a, b *Crash) bool { return a.AliveAt.Sub(b.At) > clockSkew }
	return c.At.Sub(d.At).Abs() < sameStartWithin && !aliveAfter(c, d) && !aliveAfter(d, c)
}

// sentBefore reports whether the suspects of the crash are known to have been sent before another crash.
func (c *Crash) sentBefore(d *Crash) bool {
	return !c.AliveAt.IsZero() && c.AliveAt.Before(d.At)
}

// suspect returns the suspect with fingerprint p, or nil.
func (c *Crash) suspect(p Fingerprint) *Suspect {
	i := slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == p })
	if i < 0 {
		return nil
	}
	return &c.Suspects[i]
}

// merge adds what another box has recorded of the same suspect, and reports whether anything changed.
func (s *Suspect) merge(t *Suspect) bool {
	old := *s
	s.Cleared = s.Cleared || t.Cleared
	s.Events = max(s.Events, t.Events)
	s.Part = s.Part || t.Part
	s.Trials = max(s.Trials, t.Trials)
	return *s != old
}
