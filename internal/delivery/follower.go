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

// follower relays the tokens of one generation, opening its stream anew after
// a cut, a mismatch or a silence, at the token that is next.
type follower struct {
	generation string
	running    *placement.Generation
	session    *session
	stream     *upstream.Stream
	upstream   *resource.Upstream

	ctx   context.Context
	token Token
}

// idleMost bounds how often in a row a stream is opened anew without a token.
const idleMost = 100

// follow relays until the generation's end. An error of type fail.Interrupted
// means that the generation is lost.
func (f *follower) follow() error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.session.client))
	defer cancel()
	defer context.AfterFunc(f.session.deliverer.ctx, cancel)()
	f.ctx = ctx
	for idle := 0; ; idle++ {
		before := f.session.delivered
		err := f.relay()
		if err == nil || f.session.gone && f.session.request.Key == "" {
			return f.finish(err)
		}
		if f.session.delivered > before {
			idle = 0
		}
		if idle > idleMost {
			return fail.Wrap(fail.Interrupted, f.place("resume"), "no_progress", err)
		}
		if err := f.reopen(time.Now().Add(resumePeriod), err); err != nil {
			return err
		}
	}
}

// finish returns errGone where the relay ended because the client has gone.
func (f *follower) finish(err error) error {
	if err != nil {
		return errGone
	}
	return nil
}

// relay passes tokens on until the stream ends or fails.
func (f *follower) relay() error {
	if f.stream == nil {
		return fail.New(fail.Interrupted, f.place("open"), "start_lost", "the answer to the start was lost")
	}
	x := f.stream
	defer func() { _ = x.Close() }()
	silence := time.AfterFunc(f.session.deliverer.silence, func() { _ = x.Close() })
	defer silence.Stop()
	defer context.AfterFunc(f.ctx, func() { _ = x.Close() })()
	defer context.AfterFunc(f.session.client, func() {
		if f.session.request.Key == "" {
			_ = x.Close()
		}
	})()
	for {
		v, err := x.Next()
		if err != nil {
			f.session.gone = f.session.gone || f.session.client.Err() != nil
			return err
		}
		silence.Reset(f.session.deliverer.silence)
		if err := f.pass(&v); err != nil {
			return err
		}
		if v.Finish != "" {
			return nil
		}
	}
}

// pass takes one frame to the client.
func (f *follower) pass(v *upstream.Token) error {
	s := f.session
	if v.Finish == upstream.FinishCancelled {
		return fail.New(fail.Interrupted, f.place("relay"), "cancelled", "the upstream cancelled the generation")
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
	if s.gone {
		return nil
	}
	if err := s.sink(&f.token); err != nil {
		s.gone = true
		if s.request.Key == "" {
			return errGone
		}
	}
	return nil
}

// reopen opens the stream at the next token, and gives the generation up for
// lost when the upstream does not know it or does not answer until lostAt.
func (f *follower) reopen(lostAt time.Time, cause error) error {
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
			return fail.Wrap(fail.Interrupted, f.place("resume"), "generation_lost", err)
		}
		select {
		case <-time.After(resumptionGap):
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
}

func (f *follower) place(step string) fail.Origin {
	return fail.Origin{Peer: "upstream " + f.upstream.Name, Step: step}
}
