package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linetiller/linetiller/internal/policy"
)

// FingerprintOf returns a hash of the request's method, host, target and body.
func FingerprintOf(q *Request) policy.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{q.Method, q.Host, q.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return policy.Fingerprint(h.Sum64())
}

// fingerprint returns the request's fingerprint, which is the same for every caller and every retry.
func (e *exchange) fingerprint() policy.Fingerprint {
	return e.fingerprints()[0]
}

// fingerprints returns the request's fingerprint, followed by those of the parts of its prompt.
func (e *exchange) fingerprints() []policy.Fingerprint {
	if e.cachedFingerprints == nil {
		l := []policy.Fingerprint{FingerprintOf(e.request)}
		for _, id := range e.request.PromptParts {
			l = append(l, policy.PartFingerprint(e.service.Name, id))
		}
		e.cachedFingerprints = l
	}
	return e.cachedFingerprints
}

// nameOf names what a fingerprint of the request stands for, in error messages.
func (e *exchange) nameOf(p policy.Fingerprint) string {
	if i := slices.Index(e.fingerprints(), p); i > 0 {
		return "part " + e.request.PromptParts[i-1] + " of the prompt"
	}
	return "request"
}

// partNames lists the parts of the request's prompt with their fingerprints, for log lines.
func (e *exchange) partNames() string {
	var l []string
	for i, id := range e.request.PromptParts {
		l = append(l, id+"="+e.fingerprints()[i+1].String())
	}
	return strings.Join(l, ",")
}

// recordHarmless records that a run of a request, or with a part, did not crash its upstream. If it was
// suspected of crashes, it is cleared, and the clearance is announced to the other boxes.
func (e *exchange) recordHarmless(p policy.Fingerprint) {
	x := e.relay
	x.completedRuns.Record(p, time.Now())
	if x.clearCrashes(p, "") {
		x.AnnounceClearance(p)
	}
}

// recordPartsHarmless records that the upstream has begun to write the answer, which a part that crashes
// upstreams would have prevented. It does so once for each run: a part that becomes poisonous later does not
// crash the upstreams of runs in progress.
func (e *exchange) recordPartsHarmless() {
	if e.sent.partsHarmless {
		return
	}
	e.sent.partsHarmless = true
	for _, p := range e.fingerprints()[1:] {
		e.recordHarmless(p)
	}
}

// suspects returns the suspects if the upstream of an attempt has crashed: the request, of whose stream
// that many events had come, and the parts of its prompt unless the run has shown that they are harmless.
func (e *exchange) suspects(c *sendAttempt, events int) []policy.Suspect {
	l := []policy.Suspect{{Events: events, Fingerprint: e.fingerprint()}}
	if c.partsHarmless {
		return l
	}
	for _, p := range e.fingerprints()[1:] {
		if !slices.ContainsFunc(l, func(s policy.Suspect) bool { return s.Fingerprint == p }) {
			l = append(l, policy.Suspect{Fingerprint: p, Part: true})
		}
	}
	return l
}
