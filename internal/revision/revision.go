// Package revision orders what the platform's store wrote.
//
// The store counts a version up with each transaction. Where it came back from a copy of
// its rows, it gives versions out again that it had given before, and counts an era up. A
// revision holds both, the era first, so that of two revisions the higher one is always
// that of the later write.
package revision

// versionBits are the lower bits of a revision, which hold the version: at 400 writes a
// second they last for 87 years. The 23 bits above hold the era.
const versionBits = 40

// The bounds of what a revision holds.
const (
	MaxEra     = 1<<(63-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// Era returns the era of a revision.
func Era(r int64) int64 {
	return r >> versionBits
}

// Of returns the revision of a version given out in an era. Both are within their bounds.
func Of(era, version int64) int64 {
	return era<<versionBits | version
}

// Version returns the version of a revision.
func Version(r int64) int64 {
	return r & MaxVersion
}
