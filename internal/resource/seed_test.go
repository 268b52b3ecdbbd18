package resource

import "flag"

// The property tests use a fixed seed, so that every run checks the same cases.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
