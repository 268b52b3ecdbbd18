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

// forwarder relays the tokens of one generation, opening its stream anew after
// a cut, a mismatch or a silence, at the token that is next.
type forwarder struct {
	generation string
	running    *placement.Generation
	session    *session
	stream     *upstream.Stream
	upstream   *resource.Upstream

	ctx   context.Context
	token Token
}

// maxIdleReopens bounds how often in a row a stream is opened anew without a token.
const maxIdleReopens = 100

// run relays until the generation's end. An error of type fail.Interrupted
// means that the generation is lost.
func (f *forwarder) run() error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.session.clientContext))
	defer cancel()
	defer context.AfterFunc(f.session.deliverer.ctx, cancel)()
	f.ctx = ctx
	for idle := 0; ; idle++ {
		before := f.session.delivered
		err := f.forwardStream()
		if err == nil || f.session.clientGone && f.session.request.Key == "" {
			return f.endError(err)
		}
		if f.session.delivered > before {
			idle = 0
		}
		if idle > maxIdleReopens {
			return fail.Wrap(fail.Interrupted, f.upstreamPlace("resume"), "no_progress", err)
		}
		if err := f.reopen(time.Now().Add(resumeTimeout), err); err != nil {
			return err
		}
	}
}

// endError returns errClientGone where the relay ended because the client has gone.
func (f *forwarder) endError(err error) error {
	if err != nil {
		return errClientGone
	}
	return nil
}

// forwardStream passes tokens on until the stream ends or fails.
func (f *forwarder) forwardStream() error {
	if f.stream == nil {
		return fail.New(fail.Interrupted, f.upstreamPlace("open"), "start_lost", "the answer to the start was lost")
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
			f.session.clientGone = f.session.clientGone || f.session.clientContext.Err() != nil
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

// forwardToken takes one frame to the client.
func (f *forwarder) forwardToken(v *upstream.Token) error {
	s := f.session
	if v.Finish == upstream.FinishCancelled {
		return fail.New(fail.Interrupted, f.upstreamPlace("relay"), "cancelled", "the upstream cancelled the generation")
	}
	f.token = Token{Finish: v.Finish, Generation: f.generation, Index: v.Index, Text: v.Text, Upstream: f.upstream.Name}
	if v.Finish == "" {
		s.delivered = v.Index + 1
		f.running.Produced.Store(int64(s.delivered))
		s.deliverer.meter.Tokens(1, time.Now(), s.request.Work.Arrived, &f.session.times)
	}
	if s.claim != nil {
		s.text.Write(v.Text)
		s.claim.Record.Finish = v.Finish
	}
	if s.clientGone {
		return nil
	}
	if err := s.sink(&f.token); err != nil {
		s.clientGone = true
		if s.request.Key == "" {
			return errClientGone
		}
	}
	return nil
}

// reopen opens the stream at the next token, and gives the generation up for
// lost when the upstream does not know it or does not answer until lostAt.
func (f *forwarder) reopen(lostAt time.Time, cause error) error {
	d := f.session.deliverer
	if fail.Reason(cause) == "cancelled" {
		return cause
	}
	if fail.Reason(cause) == "stream_crossed" {
		event.UpstreamMismatch.Log(d.log, "upstream", f.upstream.Name, "generation", f.generation)
	}
	for {
		x, err := d.engines.Resume(f.ctx, f.upstream.Spec.Address, f.generation, f.session.delivered)
		if err == nil {
			f.stream = x
			d.metrics.Count(metric.Resumptions, "reason", fail.Reason(cause))
			event.StreamResumed.Log(d.log, "upstream", f.upstream.Name, "reason", fail.Reason(cause), "index", f.session.delivered)
			return nil
		}
		if errorx.IsOfType(err, fail.NotFound) || time.Now().After(lostAt) {
			return fail.Wrap(fail.Interrupted, f.upstreamPlace("resume"), "generation_lost", err)
		}
		select {
		case <-time.After(resumeRetryInterval):
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
}

func (f *forwarder) upstreamPlace(step string) fail.Origin {
	return fail.Origin{Peer: "upstream " + f.upstream.Name, Step: step}
}
