// Package settings reads the TOML settings of one box.
//
// Unknown keys are refused, and every fault is told at once with its line.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
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

// Budget bounds the tries beyond the first of each request of a route, over all
// boxes.
type Budget struct {
	Extra  float64 `toml:"extra"`  // tries in any window, beside the ratio; boxes share them, so that it may be a fraction
	Ratio  float64 `toml:"ratio"`  // of tries to requests
	Window Span    `toml:"window"` // that the bound holds for
}

// Cold bounds what upstreams get that have just started, and bear few requests a second.
type Cold struct {
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
	Drain     Span `toml:"drain"`     // from failing readiness to refusing new requests
	Grace     Span `toml:"grace"`     // from a stop's being asked for until the box is killed; 0 where nobody does
	Heartbeat Span `toml:"heartbeat"` // between heartbeats to another box
	Leave     Span `toml:"leave"`     // for streams to finish after a stop was asked for
	Platform  Span `toml:"platform"`  // for one call to the platform
	Report    Span `toml:"report"`    // between reads of an upstream's load report
	Request   Span `toml:"request"`   // for a request that names no deadline
	Silence   Span `toml:"silence"`   // from a stream without a token to its resumption
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
	Box             string   `toml:"box"`              // this box's name
	BoxAddress      string   `toml:"box_address"`      // IP:port for other boxes, UDP or, with plain links, TCP
	Budget          Budget   `toml:"budget"`           // of tries
	ClientAddress   string   `toml:"client_address"`   // IP:port for clients
	Cold            Cold     `toml:"cold"`             // what cold upstreams get
	Entry           Entry    `toml:"entry"`            // of requests of declared routes
	FirstStart      bool     `toml:"first_start"`      // the whole system starts for the first time
	Hall            string   `toml:"hall"`             // the data hall this box stands in
	Limits          Limits   `toml:"limits"`           // bounds
	Links           Links    `toml:"links"`            // quic or plain
	LogLevel        string   `toml:"log_level"`        // debug, info, warn or error
	OperatorAddress string   `toml:"operator_address"` // IP:port for operators
	OperatorKeyHash string   `toml:"operator_key_hash"`
	Peers           []string `toml:"peers"`    // IP:port of boxes to join by where the platform is down
	Platform        string   `toml:"platform"` // http://IP:port
	Policy          Policy   `toml:"policy"`   // naive or reserved
	Timeouts        Timeouts `toml:"timeouts"`
	TLS             TLS      `toml:"tls"`
}

// Fault is one thing wrong with the settings.
type Fault struct {
	Key     string
	Line    int // from 1; 0 where the key is missing
	Message string
	// Origin is the comment on the line, "" for none: a template names there the field
	// that it was filled from.
	Origin string
}

// Faults is every fault of a settings file.
type Faults []Fault

