package relay

import (
	"context"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// TurnFunc asks for the turn to move a run away from an upstream, or, where arriving is
// set, to one. It returns when the turn has come, and release gives it back. An error
// means that the turn has not come.
type TurnFunc func(ctx context.Context, u *resource.Upstream, arriving bool, r *policy.Run) (release func(), err error)
