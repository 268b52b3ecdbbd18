package policy

import "strconv"

// Fingerprint stands for what a request asks for: a caller's repeats have the same one.
type Fingerprint uint64

// String returns the fingerprint as logs show it.
func (p Fingerprint) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