// Default returns the settings that hold where a file names nothing else.
func Default() Settings {
	return Settings{
		Budget:   Budget{Extra: 50, Ratio: 0.2, Window: Span{10 * time.Second}},
		Cold:     Cold{Overage: 1},
		Links:    LinksQUIC,
		Limits:   Limits{BodyBytes: 4 << 20, HeaderBytes: 64 << 10, Queued: 20_000, Streams: 10_000, WeightLoads: 2},
		LogLevel: "info",
		Policy:   PolicyReserved,
		Timeouts: Timeouts{
			Drain:     Span{5 * time.Second},
			Heartbeat: Span{time.Second},
			Leave:     Span{10 * time.Minute},
			Platform:  Span{2 * time.Second},
			Report:    Span{time.Second},
			Request:   Span{5 * time.Minute},
			Silence:   Span{10 * time.Second},
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
	f := decodeFaults(d.Decode(&s))
	if len(f) == 0 {
		f = s.check(b)
	}
	if len(f) > 0 {
		f.nameOrigins(b)
		return nil, f
	}
	return &s, nil
}

// Error lists the faults, one a line.
func (f Faults) Error() string {
	var l []string
	for _, x := range f {
		l = append(l, fmt.Sprintf("line %d: %s", x.Line, x))
	}
	return strings.Join(l, "\n")
}

// nameOrigins fills in where faulty lines were filled from.
func (f Faults) nameOrigins(source []byte) {
	lines := strings.Split(string(source), "\n")
	for i := range f {
		if n := f[i].Line; n > 0 && n <= len(lines) {
			_, c, _ := strings.Cut(lines[n-1], "#")
			f[i].Origin = strings.TrimSpace(c)
		}
	}
}

// String returns the fault without its line.
func (f Fault) String() string {
	if f.Origin == "" {
		return f.Key + ": " + f.Message
	}
	return f.Key + " (" + f.Origin + "): " + f.Message
}

// Level returns the log level; it is checked when the settings are read.
func (s *Settings) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return l
}

func (s *Settings) check(source []byte) Faults {
	var f Faults
	add := func(key, message string) {
		f = append(f, Fault{Key: key, Line: lineOf(source, key), Message: message})
	}
	checkNames(s, add)
	checkAddresses(s, add)
	checkChoices(s, add)
	checkNotNegative(s, add)
	checkPositive(s, add)
	slices.SortStableFunc(f, func(a, b Fault) int { return a.Line - b.Line })
	return f
}

func checkAddresses(s *Settings, add func(key, message string)) {
	for _, x := range []struct{ key, value string }{
		{"box_address", s.BoxAddress},
		{"client_address", s.ClientAddress},
		{"operator_address", s.OperatorAddress},
	} {
		if _, err := netip.ParseAddrPort(x.value); err != nil {
			add(x.key, "must be IP:port")
		}
	}
	if s.Entry != (Entry{}) {
		checkEntry(s, add)
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		add("platform", "must be http://IP:port or https://IP:port")
	}
}

func checkEntry(s *Settings, add func(key, message string)) {
	for _, x := range []struct{ key, value string }{
		{"address", s.Entry.Address}, {"metrics", s.Entry.Metrics}, {"readiness", s.Entry.Readiness},
	} {
		if _, err := netip.ParseAddrPort(x.value); err != nil {
			add("entry."+x.key, "must be IP:port")
		}
	}
}

func checkChoices(s *Settings, add func(key, message string)) {
	var l slog.Level
	if l.UnmarshalText([]byte(s.LogLevel)) != nil {
		add("log_level", "must be debug, info, warn or error")
	}
	if s.Policy != PolicyNaive && s.Policy != PolicyReserved {
		add("policy", "must be naive or reserved")
	}
	if s.Links != LinksPlain && s.Links != LinksQUIC {
		add("links", "must be quic or plain")
	}
	if s.OperatorKeyHash != "" && len(s.OperatorKeyHash) != 64 {
		add("operator_key_hash", "must be a SHA-256 hash of 64 hex digits")
	}
	checkTLS(s, add)
}

func checkTLS(s *Settings, add func(key, message string)) {
	if given := s.TLS.Authority != "" || s.TLS.Certificate != "" || s.TLS.Key != ""; given || s.TLS.Clients {
		if s.TLS.Authority == "" || s.TLS.Certificate == "" || s.TLS.Key == "" {
			add("tls", "authority, certificate and key must all be set")
		}
	}
}

func checkNames(s *Settings, add func(key, message string)) {
	if s.Box == "" {
		add("box", "must be set")
	}
	if s.Hall == "" {
		add("hall", "must be set")
	}
}

func checkPositive(s *Settings, add func(key, message string)) {
	for _, x := range []struct {
		key   string
		value int64
	}{
		{"body_bytes", s.Limits.BodyBytes},
		{"header_bytes", int64(s.Limits.HeaderBytes)},
		{"queued", int64(s.Limits.Queued)},
		{"streams", int64(s.Limits.Streams)},
		{"weight_loads", int64(s.Limits.WeightLoads)},
		{"drain", int64(s.Timeouts.Drain.Duration)},
		{"heartbeat", int64(s.Timeouts.Heartbeat.Duration)},
		{"leave", int64(s.Timeouts.Leave.Duration)},
		{"platform", int64(s.Timeouts.Platform.Duration)},
		{"report", int64(s.Timeouts.Report.Duration)},
		{"request", int64(s.Timeouts.Request.Duration)},
		{"silence", int64(s.Timeouts.Silence.Duration)},
		{"window", int64(s.Budget.Window.Duration)},
	} {
		if x.value <= 0 {
			add(x.key, "must be above 0")
		}
	}
}

// checkNotNegative checks what may be 0.
func checkNotNegative(s *Settings, add func(key, message string)) {
	for _, x := range []struct {
		key   string
		value float64
	}{
		{"extra", s.Budget.Extra},
		{"grace", s.Timeouts.Grace.Seconds()},
		{"memory_mb", s.Limits.MemoryMB},
		{"overage", s.Cold.Overage},
		{"ratio", s.Budget.Ratio},
		{"slack", s.Cold.Slack},
	} {
		if math.IsNaN(x.value) || math.IsInf(x.value, 0) || x.value < 0 {
			add(x.key, "must be 0 or above")
		}
	}
}

func decodeFaults(err error) Faults {
	var m *toml.StrictMissingError
	if errors.As(err, &m) {
		var f Faults
		for _, e := range m.Errors {
			l, _ := e.Position()
			f = append(f, Fault{Key: strings.Join(e.Key(), "."), Line: l, Message: "unknown key"})
		}
		return f
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		l, _ := d.Position()
		return Faults{{Key: strings.Join(d.Key(), "."), Line: l, Message: d.Error()}}
	}
	if err != nil {
		return Faults{{Message: err.Error()}}
	}
	return nil
}

// lineOf returns the line on which the last part of key is set, or 0.
func lineOf(source []byte, key string) int {
	for i, l := range strings.Split(string(source), "\n") {
		n, _, ok := strings.Cut(l, "=")
		if ok && strings.TrimSpace(n) == key {
			return i + 1
		}
		if strings.TrimSpace(l) == "["+key+"]" {
			return i + 1
		}
	}
	return 0
}
