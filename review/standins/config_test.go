package review

// route returns a public route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 300,
		"priority": 2, "service": service, "max_attempts": 1, "public": true, "sticky": false, "resumable": false,
	}
}

// configuration returns an operator's configuration with one plain service.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

const (
	host         = "ficu95.example"
	maxBodyBytes = 4194304
	service      = "quote-desk"
)
