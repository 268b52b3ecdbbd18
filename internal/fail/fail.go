// Package fail defines the typed errors of linetiller.
//
// Every error carries the peer and the step at which it occurred, and a reason, which is the label
// that refusals and retries are counted by.
package fail

import (
	"time"

	"github.com/joomcode/errorx"
)

// Namespace holds every error type of linetiller.
var Namespace = errorx.NewNamespace("linetiller")

// Error types. They indicate whether the work ran and whether it may be retried.
var (
	// BadInput means that the request is invalid and must not be retried unchanged.
	BadInput = Namespace.NewType("bad_input")
	// Conflict means that a write raced with another one or was based on an outdated version.
	Conflict = Namespace.NewType("conflict")
	// Interrupted means that the work started but did not complete.
	Interrupted = Namespace.NewType("interrupted")
	// NotFound means that a named resource does not exist.
	NotFound = Namespace.NewType("not_found")
	// NotRun means that the work did not run, and that this request will not cause it to run later.
	NotRun = Namespace.NewType("not_run")
	// Unauthorized means that the caller's key is missing or unknown.
	Unauthorized = Namespace.NewType("unauthorized")
	// Unavailable means that a peer could not be reached or temporarily refuses requests.
	Unavailable = Namespace.NewType("unavailable")
	// Unknown means that it is not known whether the work ran.
	Unknown = Namespace.NewType("unknown")
)

var (
	propertyPeer     = errorx.RegisterPrintableProperty("peer")
	propertyReason   = errorx.RegisterPrintableProperty("reason")
	propertyRetryAt  = errorx.RegisterProperty("retry_after")
	propertyShortage = errorx.RegisterPrintableProperty("short_of")
	propertyStep     = errorx.RegisterPrintableProperty("step")
)

// Origin names the operation in which an error occurred.
type Origin struct {
	Peer string // the remote side, such as "platform" or "upstream tiller-1"
	Step string // the operation, such as "reserve"
}

// New returns an error of type t that occurred at p, with a reason and a formatted message.
func New(t *errorx.Type, p Origin, reason, format string, arguments ...any) error {
	return decorate(t.New(format, arguments...), p, reason)
}

// Peer returns the peer at which e occurred, or "".
func Peer(e error) string {
	return stringProperty(e, propertyPeer)
}

// Reason returns the reason of e, or "internal" if it has none.
func Reason(e error) string {
	if r := stringProperty(e, propertyReason); r != "" {
		return r
	}
	return "internal"
}

// RetryAt returns the time from which a caller may retry, or the zero time if e has none.
func RetryAt(e error) time.Time {
	x := errorx.Cast(e)
	if x == nil {
		return time.Time{}
	}
	v, _ := x.Property(propertyRetryAt)
	t, _ := v.(time.Time)
	return t
}

// Shortage returns the resource whose shortage caused e, or "".
func Shortage(e error) string {
	return stringProperty(e, propertyShortage)
}

// Step returns the step at which e occurred, or "".
func Step(e error) string {
	return stringProperty(e, propertyStep)
}

// WithRetryAt returns e with the time from which the caller may retry. An error that is not of this
// package becomes Unavailable.
func WithRetryAt(e error, t time.Time) error {
	x := errorx.Cast(e)
	if x == nil {
		x = Unavailable.WrapWithNoMessage(e)
	}
	return x.WithProperty(propertyRetryAt, t)
}

// WithShortage returns e with the resource whose shortage caused it. An error that is not of this
// package becomes Unavailable.
func WithShortage(e error, what string) error {
	x := errorx.Cast(e)
	if x == nil {
		x = Unavailable.WrapWithNoMessage(e)
	}
	return x.WithProperty(propertyShortage, what)
}

// Wrap returns an error of type t that wraps e and occurred at p, with a reason.
func Wrap(t *errorx.Type, p Origin, reason string, e error) error {
	return decorate(t.Wrap(e, "%s at %s", p.Step, p.Peer), p, reason)
}

func decorate(x *errorx.Error, p Origin, reason string) error {
	return x.WithProperty(propertyPeer, p.Peer).
		WithProperty(propertyStep, p.Step).
		WithProperty(propertyReason, reason)
}

func stringProperty(e error, p errorx.Property) string {
	x := errorx.Cast(e)
	if x == nil {
		return ""
	}
	v, _ := x.Property(p)
	s, _ := v.(string)
	return s
}
