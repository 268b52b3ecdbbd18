// Package metric defines the metrics of a box. Names lists all of them; a test checks
// docs/reference.md against it.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Name is the name of a metric.
type Name string

// Metrics.
const (
	CallerMemory         Name = "linetiller_caller_memory_bytes"          // gauge, by state: memory that callers make the box hold (reserved), and its limit, 0 for none
	Boxes                Name = "linetiller_boxes"                        // gauge, by hall: boxes that are considered alive
	Generations          Name = "linetiller_generations_total"            // counter, by outcome
	CompletedRequests    Name = "linetiller_kept_requests"                // gauge: requests that are known to have completed at any box of the hall, as stored by its recorders
	RelayRefusals        Name = "linetiller_relay_refusals_total"         // counter, by reason: connections to upstreams that this box did not open for another box
	RelayedConnections   Name = "linetiller_relayed_connections"          // gauge: connections to upstreams that this box has open for other boxes
	RelayedTotal         Name = "linetiller_relayed_connections_total"    // counter: connections to upstreams that this box has opened for other boxes
	RequestKeyCommits    Name = "linetiller_request_key_commits_total"    // counter: transactions that write request keys
	RequestKeyRewrites   Name = "linetiller_request_key_rewrites_total"   // counter, by outcome: claims written again after the platform's store was restored
	RequestKeyWrites     Name = "linetiller_request_key_writes_total"     // counter: rows written for request keys
	Connections          Name = "linetiller_connections"                  // gauge, by listener: open connections of callers
	ConnectionsClosed    Name = "linetiller_connections_closed_total"     // counter, by reason: connections that were closed for want of memory or descriptors
	CrashesNotCounted    Name = "linetiller_crashes_not_counted_total"    // counter, by reason: broken requests that were not counted as crashes of their upstreams
	LimitedUpstreams     Name = "linetiller_limited_upstreams"            // gauge: upstreams that announced a limit on the request rate from all boxes together
	LoadAge              Name = "linetiller_load_age_seconds"             // histogram: age of the load report of an engine when the engine is chosen
	MovePause            Name = "linetiller_move_pause_seconds"           // histogram: from the last event before a move to the first after it
	Moves                Name = "linetiller_moves_total"                  // counter, by result: generations moved to another engine
	Orders               Name = "linetiller_orders_total"                 // counter, by result: orders to upstreams, such as to load a model
	OwnedUpstreams       Name = "linetiller_owned_upstreams"              // gauge: upstreams owned by this box
	LimitPermits         Name = "linetiller_limit_permits_total"          // counter, by result: permits requested for upstreams with rate limits
	PlaceWait            Name = "linetiller_place_wait_seconds"           // histogram: from a request's arrival to its first send
	PlatformReadAge      Name = "linetiller_platform_read_age_seconds"    // gauge, by source: time since the last successful read
	PlatformReadFailing  Name = "linetiller_platform_away"                // gauge, by source: 1 if the last read failed
	PlatformCalls        Name = "linetiller_platform_calls_total"         // counter, by step and outcome
	PlatformEra          Name = "linetiller_platform_era"                 // gauge: how many times the platform's store was restored, as last reported to this box
	PlatformStaleAnswers Name = "linetiller_platform_older_answers_total" // counter, by source: answers ignored because they are older than the data held
	PlatformOverdueReads Name = "linetiller_platform_late_reads_total"    // counter, by source: reads that were not answered in time
	PlatformReader       Name = "linetiller_platform_reader"              // gauge: 1 if this box reads the platform's store for its hall
	PromptTokens         Name = "linetiller_prompt_tokens"                // histogram, by outcome: prompt tokens of requests to routes of engines
	QuarantinedRequests  Name = "linetiller_quarantined_requests"         // gauge: requests, and parts of prompts, that are not sent to any upstream because upstreams crashed while running them
	QueuedRequests       Name = "linetiller_queued_requests"              // gauge: requests waiting for upstreams owned by this box
	Refusals             Name = "linetiller_refusals_total"               // counter, by reason: refused requests
	Requests             Name = "linetiller_requests_total"               // counter, by outcome: requests to routes
	Reservations         Name = "linetiller_reservations"                 // gauge: reservations at upstreams owned by this box
	Resumptions          Name = "linetiller_resumptions_total"            // counter, by reason: resumed streams
	Retries              Name = "linetiller_retries_total"                // counter, by reason: retried requests
	Revision             Name = "linetiller_configuration_revision"       // gauge: configuration revision in force at this box
	RefusalsByShortage   Name = "linetiller_refusals_short_of_total"      // counter, by short_of: refused requests, by the resource that they were waiting for
	RowsIgnored          Name = "linetiller_platform_rows_ignored_total"  // counter, by reason: rows in the list of upstreams that do not describe one
	StallTime            Name = "linetiller_stall_seconds"                // histogram, per generation: time beyond the target between tokens
	Streams              Name = "linetiller_streams"                      // gauge: requests in progress
	TimeBetweenTokens    Name = "linetiller_time_between_tokens_seconds"  // histogram
	TimeToFirstToken     Name = "linetiller_time_to_first_token_seconds"  // histogram
	Tokens               Name = "linetiller_tokens_total"                 // counter: tokens delivered to clients
	UnreachableUpstreams Name = "linetiller_unreachable_upstreams"        // gauge, by path: upstreams to which this box cannot connect directly, or over any path
	UnusedReservations   Name = "linetiller_unused_reservation_seconds"   // histogram: how long reservations were held that ended without an output token
	UpstreamConnections  Name = "linetiller_upstream_connections_total"   // counter, by path: connections to upstreams of routes, direct or relayed by another box
	UpstreamCrashes      Name = "linetiller_upstream_ends_total"          // counter: requests during which their upstream crashed
	UpstreamReportErrors Name = "linetiller_upstream_report_errors_total" // counter: load reports that could not be read from upstreams
	ViewAge              Name = "linetiller_view_age_seconds"             // gauge: time since the view was last known to be current
	UpstreamSilences     Name = "linetiller_upstream_silences_total"      // counter, by event: how often an upstream sent no first, or next, event of a stream that may be resumed in time
	UpstreamNotices      Name = "linetiller_upstream_words_total"         // counter, by word: answers in which an upstream announced its state, such as a limit or that it is leaving
)

