// Package resource defines the resources that operators declare, such as models, versions,
// workspaces, priorities, services, routes and upstreams, together with their validation and
// status. Boxes describe themselves in the same form.
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

// Kinds lists the kinds that operators declare, in the order in which they are applied.
var Kinds = []Kind{KindModel, KindVersion, KindPriority, KindWorkspace, KindService, KindUpstream, KindRoute, KindLimits, KindEvacuation}

// Metadata identifies a resource and its version.
type Metadata struct {
	// Generation counts the changes of Spec, starting at 1.
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

// HallStatus describes in how many boxes of a data hall a resource is in effect.
type HallStatus struct {
	Boxes   int    `json:"boxes"` // boxes that are believed to be serving
	Hall    string `json:"hall"`
	InForce int    `json:"inForce"` // boxes in which this generation is in effect
	Unknown int    `json:"unknown"` // boxes that did not answer
}

// Status is the observed state of a resource.
type Status struct {
	Conditions         []Condition  `json:"conditions,omitempty"`
	Halls              []HallStatus `json:"halls,omitempty"`
	ObservedGeneration int64        `json:"observedGeneration,omitempty"`
}

// Resource is a declared object. Spec holds the kind's spec as JSON.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Revision returns the revision of the resource's last write, or 0 if unknown.
func (r *Resource) Revision() int64 {
	v, _ := strconv.ParseInt(r.Metadata.ResourceVersion, 10, 64)
	return v
}

// ModelSpec declares a model that clients may request.
type ModelSpec struct {
	// Default is the version used for requests that name none.
	Default string `json:"default,omitempty"`
	// MaxTokens is the maximum output of one generation, in tokens.
	MaxTokens int `json:"maxTokens"`
}

// VersionSpec declares a version of a model and the location of its weights.
type VersionSpec struct {
	Model   string `json:"model"`
	Weights string `json:"weights"` // object name in the weight store
}

// PrioritySpec declares a priority; higher values go first.
type PrioritySpec struct {
	Value int `json:"value"`
}
