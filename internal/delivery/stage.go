package delivery

import (
	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
)

// stage records whether a request may have run. It changes from stageNotRun to stageSent before the first
// byte is sent to an upstream, and back only if it is certain that this upstream ran nothing.
type stage string

const (
	stageNotRun stage = ""
	stageSent   stage = "sent"
)

// correctError returns err with the type that applies in this stage, given how many tokens were
// delivered. In particular, it never returns fail.NotRun for a request that may have run.
func (s stage) correctError(err error, deliveredTokens int) error {
	p := fail.Origin{Peer: fail.Peer(err), Step: fail.Step(err)}
	if s == stageNotRun {
		if errorx.IsOfType(err, fail.Unknown) || errorx.IsOfType(err, fail.Unavailable) {
			return fail.Wrap(fail.NotRun, p, fail.Reason(err), err)
		}
		return err
	}
	if deliveredTokens > 0 && !errorx.IsOfType(err, fail.Interrupted) {
		return fail.Wrap(fail.Interrupted, p, fail.Reason(err), err)
	}
	if errorx.IsOfType(err, fail.NotRun) {
		return fail.Wrap(fail.Unknown, p, fail.Reason(err), err)
	}
	return err
}
