package resource

import "time"

// Box is a box with its decoded spec.
type Box struct {
	Name string
	Spec BoxSpec
}

// BoxSpec describes the location of a box. Each box writes its own, and another box marks it as lost
// when it has been unreachable for long.
type BoxSpec struct {
	Address   string    `json:"address"` // IP:port for calls from other boxes
	Hall      string    `json:"hall"`
	LostUntil time.Time `json:"lostUntil,omitzero"` // until when a lost box may still be serving, cut off; zero unless lost
}

// Lost reports whether the box is marked as lost.
func (s *BoxSpec) Lost() bool {
	return !s.LostUntil.IsZero()
}
