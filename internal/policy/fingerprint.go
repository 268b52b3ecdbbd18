package policy

import "strconv"

// Fingerprint is a hash of the content of a request; a caller's retries of a request have the same one.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as logs show it.
func (p Fingerprint) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
