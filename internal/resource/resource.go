// Package resource defines what operators declare: models, versions,
// workspaces, priorities, services, routes and upstreams, with their checks and
// status. Boxes keep what they know of each other in the same form.
package resource

import (
	"encoding/json"
	"strconv"
	"time"
)

// Kind names a kind of resource.
type Kind string

// The kinds of resources.
const (
	KindBox        Kind = "Box"
	KindEvacuation Kind = "Evacuation"
	KindLimits     Kind = "Limits"
	KindModel      Kind = "Model"
	KindPriority   Kind = "Priority"
	KindRoute      Kind = "Route"
	KindService    Kind = "Service"
	KindUpstream   Kind = "Upstream"
	KindVersion    Kind = "Version"
	KindWorkspace  Kind = "Workspace"
)

// Kinds lists every kind that operators declare, in the order in which they are
// applied.
var Kinds = []Kind{KindModel, KindVersion, KindPriority, KindWorkspace, KindService, KindUpstream, KindRoute, KindLimits, KindEvacuation}

// Metadata identifies a resource and its version.
type Metadata struct {
	// Generation counts the changes of Spec, from 1.
	Generation int64 `json:"generation,omitempty"`
	// Name is unique within a kind.
	Name string `json:"name"`
	// ResourceVersion is the revision of the last write, in decimal.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Condition is one observed aspect of a resource.
type Condition struct {
	LastTransitionTime time.Time `json:"lastTransitionTime"`
	Message            string    `json:"message,omitempty"`
	Reason             string    `json:"reason"`
	Status             string    `json:"status"` // "True", "False" or "Unknown"
	Type               string    `json:"type"`   // such as "InForce"
}

// HallStatus tells how far a resource is in force in one data hall.
type HallStatus struct {
	Boxes   int    `json:"boxes"`   // boxes believed alive
	Hall    string `json:"hall"`    // the data hall's name
	InForce int    `json:"inForce"` // boxes with this generation in force
	Unknown int    `json:"unknown"` // boxes that did not answer
}

// Status is what the system observes about a resource.
type Status struct {
	Conditions         []Condition  `json:"conditions,omitempty"`
	Halls              []HallStatus `json:"halls,omitempty"`
	ObservedGeneration int64        `json:"observedGeneration,omitempty"`
}

// Resource is one declared object; Spec holds the JSON of the kind's spec.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Revision returns the revision of the resource's last write, or 0.
func (r *Resource) Revision() int64 {
	v, _ := strconv.ParseInt(r.Metadata.ResourceVersion, 10, 64)
	return v
}

// ModelSpec declares a model that callers may name.
type ModelSpec struct {
	// Default is the version used where a caller names none.
	Default string `json:"default,omitempty"`
	// MaxTokens bounds the output of one generation, in tokens.
	MaxTokens int `json:"maxTokens"`
}

// VersionSpec declares one version of a model and where its weights are.
type VersionSpec struct {
	Model   string `json:"model"`
	Weights string `json:"weights"` // the weight store's name of the object
}

// PrioritySpec declares a priority; higher values go first.
type PrioritySpec struct {
	Value int `json:"value"`
}
