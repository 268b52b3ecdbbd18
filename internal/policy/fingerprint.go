package policy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of the content of a request, which all retries of the request share, or of one part
// of its prompt, which other requests may share.
type Fingerprint uint64

// PartFingerprint returns the fingerprint of a part of a prompt, given its id, in requests to a service. The
// upstreams of another service run other software, which the same part may not crash.
func PartFingerprint(service, id string) Fingerprint {
	h := xxhash.New()
	for _, s := range []string{"part", service, id} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return Fingerprint(h.Sum64())
}

// String returns the fingerprint in hexadecimal, as logs show it.
func (p Fingerprint) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
