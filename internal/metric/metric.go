// Package metric names the metrics of a box. Names holds all of them; the page
// docs/reference.md is checked against it by a test.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Name is a metric's name.
type Name string

// The metrics.
const (
	Boxes                Name = "linetiller_boxes"                        // gauge, by hall: boxes believed alive
	Generations          Name = "linetiller_generations_total"            // counter, by outcome
	KeptRequests         Name = "linetiller_kept_requests"                // gauge: requests that ran to their ends at any box of the hall, as a keeper knows
	RequestKeyCommits    Name = "linetiller_request_key_commits_total"    // counter: transactions for request keys
	RequestKeyRewrites   Name = "linetiller_request_key_rewrites_total"   // counter, by outcome: claims written again after the platform's store was restored
	RequestKeyWrites     Name = "linetiller_request_key_writes_total"     // counter: rows written for request keys
	CrashesIgnored       Name = "linetiller_crashes_not_counted_total"    // counter, by reason: broken requests that were not counted as crashes of their upstreams
	LimitedUpstreams     Name = "linetiller_limited_upstreams"            // gauge: that named a rate which they accept from all boxes together
	LoadAge              Name = "linetiller_load_age_seconds"             // histogram: of the load of an engine when it is chosen
	MovePause            Name = "linetiller_move_pause_seconds"           // histogram: from the last event before a move to the first after it
	Moves                Name = "linetiller_moves_total"                  // counter, by result: generations moved to another engine
	Orders               Name = "linetiller_orders_total"                 // counter, by result: orders to upstreams
	OwnedUpstreams       Name = "linetiller_owned_upstreams"              // gauge
	LimitPermits         Name = "linetiller_limit_permits_total"          // counter, by result: asked for to send to upstreams that have rate limits
	PlaceWait            Name = "linetiller_place_wait_seconds"           // histogram: from a request's arrival to its first send
	PlatformReadAge      Name = "linetiller_platform_read_age_seconds"    // gauge, by source: since the last read that went well
	PlatformReadFailing  Name = "linetiller_platform_away"                // gauge, by source: 1 while the last read of it failed
	PlatformCalls        Name = "linetiller_platform_calls_total"         // counter, by step and outcome
	PlatformEra          Name = "linetiller_platform_era"                 // gauge: how often the platform's store was restored, as it told this box
	PlatformOlderAnswers Name = "linetiller_platform_older_answers_total" // counter, by source: older than what is held, and passed over
	PlatformLateReads    Name = "linetiller_platform_late_reads_total"    // counter, by source: reads that were not answered in time
	PlatformReader       Name = "linetiller_platform_reader"              // gauge: 1 where this box reads the platform's store for its hall
	PromptTokens         Name = "linetiller_prompt_tokens"                // histogram, by outcome: of requests of routes to engines
	QuarantinedRequests  Name = "linetiller_quarantined_requests"         // gauge: requests that are sent to no upstream, since upstreams crashed under them
	QueuedRequests       Name = "linetiller_queued_requests"              // gauge: waiting at upstreams owned here
	Refusals             Name = "linetiller_refusals_total"               // counter, by reason
	Requests             Name = "linetiller_requests_total"               // counter, by outcome: requests of routes
	Reservations         Name = "linetiller_reservations"                 // gauge: at upstreams owned here
	Resumptions          Name = "linetiller_resumptions_total"            // counter, by reason
	Retries              Name = "linetiller_retries_total"                // counter, by reason
	Revision             Name = "linetiller_configuration_revision"       // gauge: in force here
	RefusalsByShortage   Name = "linetiller_refusals_short_of_total"      // counter, by short_of: what refused work had waited for
	RowsIgnored          Name = "linetiller_platform_rows_ignored_total"  // counter, by reason: rows of the list of upstreams that name none
	StallTime            Name = "linetiller_stall_seconds"                // histogram: per generation
	Streams              Name = "linetiller_streams"                      // gauge: requests held
	TimeBetweenTokens    Name = "linetiller_time_between_tokens_seconds"  // histogram
	TimeToFirstToken     Name = "linetiller_time_to_first_token_seconds"  // histogram
	Tokens               Name = "linetiller_tokens_total"                 // counter: delivered to clients
	UpstreamCrashes      Name = "linetiller_upstream_ends_total"          // counter: requests under which an upstream ended
	UpstreamReportErrors Name = "linetiller_upstream_report_errors_total" // counter
	ViewAge              Name = "linetiller_view_age_seconds"             // gauge: since the view was last known to be current
	UpstreamNotices      Name = "linetiller_upstream_words_total"         // counter, by word: answers in which an upstream said something of itself
)

// Names lists every metric.
var Names = []Name{
	Boxes, CrashesIgnored, Generations, KeptRequests, RequestKeyCommits, RequestKeyRewrites, RequestKeyWrites, LimitedUpstreams, LoadAge, Moves, MovePause, Orders, OwnedUpstreams, LimitPermits, PlaceWait, PlatformReadAge, PlatformReadFailing, PlatformCalls,
	PlatformEra, PlatformLateReads, PlatformOlderAnswers, PlatformReader, PromptTokens, QuarantinedRequests, QueuedRequests, Refusals, Requests, Reservations, Resumptions, Retries,
	Revision, RowsIgnored, RefusalsByShortage, StallTime, Streams, TimeBetweenTokens, TimeToFirstToken, Tokens, UpstreamCrashes, UpstreamReportErrors,
	UpstreamNotices, ViewAge,
}

// Set holds the metrics of one box. It is safe for concurrent use.
type Set struct {
	set *metrics.Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet()}
}

// Add adds n to a counter.
func (s *Set) Add(name Name, n int) {
	s.set.GetOrCreateCounter(string(name)).Add(n)
}

// Count adds one to a counter with a label.
func (s *Set) Count(n Name, label, value string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", n, label, value)).Inc()
}

// CountTwo adds one to a counter with two labels.
func (s *Set) CountTwo(n Name, label, value, label2, value2 string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", n, label, value, label2, value2)).Inc()
}

// Counter returns a counter, for callers that add to it often.
func (s *Set) Counter(n Name) *metrics.Counter {
	return s.set.GetOrCreateCounter(string(n))
}

// Gauge makes f the value of a gauge.
func (s *Set) Gauge(n Name, f func() float64) {
	s.set.GetOrCreateGauge(string(n), f)
}

// GaugeOf makes f the value of a gauge with a label.
func (s *Set) GaugeOf(n Name, label, value string, f func() float64) {
	s.set.GetOrCreateGauge(fmt.Sprintf("%s{%s=%q}", n, label, value), f)
}

// Histogram returns a histogram, for callers that update it often.
func (s *Set) Histogram(n Name) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(string(n))
}

// HistogramOf returns a histogram with a label.
func (s *Set) HistogramOf(n Name, label, value string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", n, label, value))
}

// Value returns a counter's value, for tests.
func (s *Set) Value(n Name, label, value string) uint64 {
	return s.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", n, label, value)).Get()
}

// Write writes all metrics in the Prometheus text format, the process's own included.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
