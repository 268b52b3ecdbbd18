package settings

import (
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// check returns the invalid values, in the order of their lines.
func (s *Settings) check(source []byte) FieldErrors {
	var f FieldErrors
	add := func(key, message string) {
		f = append(f, FieldError{Key: key, Line: lineOf(source, key), Message: message})
	}
	checkNames(s, add)
	checkAddresses(s, add)
	checkChoices(s, add)
	checkNotNegative(s, add)
	checkPositive(s, add)
	slices.SortStableFunc(f, func(a, b FieldError) int { return a.Line - b.Line })
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
	if _, err := netip.ParseAddr(s.UpstreamSource); err != nil && s.UpstreamSource != "" {
		add("upstream_source", "must be an IP")
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

// checkTLS checks that either all three files are given or none, and that TLS for clients is not
// enabled without them.
func checkTLS(s *Settings, add func(key, message string)) {
	if anySet := s.TLS.Authority != "" || s.TLS.Certificate != "" || s.TLS.Key != ""; anySet || s.TLS.Clients {
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
		{"relayed", int64(s.Limits.Relayed)},
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

// checkNotNegative checks the numbers that may be 0.
func checkNotNegative(s *Settings, add func(key, message string)) {
	for _, x := range []struct {
		key   string
		value float64
	}{
		{"extra", s.Budget.Extra},
		{"grace", s.Timeouts.Grace.Seconds()},
		{"descriptors", s.Limits.Descriptors},
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
