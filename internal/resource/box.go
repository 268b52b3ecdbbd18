package resource

// Box is a box with its decoded spec.
type Box struct {
	Name string
	Spec BoxSpec
}

// BoxSpec describes the location of a box. Each box writes its own.
type BoxSpec struct {
	Address string `json:"address"` // IP:port for calls from other boxes
	Hall    string `json:"hall"`
}
