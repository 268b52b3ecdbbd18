package explain

import "github.com/linetiller/linetiller/internal/policy"

// reasons maps the reasons of errors to explanations. A test checks that every reason in the sources
// of the relay and of the calls to upstreams has one.
var reasons = map[string]string{
	"answer_crossed":         "the upstream answered another request",
	"answer_cut":             "the upstream's answer was cut off",
	"box_leaving":            "the box was shutting down",
	"caller_gone":            "the caller had disconnected",
	"configuration_unknown":  "the box had not received the configuration yet",
	"view_stale":             "the box did not know the route or key, and its view of the platform's store had not been confirmed for some seconds",
	"copy_under_way":         "another copy of it was in progress",
	"deadline":               "it could not be answered before its deadline",
	"key_unknown":            "its key belongs to no workspace",
	"last_event_invalid":     "the ID of its last event is not a number",
	"body_late":              "its body did not arrive before its deadline, or within a minute if it had none",
	"memory":                 "callers made the box hold as much as its memory allows",
	"late":                   "it would have missed its target, and other queued requests could still meet theirs",
	"leaving":                "the upstream was leaving",
	"limited":                "the rate limits of the upstreams were exhausted",
	"move_lost":              "it was copied to another engine, which did not resume it",
	"no_owner":               "no box was known that owns the engines",
	"no_room":                "no engine had room for it",
	"no_upstream":            "no upstream takes new work",
	"queue_full":             "the engine's queue was full",
	"resting":                "the upstream had refused a request and asked this box to back off",
	"retry_budget":           "too many requests had been retried recently",
	"route_unknown":          "no route matches it",
	"run_unknown":            "the engine was not running it: it had not started or had already ended",
	"service_unknown":        "the service of its route is not declared",
	"copy_withdrawn":         "the engine that its memory was copied to no longer takes new work",
	"ends_upstreams":         "it is quarantined: upstreams had crashed while they ran it or requests like it",
	"evacuated":              "the upstream's data hall is being evacuated, and no new requests are sent there",
	"stale_place":            "the place reserved for it had expired",
	"stream_broken":          "the stream broke off before its end",
	"stream_gap":             "an event was missing from the upstream's stream",
	"upstream_failed":        "the upstream failed",
	"upstream_garbled":       "the upstream sent something that is no valid response",
	"upstream_lost":          "the connection to the upstream was lost",
	"upstream_silent":        "the upstream sent nothing for longer than usual",
	"upstream_refused":       "the upstream refused to run it",
	"upstream_unreachable":   "the upstream could not be reached",
	"upstreams_out_of_reach": "recent connection attempts to all of the upstreams had failed",
}

// reasonText returns the explanation of a reason, or the reason itself if it has none.
func reasonText(r string) string {
	if t := reasons[r]; t != "" {
		return t
	}
	return r
}

// shortages maps what a refused request was waiting for to its description.
var shortages = map[policy.Shortage]string{
	policy.ShortageBatch:   "a place in the engine's batch",
	policy.ShortageMemory:  "room in the engine's memory",
	policy.ShortagePrefill: "the engine to process the prompts that it had begun",
	policy.ShortageReport:  "the engine to take new work",
	policy.ShortageStalled: "stalled generations at the engine to continue",
	policy.ShortageStarts:  "the cold engine to accept another start",
	policy.ShortageRank:    "its turn, behind work that ranked ahead of it",
}
