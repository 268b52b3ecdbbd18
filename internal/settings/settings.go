// Package settings reads the TOML settings file of a box.
//
// Unknown keys are errors. All unknown keys are reported at once; if there are none, so are all invalid
// values. Each error names its line.
package settings

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Policy names the policy by which upstreams are chosen for requests.
type Policy string

// Policies.
const (
	PolicyNaive    Policy = "naive"
	PolicyReserved Policy = "reserved"
)

// Links names the transport of the connections between boxes.
type Links string

// Transports of the connections between boxes.
const (
	LinksPlain Links = "plain" // HTTP over TCP without encryption, for networks that only boxes can reach
	LinksQUIC  Links = "quic"  // QUIC, encrypted and with both ends authenticated
)

// RetryBudget limits the retries for each service or model, across all boxes.
type RetryBudget struct {
	Extra  float64  `toml:"extra"`  // retries per window that are allowed in addition to the ratio; divided among the boxes, so it may be a fraction
	Ratio  float64  `toml:"ratio"`  // of retries to requests
	Window Duration `toml:"window"` // over which retries and requests are counted
}

// ColdStart limits the requests sent to upstreams that have just started and can serve only few
// requests per second at first.
type ColdStart struct {
	Overage float64 `toml:"overage"` // factor on the rate that the service declares for cold upstreams
	Slack   float64 `toml:"slack"`   // requests per second in addition
}

// Entry is where a box accepts requests to declared routes from the platform's load balancer. A box
// without it accepts none.
type Entry struct {
	Address   string `toml:"address"`   // IP:port for the load balancer's connections
	Metrics   string `toml:"metrics"`   // IP:port for metrics
	Readiness string `toml:"readiness"` // IP:port for the load balancer's readiness checks
}

// Limits bounds the resources that callers and peers can use on the box.
type Limits struct {
	BodyBytes int64 `toml:"body_bytes"` // of one request
	// Descriptors is the number of descriptors that the process may have open, a part of which is for connections that it
	// accepts. 0 stands for the limit of the process.
	Descriptors float64 `toml:"descriptors"`
	HeaderBytes int     `toml:"header_bytes"` // of one request
	// MemoryMB is the memory of the process, in MiB: requests for which there is no room in it are refused, and the
	// garbage collector runs more often as usage approaches it. 0 means no limit.
	MemoryMB    float64 `toml:"memory_mb"`
	Queued      int     `toml:"queued"`       // waiting requests of all workspaces
	Relayed     int     `toml:"relayed"`      // connections to upstreams that are open for other boxes at once
	Streams     int     `toml:"streams"`      // concurrent requests
	WeightLoads int     `toml:"weight_loads"` // concurrent loads from the weight store, by all boxes together
}

// Timeouts bounds how long the box waits. Each is turned into a deadline when the wait begins.
type Timeouts struct {
	Drain     Duration `toml:"drain"`     // from reporting not ready to refusing new requests
	Grace     Duration `toml:"grace"`     // from a stop request until the process is killed; 0 if nothing kills it
	Heartbeat Duration `toml:"heartbeat"` // between heartbeats to another box
	Leave     Duration `toml:"leave"`     // for streams to finish after a stop request
	Platform  Duration `toml:"platform"`  // for one call to the platform
	Report    Duration `toml:"report"`    // between reads of an upstream's load report
	Request   Duration `toml:"request"`   // for a request without a deadline of its own
	Silence   Duration `toml:"silence"`   // without a token until a stream is resumed
}

// TLS names the files by which boxes authenticate to each other and to callers.
type TLS struct {
	Authority   string `toml:"authority"`   // PEM: certificate of the authority that signs the boxes' certificates
	Certificate string `toml:"certificate"` // PEM: this box's certificate
	Clients     bool   `toml:"clients"`     // whether clients and operators are served over TLS, too
	Key         string `toml:"key"`         // PEM: this box's private key
}

// Settings is the content of a settings file.
type Settings struct {
	Box             string            `toml:"box"`               // this box's name
	BoxAddress      string            `toml:"box_address"`       // IP:port for other boxes, UDP or, with plain links, TCP
	Budget          RetryBudget       `toml:"budget"`            // of retries
	ClientAddress   string            `toml:"client_address"`    // IP:port for clients
	Cold            ColdStart         `toml:"cold"`              // limits for cold upstreams
	Entry           Entry             `toml:"entry"`             // for requests to declared routes
	FirstStart      bool              `toml:"first_start"`       // whether the whole system starts for the first time
	Hall            string            `toml:"hall"`              // this box's data hall
	Limits          Limits            `toml:"limits"`            // on what callers and peers can use
	Links           Links             `toml:"links"`             // quic or plain
	LogLevel        string            `toml:"log_level"`         // debug, info, warn or error
	OperatorAddress string            `toml:"operator_address"`  // IP:port for operators
	OperatorKeyHash string            `toml:"operator_key_hash"` // SHA-256 in hex
	Peers           []string          `toml:"peers"`             // IP:port of boxes to join through while the platform is unreachable
	Platform        string            `toml:"platform"`          // http://IP:port
	PlatformRegion  string            `toml:"platform_region"`   // region in which the platform's store keeps what is written to it; "" if it is not known
	Policy          Policy            `toml:"policy"`            // naive or reserved
	Regions         map[string]string `toml:"regions"`           // region of each data hall, for routes and workspaces that are restricted to regions
	Timeouts        Timeouts          `toml:"timeouts"`
	TLS             TLS               `toml:"tls"`
	UpstreamSource  string            `toml:"upstream_source"` // IP from which the box connects to the upstreams of routes; "" for any
}

// Default returns the defaults, which apply to settings that a file does not set.
func Default() Settings {
	return Settings{
		Budget:   RetryBudget{Extra: 50, Ratio: 0.2, Window: Duration{10 * time.Second}},
		Cold:     ColdStart{Overage: 1},
		Links:    LinksQUIC,
		Limits:   Limits{BodyBytes: 4 << 20, HeaderBytes: 64 << 10, Queued: 20_000, Relayed: 512, Streams: 10_000, WeightLoads: 2},
		LogLevel: "info",
		Policy:   PolicyReserved,
		Timeouts: Timeouts{
			Drain:     Duration{5 * time.Second},
			Heartbeat: Duration{time.Second},
			Leave:     Duration{10 * time.Minute},
			Platform:  Duration{2 * time.Second},
			Report:    Duration{time.Second},
			Request:   Duration{5 * time.Minute},
			Silence:   Duration{10 * time.Second},
		},
	}
}

// Load reads the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads settings from TOML. Its error is of type FieldErrors.
func Parse(b []byte) (*Settings, error) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	f := decodeErrors(d.Decode(&s))
	if len(f) == 0 {
		f = s.check(b)
	}
	if len(f) > 0 {
		f.setComments(b)
		return nil, f
	}
	return &s, nil
}

// Level returns LogLevel as a slog.Level. Parse has checked that it is valid.
func (s *Settings) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return l
}
