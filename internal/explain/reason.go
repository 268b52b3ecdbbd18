package explain

import "github.com/linetiller/linetiller/internal/policy"

// reasons maps the reasons of errors to explanations. A test checks that every reason in the sources
// of the relay and of the calls to upstreams has one.
var reasons = map[string]string{
	"answer_crossed":         "the upstream answered another request",
	"answer_cut":             "the upstream's answer broke off",
	"box_leaving":            "the box was being stopped",
	"caller_gone":            "the caller had gone",
	"configuration_unknown":  "the box did not know the configuration yet",
	"view_stale":             "the box did not know the route or key, and had not heard of the platform's store for some seconds",
	"copy_under_way":         "another copy of it was under way",
	"deadline":               "its time ran out",
	"key_unknown":            "its key opens no workspace",
	"last_event_invalid":     "it named a last event that is not a number",
	"late":                   "it would have come late, and others waited that could still be in time",
	"leaving":                "the upstream was leaving",
	"limited":                "the upstreams had named limits of how many requests a second they accept, which were used up",
	"move_lost":              "it had been copied to another engine, which did not take it up",
	"no_owner":               "no box answered for the engines",
	"no_room":                "no engine had room",
	"no_upstream":            "no upstream takes new work",
	"queue_full":             "too much waited for the engine",
	"resting":                "the upstream had turned a request away, and wanted nothing from this box for a time",
	"retry_budget":           "too many requests had been tried again of late",
	"route_unknown":          "no route leads there",
	"run_unknown":            "the engine did not run it any more, or not yet",
	"service_unknown":        "the service of its route is not declared",
	"copy_withdrawn":         "the engine that its memory was copied to takes no new work any more",
	"ends_upstreams":         "upstreams had ended under what it asks for, and it is sent to no further one",
	"evacuated":              "its data hall is evacuated: nothing further is sent there",
	"stale_place":            "its place was given too long ago",
	"stream_broken":          "the stream broke off before its end",
	"stream_gap":             "an event was missing in the upstream's stream",
	"upstream_failed":        "the upstream failed",
	"upstream_lost":          "the connection to the upstream was lost",
	"upstream_refused":       "the upstream refused to run it",
	"upstream_unreachable":   "the upstream could not be reached",
	"upstreams_out_of_reach": "none of the upstreams had answered a connection a moment before",
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
	policy.ShortagePrefill: "the prompts that the engine was reading",
	policy.ShortageReport:  "the engine to take new work",
	policy.ShortageStalled: "generations at the engine that stood still",
	policy.ShortageStarts:  "the engine to bear another start",
	policy.ShortageRank:    "its turn, behind other work",
}
