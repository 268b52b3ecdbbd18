package delivery

import (
	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
)

// stage is how far a request has come. It moves from stageNotRun to stageSent
// with the first byte that goes to an upstream, and back only where that
// upstream itself confirms that it ran nothing.
type stage string

const (
	stageNotRun stage = ""
	stageSent   stage = "sent"
)

// correctError returns err in the type that is true of the stage: an error that
// says that nothing ran is changed once something may have run.
func (s stage) correctError(err error, delivered int) error {
	p := fail.Origin{Peer: fail.Peer(err), Step: fail.Step(err)}
	if s == stageNotRun {
		if errorx.IsOfType(err, fail.Unknown) || errorx.IsOfType(err, fail.Unavailable) {
			return fail.Wrap(fail.NotRun, p, fail.Reason(err), err)
		}
		return err
	}
	if delivered > 0 && !errorx.IsOfType(err, fail.Interrupted) {
		return fail.Wrap(fail.Interrupted, p, fail.Reason(err), err)
	}
	if errorx.IsOfType(err, fail.NotRun) {
		return fail.Wrap(fail.Unknown, p, fail.Reason(err), err)
	}
	return err
}
