package configuration

import "flag"

// The random schedules are the same at every run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
