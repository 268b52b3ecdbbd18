// Package fail defines the typed errors of linetiller.
//
// Every error carries the step and the peer at which it arose, and a reason
// that names the counter it is counted under.
package fail

import (
	"time"

	"github.com/joomcode/errorx"
)

// Namespace holds every error type of linetiller.
var Namespace = errorx.NewNamespace("linetiller")

// The types of errors, by what a caller may conclude from them.
var (
	// BadInput says that the request itself is wrong and must not be retried as it is.
	BadInput = Namespace.NewType("bad_input")
	// Conflict says that a write raced another one or was based on an old version.
	Conflict = Namespace.NewType("conflict")
	// Interrupted says that work started and did not reach its end.
	Interrupted = Namespace.NewType("interrupted")
	// NotFound says that the thing named does not exist.
	NotFound = Namespace.NewType("not_found")
	// NotRun says that the work did not run and never will under this request.
	NotRun = Namespace.NewType("not_run")
	// Unauthorized says that the caller's key is missing or wrong.
	Unauthorized = Namespace.NewType("unauthorized")
	// Unavailable says that a peer could not be reached or refused for now.
	Unavailable = Namespace.NewType("unavailable")
	// Unknown says that it cannot be told whether the work ran.
	Unknown = Namespace.NewType("unknown")
)

var (
	propertyPeer       = errorx.RegisterPrintableProperty("peer")
	propertyReason     = errorx.RegisterPrintableProperty("reason")
	propertyRetryAfter = errorx.RegisterProperty("retry_after")
	propertyShortOf    = errorx.RegisterPrintableProperty("short_of")
	propertyStep       = errorx.RegisterPrintableProperty("step")
)

// Origin names where an error arose.
type Origin struct {
	Peer string // the other side, such as "platform" or "upstream tiller-1"
	Step string // what was being done, such as "reserve"
}

// New returns an error of type t that arose at p for the given reason.
func New(t *errorx.Type, p Origin, reason, format string, arguments ...any) error {
	return decorate(t.New(format, arguments...), p, reason)
}

// Peer returns the peer at which e arose, or "".
func Peer(e error) string {
	return stringProperty(e, propertyPeer)
}

// Reason returns the reason of e, or "internal" where it carries none.
func Reason(e error) string {
	if r := stringProperty(e, propertyReason); r != "" {
		return r
	}
	return "internal"
}

// RetryAt returns the time at which a caller may come back, or the zero time.
func RetryAt(e error) time.Time {
	x := errorx.Cast(e)
	if x == nil {
		return time.Time{}
	}
	v, _ := x.Property(propertyRetryAfter)
	t, _ := v.(time.Time)
	return t
}

// ShortOf returns what was lacking where e arose, or "".
func ShortOf(e error) string {
	return stringProperty(e, propertyShortOf)
}

// Step returns the step at which e arose, or "".
func Step(e error) string {
	return stringProperty(e, propertyStep)
}

// WithRetryAt returns e with the time at which the caller may come back.
func WithRetryAt(e error, t time.Time) error {
	x := errorx.Cast(e)
	if x == nil {
		x = Unavailable.WrapWithNoMessage(e)
	}
	return x.WithProperty(propertyRetryAfter, t)
}

// WithShortOf returns e with what was lacking.
func WithShortOf(e error, what string) error {
	x := errorx.Cast(e)
	if x == nil {
		x = Unavailable.WrapWithNoMessage(e)
	}
	return x.WithProperty(propertyShortOf, what)
}

// Wrap returns e as an error of type t that arose at p for the given reason.
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
