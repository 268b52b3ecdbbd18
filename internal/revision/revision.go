// Package revision defines revisions, which order the writes of the platform's store.
//
// The store increments a version with each transaction. After it was restored from a backup, it
// assigns versions again that it had assigned before, but it increments an era with each restore. A
// revision combines the era, in its upper bits, with the version, so that the later of two writes
// always has the higher revision.
package revision

// versionBits is the number of lower bits of a revision that hold the version. At 400 writes per
// second they suffice for 87 years. The 23 bits above them hold the era.
const versionBits = 40

// The largest era and version that a revision can hold.
const (
	MaxEra     = 1<<(63-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// Era returns the era of a revision.
func Era(r int64) int64 {
	return r >> versionBits
}

// Of returns the revision for an era and a version. They must not exceed MaxEra and MaxVersion.
func Of(era, version int64) int64 {
	return era<<versionBits | version
}

// Version returns the version of a revision.
func Version(r int64) int64 {
	return r & MaxVersion
}
