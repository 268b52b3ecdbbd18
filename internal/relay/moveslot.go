package relay

import (
	"context"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// MoveSlotFunc waits for a move slot: the right to copy the run's memory from an upstream or, if
// incoming is set, to it. An upstream has one slot for each direction, so that its moves take place
// one after another. The caller must call release once its move has ended. An error means that no
// slot was granted.
type MoveSlotFunc func(ctx context.Context, u *resource.Upstream, incoming bool, r *policy.Run) (release func(), err error)
