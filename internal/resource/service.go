package resource

// Service is a service with its decoded spec.
type Service struct {
	Name string
	Spec ServiceSpec
}

// ServiceSpec declares a service: upstreams that are alike.
type ServiceSpec struct {
	// ColdPerSecond is how many requests a second an upstream bears from all boxes while
	// it is cold; 0 is no bound.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// Engine describes its upstreams where they are model engines.
	Engine *EngineSpec `json:"engine,omitempty"`
	// HealthPath is where an upstream tells whether it is well.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is how many connections an upstream takes from all boxes.
	MaxConnections int `json:"maxConnections,omitempty"`
}
