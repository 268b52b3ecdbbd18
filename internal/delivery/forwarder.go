package delivery

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// forwarder forwards the tokens of one generation to the client. If the stream breaks, stalls or
// contains unexpected frames, it reopens it at the next token.
type forwarder struct {
	generation string // id
	running    *placement.Generation
	session    *session
	stream     *upstream.Stream // nil if the answer to the start was lost
	upstream   *resource.Upstream

	ctx   context.Context // not cancelled when the client disconnects
	token Token           // reused to avoid an allocation per token
}

// maxIdleReopens limits how often in a row a stream is reopened without yielding a token.
const maxIdleReopens = 100

// run forwards tokens until the generation ends. It returns errClientDisconnected if the client disconnected
// and the request has no key; with a key, it reads on to record the answer. An error of type
// fail.Interrupted means that the generation is lost.
func (f *forwarder) run() error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.session.clientContext))
	defer cancel()
	defer context.AfterFunc(f.session.deliverer.ctx, cancel)()
	f.ctx = ctx
	for idle := 0; ; idle++ {
		before := f.session.deliveredTokens
		err := f.forwardStream()
		if err == nil || f.session.clientDisconnected && f.session.request.Key == "" {
			return f.endError(err)
		}
		if f.session.deliveredTokens > before {
			idle = 0
		}
		if idle > maxIdleReopens {
			return fail.Wrap(fail.Interrupted, f.upstreamOrigin("resume"), "no_progress", err)
		}
		if err := f.reopen(err); err != nil {
			return err
		}
	}
}

// endError returns errClientDisconnected if err is not nil, which means that the client disconnected.
func (f *forwarder) endError(err error) error {
	if err != nil {
		return errClientDisconnected
	}
	return nil
}

// forwardStream forwards tokens until the generation ends or the stream fails.
func (f *forwarder) forwardStream() error {
	if f.stream == nil {
		return fail.New(fail.Interrupted, f.upstreamOrigin("open"), "start_lost", "the response to the start of the generation was lost")
	}
	x := f.stream
	defer func() { _ = x.Close() }()
	stall := time.AfterFunc(f.session.deliverer.stallTimeout, func() { _ = x.Close() })
	defer stall.Stop()
	defer context.AfterFunc(f.ctx, func() { _ = x.Close() })()
	defer context.AfterFunc(f.session.clientContext, func() {
		if f.session.request.Key == "" {
			_ = x.Close()
		}
	})()
	for {
		v, err := x.Next()
		if err != nil {
			f.session.clientDisconnected = f.session.clientDisconnected || f.session.clientContext.Err() != nil
			return err
		}
		stall.Reset(f.session.deliverer.stallTimeout)
		if err := f.forwardToken(&v); err != nil {
			return err
		}
		if v.Finish != "" {
			return nil
		}
	}
}

// forwardToken sends a token to the client, and appends it to the answer to be recorded if the request
// has a key.
func (f *forwarder) forwardToken(v *upstream.Token) error {
	s := f.session
	if v.Finish == upstream.FinishCancelled {
		return fail.New(fail.Interrupted, f.upstreamOrigin("relay"), "cancelled", "the upstream cancelled the generation")
	}
	f.token = Token{Finish: v.Finish, Generation: f.generation, Index: v.Index, Text: v.Text, Upstream: f.upstream.Name}
	if v.Finish == "" {
		s.deliveredTokens = v.Index + 1
		f.running.Produced.Store(int64(s.deliveredTokens))
		s.deliverer.meter.RecordTokens(1, time.Now(), s.request.Work.Arrived, &f.session.times)
	}
	if s.claim != nil {
		s.text.Write(v.Text)
		s.claim.Record.Finish = v.Finish
	}
	if s.clientDisconnected {
		return nil
	}
	if err := s.sink(&f.token); err != nil {
		s.clientDisconnected = true
		if s.request.Key == "" {
			return errClientDisconnected
		}
	}
	return nil
}

// reopen opens the stream at the next token. It fails if the generation was cancelled, if the upstream
// does not know it, or if no attempt succeeds within resumeTimeout or, as long as the upstream is only silent,
// before the request's deadline. cause is the error that ended the previous stream.
func (f *forwarder) reopen(cause error) error {
	d := f.session.deliverer
	lostAt := time.Now().Add(resumeTimeout)
	if fail.Reason(cause) == "cancelled" {
		return cause
	}
	if fail.Reason(cause) == "stream_crossed" {
		event.UpstreamFrameMismatch.Log(d.log, "upstream", f.upstream.Name, "generation", f.generation)
	}
	for {
		x, err := d.engines.Resume(f.ctx, f.upstream.Spec.Address, f.generation, f.session.deliveredTokens)
		if err == nil {
			f.stream = x
			d.metrics.Count(metric.Resumptions, "reason", fail.Reason(cause))
			event.StreamResumed.Log(d.log, "upstream", f.upstream.Name, "reason", fail.Reason(cause), "index", f.session.deliveredTokens)
			return nil
		}
		if fail.Reason(err) == upstream.ReasonSilent && time.Now().Before(f.session.request.Work.Deadline) {
			lostAt = time.Now().Add(resumeTimeout)
		}
		if errorx.IsOfType(err, fail.NotFound) || time.Now().After(lostAt) {
			return fail.Wrap(fail.Interrupted, f.upstreamOrigin("resume"), "generation_lost", err)
		}
		select {
		case <-time.After(resumeRetryInterval):
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
}

func (f *forwarder) upstreamOrigin(step string) fail.Origin {
	return fail.Origin{Peer: "upstream " + f.upstream.Name, Step: step}
}
