package operator

import (
	"strconv"

	"github.com/linetiller/linetiller/internal/resource"
)

// List is the resources of a kind.
type List struct {
	Items    []*resource.Resource `json:"items"`
	Revision string               `json:"revision"` // from which a watch may go on
}

// WatchType tells what a watch event says.
type WatchType string

// The types of watch events.
const (
	WatchApplied  WatchType = "applied"
	WatchBookmark WatchType = "bookmark" // nothing changed; the revision is still in force
	WatchDeleted  WatchType = "deleted"
)

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Resource *resource.Resource `json:"resource,omitempty"`
	Revision string             `json:"revision"`
	Type     WatchType          `json:"type"`
}

// Problem is the body of an answer that is not a success.
type Problem struct {
	Code    string             `json:"code"`
	Current *resource.Resource `json:"current,omitempty"` // of a conflict
	Faults  resource.Faults    `json:"faults,omitempty"`
	Message string             `json:"message"`
}

// watchEvent returns a change as a line of a watch.
func watchEvent(c *resource.Change) *WatchEvent {
	e := &WatchEvent{Resource: c.Resource, Revision: strconv.FormatInt(c.Revision, 10), Type: WatchApplied}
	if c.Deleted {
		e.Type = WatchDeleted
	}
	return e
}
