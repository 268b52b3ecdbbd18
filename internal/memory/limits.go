package memory

import "math"

const (
	mebibyte = 1 << 20
	// programBytes is the part of a process that the runtime's memory limit does not count: the text of the program
	// and the C library.
	programBytes = 16 * mebibyte
	// usableShare is the part of the memory that a process is to use. The rest is for what the runtime allocates beyond
	// its limit while a collection is in progress.
	usableShare = 0.85
	// callerShare is the part of the runtime's limit that callers may use. The rest is for what the box holds itself,
	// for its own calls, and for garbage.
	callerShare = 0.6
	// controlShare divides the limit of callers for each listener of operators, readiness checks and metrics, which have
	// few clients.
	controlShare = 24
	// minRuntimeShare is the part of the memory that the runtime gets at least if the memory is small.
	minRuntimeShare = 0.5
)

// CallerLimit returns how many bytes callers may make a box hold whose process has the given memory in MiB, or 0
// for no limit.
func CallerLimit(mb float64) int64 {
	return int64(float64(RuntimeLimit(mb)) * callerShare)
}

// ControlLimit returns how many bytes the connections of one listener that is not for callers may make a box hold, given
// the limit of callers, or 0 for no limit.
func ControlLimit(callers int64) int64 {
	if callers == 0 {
		return 0
	}
	return max(callers/controlShare, mebibyte)
}

// RuntimeLimit returns the memory limit of the Go runtime for a process with the given memory in MiB, or 0 for no
// limit. A number of bytes that overflows an int64 gives no limit.
func RuntimeLimit(mb float64) int64 {
	bytes := mb * mebibyte
	if mb <= 0 || bytes >= math.MaxInt64 {
		return 0
	}
	return int64(max(bytes*usableShare-programBytes, bytes*minRuntimeShare))
}
