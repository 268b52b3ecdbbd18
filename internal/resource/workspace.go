package resource

// Workspace is a workspace with its decoded spec.
type Workspace struct {
	Name        string
	Priority    int  // the value of its Priority
	HasPriority bool // it has a Priority
	Spec        WorkspaceSpec
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	// KeyHashes are hex SHA-256 hashes of the bearer keys that open it.
	KeyHashes []string `json:"keyHashes"`
	// MaxQueued bounds the requests of it that wait at one box.
	MaxQueued int `json:"maxQueued,omitempty"`
	// Priority names the Priority used where a request names none.
	Priority string `json:"priority,omitempty"`
	// Weight is its share of a crowded upstream relative to the others.
	Weight float64 `json:"weight,omitempty"`
}
