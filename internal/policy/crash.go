package policy

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the crash of one start of an upstream, with the requests that ran there, as boxes
// announce it to one another.
type Crash struct {
	At           time.Time `cbor:"1,keyasint"`           // when the first box noticed it
	StartedAtMS  int64     `cbor:"2,keyasint,omitempty"` // when the upstream had started, in Unix milliseconds; 0 where that is not told
	LastReturnAt time.Time `cbor:"5,keyasint,omitzero"`  // when a quarantined suspect last returned, within some time
	Suspects     []Suspect `cbor:"3,keyasint,omitempty"`
	Upstream     string    `cbor:"4,keyasint"`
}

// Suspect is a request that ran at an upstream as it crashed. Most are innocent, as an upstream
// runs many at once.
type Suspect struct {
	Cleared     bool        `cbor:"1,keyasint,omitempty"` // another run of it got further
	Events      int         `cbor:"2,keyasint,omitempty"` // of its stream that had been passed on
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Trials      int         `cbor:"4,keyasint,omitempty"` // runs that were let through since it is quarantined
}

// sameStartWithin is how far apart two reports of one crash may be, of an upstream that does not
// tell when it started.
const sameStartWithin = 2 * time.Second

// DigestOf returns a hash of crashes, their suspects and when those last returned; 0 for no crashes.
func DigestOf(l []Crash) uint64 {
	var sum uint64
	for i := range l {
		c := &l[i]
		sum ^= c.hash() * uint64(max(1, c.LastActivity().Unix()))
	}
	return sum
}

// HasSuspect reports whether the crash has a suspect that is not cleared.
func (c *Crash) HasSuspect() bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return !s.Cleared })
}

// hash returns a hash of the crash and its suspects; 0 where it has none.
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

// LastActivity returns when the crash was last of importance to a quarantined suspect.
func (c *Crash) LastActivity() time.Time {
	if c.LastReturnAt.After(c.At) {
		return c.LastReturnAt
	}
	return c.At
}

// sameStart reports whether two crashes are of the same start of an upstream.
func (c *Crash) sameStart(d *Crash) bool {
	if c.Upstream != d.Upstream || c.StartedAtMS != d.StartedAtMS {
		return false
	}
	return c.StartedAtMS != 0 || c.At.Sub(d.At).Abs() < sameStartWithin
}

// suspect returns what is known of a request at the crash, or nil.
func (c *Crash) suspect(p Fingerprint) *Suspect {
	i := slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == p })
	if i < 0 {
		return nil
	}
	return &c.Suspects[i]
}

// merge adds what another box knows of the same suspect, and reports whether that is news.
func (s *Suspect) merge(t *Suspect) bool {
	old := *s
	s.Cleared = s.Cleared || t.Cleared
	s.Events = max(s.Events, t.Events)
	s.Trials = max(s.Trials, t.Trials)
	return *s != old
}
