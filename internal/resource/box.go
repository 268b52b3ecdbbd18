package resource

// Box is a box with its decoded spec.
type Box struct {
	Name string
	Spec BoxSpec
}

// BoxSpec tells where a box is. Each box writes its own.
type BoxSpec struct {
	Address string `json:"address"` // IP:port for other boxes
	Hall    string `json:"hall"`
}
