// Package settings reads the TOML settings of one box.
//
// Unknown keys are refused, and every fault is told at once with its line.
package settings

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Policy names the policy by which upstreams are chosen and filled.
type Policy string

// The policies.
const (
	PolicyNaive    Policy = "naive"
	PolicyReserved Policy = "reserved"
)

// Links names how boxes speak to each other.
type Links string

// The ways in which boxes speak to each other.
const (
	LinksPlain Links = "plain" // HTTP over TCP, for networks that only boxes can reach
	LinksQUIC  Links = "quic"  // encrypted, and both ends known
)

// RetryBudget bounds the tries beyond the first of each request of a route, over all
// boxes.
type RetryBudget struct {
	Extra  float64  `toml:"extra"`  // tries in any window, beside the ratio; boxes share them, so that it may be a fraction
	Ratio  float64  `toml:"ratio"`  // of tries to requests
	Window Duration `toml:"window"` // that the bound holds for
}

// ColdStart bounds what upstreams get that have just started, and bear few requests a second.
type ColdStart struct {
	Overage float64 `toml:"overage"` // times what a cold upstream's service says that it bears, and
	Slack   float64 `toml:"slack"`   // requests beside, in any second
}

// Entry is where requests of declared routes come in, from the platform's
// balancer. Without it a box takes none.
type Entry struct {
	Address   string `toml:"address"`   // IP:port for the balancer's connections
	Metrics   string `toml:"metrics"`   // IP:port for metrics
	Readiness string `toml:"readiness"` // IP:port for the balancer's questions
}

// Limits bounds what one caller or peer can make the box hold.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes"`   // of one request
	HeaderBytes int   `toml:"header_bytes"` // of one request
	// MemoryMB is what the process may use, in MiB: the collector runs more often as it
	// comes near it. 0 sets no limit.
	MemoryMB    float64 `toml:"memory_mb"`
	Queued      int     `toml:"queued"`       // requests waiting, all workspaces
	Streams     int     `toml:"streams"`      // requests held at once
	WeightLoads int     `toml:"weight_loads"` // loads from the weight store at once, of all boxes together
}

// Timeouts bounds how long the box waits; each is made a deadline when a wait begins.
type Timeouts struct {
	Drain     Duration `toml:"drain"`     // from failing readiness to refusing new requests
	Grace     Duration `toml:"grace"`     // from a stop's being asked for until the box is killed; 0 where nobody does
	Heartbeat Duration `toml:"heartbeat"` // between heartbeats to another box
	Leave     Duration `toml:"leave"`     // for streams to finish after a stop was asked for
	Platform  Duration `toml:"platform"`  // for one call to the platform
	Report    Duration `toml:"report"`    // between reads of an upstream's load report
	Request   Duration `toml:"request"`   // for a request that names no deadline
	Silence   Duration `toml:"silence"`   // from a stream without a token to its resumption
}

// TLS names the files that authenticate boxes to each other and to callers.
type TLS struct {
	Authority   string `toml:"authority"`   // PEM: who signs the boxes' certificates
	Certificate string `toml:"certificate"` // PEM: this box's certificate
	Clients     bool   `toml:"clients"`     // serve clients and operators over TLS, too
	Key         string `toml:"key"`         // PEM: this box's key
}

// Settings is what one process is told at its start.
type Settings struct {
	Box             string      `toml:"box"`              // this box's name
	BoxAddress      string      `toml:"box_address"`      // IP:port for other boxes, UDP or, with plain links, TCP
	Budget          RetryBudget `toml:"budget"`           // of tries
	ClientAddress   string      `toml:"client_address"`   // IP:port for clients
	Cold            ColdStart   `toml:"cold"`             // what cold upstreams get
	Entry           Entry       `toml:"entry"`            // of requests of declared routes
	FirstStart      bool        `toml:"first_start"`      // the whole system starts for the first time
	Hall            string      `toml:"hall"`             // the data hall this box stands in
	Limits          Limits      `toml:"limits"`           // bounds
	Links           Links       `toml:"links"`            // quic or plain
	LogLevel        string      `toml:"log_level"`        // debug, info, warn or error
	OperatorAddress string      `toml:"operator_address"` // IP:port for operators
	OperatorKeyHash string      `toml:"operator_key_hash"`
	Peers           []string    `toml:"peers"`    // IP:port of boxes to join by where the platform is down
	Platform        string      `toml:"platform"` // http://IP:port
	Policy          Policy      `toml:"policy"`   // naive or reserved
	Timeouts        Timeouts    `toml:"timeouts"`
	TLS             TLS         `toml:"tls"`
}

// Default returns the settings that hold where a file names nothing else.
func Default() Settings {
	return Settings{
		Budget:   RetryBudget{Extra: 50, Ratio: 0.2, Window: Duration{10 * time.Second}},
		Cold:     ColdStart{Overage: 1},
		Links:    LinksQUIC,
		Limits:   Limits{BodyBytes: 4 << 20, HeaderBytes: 64 << 10, Queued: 20_000, Streams: 10_000, WeightLoads: 2},
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

// Load reads the settings in the file at path.
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

// Parse reads settings from TOML.
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

// Level returns the log level; it is checked when the settings are read.
func (s *Settings) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return l
}
