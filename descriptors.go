package linetiller

import (
	"math"
	"syscall"
)

const (
	// callerDescriptorShare is the share of the main listener for callers, one of that many descriptors. Each request in
	// progress takes another one for its connection to an upstream.
	callerDescriptorShare = 2
	// controlDescriptorShare is the share of each other listener.
	controlDescriptorShare = 16
)

// maxConnections returns how many connections a listener may have open that may use one of share descriptors, 0 if the
// descriptors are unlimited or their number is unknown.
func (b *Box) maxConnections(share int) int {
	n := b.settings.Limits.Descriptors
	if n == 0 {
		n = processDescriptors()
	}
	if n == 0 || n >= math.MaxInt32 {
		return 0
	}
	return max(1, int(n)/share)
}

// processDescriptors returns how many descriptors the system allows the process to have open, 0 if that is unknown.
func processDescriptors() float64 {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return float64(l.Cur)
}
