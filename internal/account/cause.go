package account

import "slices"

// Cause is why a request was lost or late.
type Cause string

// The causes.
const (
	CauseAllBoxesDied  Cause = "all boxes died"
	CauseBoxDied       Cause = "its box died"
	CauseBoxStopped    Cause = "its box was stopped"
	CauseCut           Cause = "ran in another hall, which was lost"
	CauseFailed        Cause = "failed at each upstream"
	CauseGone          Cause = "engine gone without notice"
	CauseLate          Cause = "late: slow, or waited"
	CauseLatePause     Cause = "late: a pause as it moved"
	CauseLateStall     Cause = "late: a pause at its engine"
	CauseLateRead      Cause = "late: its prompt read slowly"
	CauseLateWait      Cause = "late: waited for a place"
	CauseReclaimed     Cause = "engine reclaimed before its run had left"
	CauseRefused       Cause = "refused"
	CauseUnseen        Cause = "no box saw it"
	CauseUpstreamQuiet Cause = "no answer in time"
)

// late reports whether a request with that cause was served, late.
func (c Cause) late() bool {
	return slices.Contains([]Cause{CauseLate, CauseLatePause, CauseLateRead, CauseLateStall, CauseLateWait}, c)
}
