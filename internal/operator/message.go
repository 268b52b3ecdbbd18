package operator

import (
	"strconv"

	"github.com/linetiller/linetiller/internal/resource"
)

// List holds the resources of a kind.
type List struct {
	Items    []*resource.Resource `json:"items"`
	Revision string               `json:"revision"` // a watch after this revision returns the changes after this list
}

// WatchType is the type of a watch event.
type WatchType string

// The types of watch events.
const (
	WatchApplied  WatchType = "applied"
	WatchBookmark WatchType = "bookmark" // no change; the watch can be resumed from its revision
	WatchDeleted  WatchType = "deleted"
)

// WatchEvent is one line of the response to a watch.
type WatchEvent struct {
	Resource *resource.Resource `json:"resource,omitempty"`
	Revision string             `json:"revision"`
	Type     WatchType          `json:"type"`
}

// Problem is the body of an error response.
type Problem struct {
	Code    string             `json:"code"`
	Current *resource.Resource `json:"current,omitempty"` // on a conflict: the resource as stored
	Faults  resource.Faults    `json:"faults,omitempty"`
	Message string             `json:"message"`
}

// watchEvent converts a change into a watch event.
func watchEvent(c *resource.Change) *WatchEvent {
	e := &WatchEvent{Resource: c.Resource, Revision: strconv.FormatInt(c.Revision, 10), Type: WatchApplied}
	if c.Deleted {
		e.Type = WatchDeleted
	}
	return e
}