// Names lists every metric.
var Names = []Name{
	Boxes, CallerMemory, Connections, ConnectionsClosed, CrashesNotCounted, Generations, CompletedRequests, RequestKeyCommits, RequestKeyRewrites, RequestKeyWrites, LimitedUpstreams, LoadAge, Moves, MovePause, Orders, OwnedUpstreams, LimitPermits, PlaceWait, PlatformReadAge, PlatformReadFailing, PlatformCalls,
	PlatformEra, PlatformOverdueReads, PlatformStaleAnswers, PlatformReader, PromptTokens, QuarantinedRequests, QueuedRequests, Refusals, RelayRefusals, RelayedConnections, RelayedTotal, Requests, Reservations, Resumptions, Retries,
	Revision, RowsIgnored, RefusalsByShortage, StallTime, Streams, TimeBetweenTokens, TimeToFirstToken, Tokens, UnreachableUpstreams, UnusedReservations, UpstreamConnections, UpstreamCrashes, UpstreamReportErrors,
	UpstreamNotices, UpstreamSilences, ViewAge,
}

// Set is the registry of the metrics of one box. It is safe for concurrent use.
type Set struct {
	set *metrics.Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet()}
}

// Add adds n to a counter without labels.
func (s *Set) Add(name Name, n int) {
	s.set.GetOrCreateCounter(string(name)).Add(n)
}

// Count increments a counter with one label.
func (s *Set) Count(n Name, label, value string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", n, label, value)).Inc()
}

// CountTwo increments a counter with two labels.
func (s *Set) CountTwo(n Name, label, value, label2, value2 string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", n, label, value, label2, value2)).Inc()
}

// Counter returns a counter without labels, for callers that update it often.
func (s *Set) Counter(n Name) *metrics.Counter {
	return s.set.GetOrCreateCounter(string(n))
}

// Gauge registers a gauge without labels, whose value is computed by f.
func (s *Set) Gauge(n Name, f func() float64) {
	s.set.GetOrCreateGauge(string(n), f)
}

// GaugeOf registers a gauge with one label, whose value is computed by f.
func (s *Set) GaugeOf(n Name, label, value string, f func() float64) {
	s.set.GetOrCreateGauge(fmt.Sprintf("%s{%s=%q}", n, label, value), f)
}

// Histogram returns a histogram without labels, for callers that update it often.
func (s *Set) Histogram(n Name) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(string(n))
}

// HistogramOf returns a histogram with one label.
func (s *Set) HistogramOf(n Name, label, value string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", n, label, value))
}

// Value returns the value of a counter with one label, for tests.
func (s *Set) Value(n Name, label, value string) uint64 {
	return s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", n, label, value)).Get()
}

// Write writes all metrics and those of the process in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
