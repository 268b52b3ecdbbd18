package account

import "slices"

// Cause is why a request was lost or late.
type Cause string

// The causes, with the names under which they are printed.
const (
	CauseAllBoxesDied Cause = "all boxes died"
	CauseBoxDied      Cause = "its box died"
	CauseBoxStopped   Cause = "its box was stopped"
	CauseHallLost     Cause = "ran in another hall, which was lost"
	CauseFailed       Cause = "failed at each upstream"
	CauseEngineLost   Cause = "engine gone without notice"
	CauseLate         Cause = "late: slow, or waited"
	CauseLateMove     Cause = "late: a pause as it moved"
	CauseLateStall    Cause = "late: a pause at its engine"
	CauseLatePrefill  Cause = "late: its prompt read slowly"
	CauseLateWait     Cause = "late: waited for a place"
	CauseReclaimed    Cause = "engine reclaimed before its run had left"
	CauseRefused      Cause = "refused"
	CauseNotLogged    Cause = "no box saw it"
	CauseNoAnswer     Cause = "no answer in time"
)

// isLate reports whether a request with this cause was served, but late.
func (c Cause) isLate() bool {
	return slices.Contains([]Cause{CauseLate, CauseLateMove, CauseLatePrefill, CauseLateStall, CauseLateWait}, c)
}
