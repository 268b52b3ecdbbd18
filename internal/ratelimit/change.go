package ratelimit

// Change is how a box's knowledge of one limit has changed.
type Change struct {
	After  Limit
	Before Limit
	Known  bool // there is a Before
}

// NeedsAnnouncement reports whether other boxes have to hear of the change: whether the upstream has a
// limit at all has changed.
func (c *Change) NeedsAnnouncement() bool {
	return !c.Known || c.Before.Lifted != c.After.Lifted || c.Before.StartedAt != c.After.StartedAt
}
