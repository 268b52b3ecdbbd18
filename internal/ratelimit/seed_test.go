package ratelimit

import "flag"

// Property tests run the same random schedules each time.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}
