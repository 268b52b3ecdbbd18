package revision

import "flag"

// Use a fixed seed, so that property-based tests draw the same values in every run.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}
