package resource

// Workspace is a workspace with its decoded spec.
type Workspace struct {
	Name        string
	Priority    int  // value of its Priority
	HasPriority bool // its Priority is declared
	Spec        WorkspaceSpec
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	// KeyHashes are the hex SHA-256 hashes of the bearer keys that grant access.
	KeyHashes []string `json:"keyHashes"`
	// MaxQueued limits how many of its requests wait at one box.
	MaxQueued int `json:"maxQueued,omitempty"`
	// Priority names the Priority of requests that name none.
	Priority string `json:"priority,omitempty"`
	// Regions are the only regions in which its requests may be processed and their content stored;
	// all if it is absent.
	Regions Regions `json:"regions,omitempty"`
	// Weight is its share of an overloaded upstream relative to other workspaces.
	Weight float64 `json:"weight,omitempty"`
}
