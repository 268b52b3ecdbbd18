package operator

import (
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

// conditionInForce is the type of the condition that a resource is in force at every box.
const conditionInForce = "InForce"

// statusOf returns the status of a resource: for each hall, at how many boxes it is in force, and
// the condition over all halls.
func statusOf(x *resource.Resource, halls []box.HallRevisions, now time.Time) *resource.Status {
	st := &resource.Status{ObservedGeneration: x.Metadata.Generation}
	behind, unanswered := 0, 0
	for _, h := range halls {
		v := resource.HallStatus{Boxes: len(h.Revisions) + h.Unanswered, Hall: h.Hall, Unknown: h.Unanswered}
		for _, r := range h.Revisions {
			if r >= x.Revision() {
				v.InForce++
			}
		}
		behind += len(h.Revisions) - v.InForce
		unanswered += h.Unanswered
		st.Halls = append(st.Halls, v)
	}
	c := resource.Condition{LastTransitionTime: now, Reason: "EveryBox", Status: "True", Type: conditionInForce}
	switch {
	case behind > 0:
		c.Reason, c.Status, c.Message = "Spreading", "False", strconv.Itoa(behind)+" boxes are behind"
	case unanswered > 0:
		c.Reason, c.Status, c.Message = "BoxesSilent", "Unknown", strconv.Itoa(unanswered)+" boxes did not answer"
	}
	st.Conditions = []resource.Condition{c}
	return st
}
