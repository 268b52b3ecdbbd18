package resource

// Service is a service with its decoded spec.
type Service struct {
	Name string
	Spec ServiceSpec
}

// ServiceSpec declares a service: a group of equivalent upstreams.
type ServiceSpec struct {
	// ColdPerSecond is how many requests per second, from all boxes together, an upstream can
	// handle during its cold-start period; 0 means no limit.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// Engine describes the upstreams if they are model engines.
	Engine *EngineSpec `json:"engine,omitempty"`
	// HealthPath is the path of the health check of an upstream.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is how many connections an upstream accepts from all boxes together.
	MaxConnections int `json:"maxConnections,omitempty"`
}
