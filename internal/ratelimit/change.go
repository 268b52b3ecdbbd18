package ratelimit

// Change describes an update of the limit that this box knows for an upstream.
type Change struct {
	After     Limit
	Before    Limit
	HasBefore bool // whether a limit was known before the change; if not, Before is zero
}

// NeedsAnnouncement reports whether the change must be sent to all boxes: a limit is new or was
// lifted, or it belongs to another instance of the upstream. A change of the rate alone need not.
func (c *Change) NeedsAnnouncement() bool {
	return !c.HasBefore || c.Before.Lifted != c.After.Lifted || c.Before.StartedAtMS != c.After.StartedAtMS
}
