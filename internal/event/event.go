// Package event defines the log events of linetiller.
//
// Each event has a number, a name and a level. A test checks the catalogue in docs/EVENTS.md against
// All.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log line.
type Event struct {
	Level  slog.Level
	Name   string
	Number int
}

// Events. Their numbers are grouped by hundreds: 1xx the box, 2xx requests, 3xx upstreams, 4xx the
// platform, 5xx other boxes, 6xx operators.
var (
	BoxStarted                = Event{slog.LevelInfo, "box started", 101}
	BoxLeaving                = Event{slog.LevelInfo, "box leaving", 102}
	BoxStopped                = Event{slog.LevelInfo, "box stopped", 103}
	BoxStopIncomplete         = Event{slog.LevelWarn, "box stopped with requests unfinished", 104}
	ClockJumped               = Event{slog.LevelWarn, "clock jumped, views refreshed", 105}
	SettingsReloaded          = Event{slog.LevelInfo, "settings read anew", 106}
	SettingsReloadFailed      = Event{slog.LevelWarn, "settings not read anew", 107}
	LinesOmitted              = Event{slog.LevelWarn, "log lines left out", 108}
	MemoryShort               = Event{slog.LevelWarn, "no memory for callers", 109}
	RequestFinished           = Event{slog.LevelInfo, "request finished", 201}
	RequestRefused            = Event{slog.LevelInfo, "request refused", 202}
	RequestInterrupted        = Event{slog.LevelWarn, "request interrupted", 203}
	RequestRetried            = Event{slog.LevelInfo, "request retried", 204}
	CallerDisconnected        = Event{slog.LevelInfo, "caller gone", 206}
	RequestPlaced             = Event{slog.LevelInfo, "request placed", 207}
	RetryOverBudget           = Event{slog.LevelInfo, "retry beyond the budget", 208}
	StreamResumed             = Event{slog.LevelInfo, "stream resumed", 205}
	UpstreamFailed            = Event{slog.LevelWarn, "upstream failed", 301}
	UpstreamFrameMismatch     = Event{slog.LevelError, "upstream sent a frame of another generation", 302}
	LoadReportMissing         = Event{slog.LevelWarn, "upstream load report missing", 303}
	OrderSent                 = Event{slog.LevelInfo, "order given to upstream", 304}
	OrderFailed               = Event{slog.LevelWarn, "order to upstream failed", 305}
	UpstreamEntryRemoved      = Event{slog.LevelInfo, "entry of upstream gone while the store was away", 306}
	UpstreamLeaving           = Event{slog.LevelInfo, "upstream leaving", 307}
	MoveStarted               = Event{slog.LevelInfo, "move of a generation started", 308}
	MoveCompleted             = Event{slog.LevelInfo, "generation moved", 309}
	MoveFailed                = Event{slog.LevelWarn, "generation not moved", 310}
	MemoryCopied              = Event{slog.LevelInfo, "memory of a generation copied", 312}
	LeavingNoticeReceived     = Event{slog.LevelInfo, "upstream told that it is leaving", 313}
	LeavingAnswerReceived     = Event{slog.LevelInfo, "answer of an upstream that is leaving", 314}
	UpstreamCrashed           = Event{slog.LevelWarn, "upstream ended under a request", 315}
	UpstreamRefused           = Event{slog.LevelInfo, "upstream did not run a request", 311}
	RequestQuarantined        = Event{slog.LevelWarn, "request quarantined", 316}
	CrashNotCounted           = Event{slog.LevelInfo, "broken request not counted as a crash", 317}
	RequestCleared            = Event{slog.LevelInfo, "request cleared of crashes", 318}
	QuarantinedRequestRetried = Event{slog.LevelWarn, "quarantined request tried again", 319}
	LimitAnnounced            = Event{slog.LevelInfo, "upstream named a limit", 320}
	LimitLifted               = Event{slog.LevelInfo, "limit of an upstream lifted", 321}
	LimitInvalid              = Event{slog.LevelWarn, "limit of an upstream cannot be used", 322}
	UpstreamLinkLost          = Event{slog.LevelWarn, "upstream out of reach of this box", 324}
	UpstreamLinkRestored      = Event{slog.LevelInfo, "upstream in reach of this box again", 325}
	UpstreamSilent            = Event{slog.LevelInfo, "upstream silent", 326}
	KeptRowsRead              = Event{slog.LevelInfo, "kept requests read", 323}
	PlatformUnreachable       = Event{slog.LevelWarn, "platform unreachable", 401}
	PlatformReachable         = Event{slog.LevelInfo, "platform reachable again", 402}
	OutcomeNotRecorded        = Event{slog.LevelWarn, "outcome not recorded yet", 403}
	StoreRestored             = Event{slog.LevelWarn, "platform's store was restored", 404}
	StaleAnswerIgnored        = Event{slog.LevelWarn, "older answer of the platform passed over", 405}
	ChangesHeld               = Event{slog.LevelInfo, "changes of a restored store wait", 406}
	RowIgnored                = Event{slog.LevelWarn, "row of the platform names no upstream", 407}
	ReadOverdue               = Event{slog.LevelWarn, "read of the platform late", 408}
	ViewStale                 = Event{slog.LevelWarn, "view not known to be current", 409}
	ViewCurrent               = Event{slog.LevelInfo, "view known to be current again", 410}
	ReadHedged                = Event{slog.LevelWarn, "read of the platform answered on another connection", 411}
	PeerUnreachable           = Event{slog.LevelWarn, "box unreachable", 501}
	PeerRemoved               = Event{slog.LevelInfo, "row of a box long gone removed", 503}
	PeerReachable             = Event{slog.LevelInfo, "box reachable again", 502}
	ReaderUnresponsive        = Event{slog.LevelWarn, "reader of the store did not answer", 504}
	ReaderMissing             = Event{slog.LevelWarn, "no box keeps the view up to date", 506}
	ReaderFollowed            = Event{slog.LevelInfo, "another box keeps the view up to date again", 507}
	PeerLost                  = Event{slog.LevelWarn, "box marked as lost", 505}
	RevisionApplied           = Event{slog.LevelInfo, "configuration revision in force", 601}
	ResourceWritten           = Event{slog.LevelInfo, "resource written", 602}
	ResourceRefused           = Event{slog.LevelInfo, "resource write refused", 603}
	ResourceRewritten         = Event{slog.LevelInfo, "resource written again", 604}
)

