package relay

import (
	"context"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// MoveSlotFunc waits for the turn to move a run away from an upstream or, if arriving is set, to
// it: an upstream's moves take place one after another. The caller must call release once
// its move has ended. An error means that the turn was not granted.
type MoveSlotFunc func(ctx context.Context, u *resource.Upstream, arriving bool, r *policy.Run) (release func(), err error)
