package configuration

import "flag"

// A fixed seed makes the random schedules of every run the same.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