// All lists every event in the order of the numbers.
var All = []Event{
	BoxStarted, BoxLeaving, BoxStopped, BoxStopIncomplete, ClockJumped, SettingsReloaded, SettingsReloadFailed, LinesOmitted, MemoryShort,
	RequestFinished, RequestRefused, RequestInterrupted, RequestRetried, StreamResumed, CallerDisconnected, RequestPlaced, RetryOverBudget,
	UpstreamFailed, UpstreamFrameMismatch, LoadReportMissing, OrderSent, OrderFailed,
	UpstreamEntryRemoved, UpstreamLeaving, MoveStarted, MoveCompleted, MoveFailed, UpstreamRefused, MemoryCopied, LeavingNoticeReceived, LeavingAnswerReceived, UpstreamCrashed,
	RequestQuarantined, CrashNotCounted, RequestCleared, QuarantinedRequestRetried, LimitAnnounced, LimitLifted, LimitInvalid, UpstreamLinkLost, UpstreamLinkRestored, UpstreamSilent, KeptRowsRead,
	PlatformUnreachable, PlatformReachable, OutcomeNotRecorded, StoreRestored, StaleAnswerIgnored, ChangesHeld, RowIgnored, ReadOverdue, ViewStale, ViewCurrent, ReadHedged,
	PeerUnreachable, PeerReachable, PeerRemoved, ReaderUnresponsive, PeerLost, ReaderMissing, ReaderFollowed,
	RevisionApplied, ResourceWritten, ResourceRefused, ResourceRewritten,
}

// Log logs e to l with the given attributes, in the key-value form of slog.
func (e Event) Log(l *slog.Logger, attributes ...any) {
	l.Log(context.Background(), e.Level, e.Name, append([]any{"event", e.Number}, attributes...)...)
}
