package resource

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

const (
	keyHashBytes      = 32
	maxAttempts       = 16
	maxLimitBytes     = 1 << 30
	maxNameBytes      = 63
	maxSpecBytes      = 64 << 10
	maxTimeoutMS      = 24 * 60 * 60 * 1000 // milliseconds
	maxOutputTokens   = 1 << 20
	maxWeight         = 1000
	maxQueuedRequests = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Fault is a validation error of a resource.
type Fault struct {
	Field   string `json:"field"` // the path of the field, such as "spec.kvTokens"
	Message string `json:"message"`
}

// Faults holds all validation errors of a resource. Use it as an error only if it is not empty.
type Faults []Fault

// Check validates r and returns all faults, or nil if it is valid.
func Check(r *Resource) Faults {
	var f Faults
	if !slices.Contains(Kinds, r.Kind) {
		f.add("kind", "must be one of %v, not %q", Kinds, r.Kind)
	}
	if !namePattern.MatchString(r.Metadata.Name) || len(r.Metadata.Name) > maxNameBytes {
		f.add("metadata.name", "must be 1 to %d of a-z, 0-9, '-' and '.', with a letter or digit at both ends", maxNameBytes)
	}
	if len(r.Spec) > maxSpecBytes {
		f.add("spec", "must be at most %d bytes", maxSpecBytes)
		return f
	}
	f = append(f, checkSpec(r)...)
	return f
}

// Decode decodes r's spec as a T, which must be the spec type of its kind. Unknown fields and
// trailing data are errors.
func Decode[T any](r *Resource) (*T, error) {
	v := new(T)
	d := json.NewDecoder(bytes.NewReader(r.Spec))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the spec")
	}
	return v, nil
}

// Error returns the faults, separated by semicolons.
func (f Faults) Error() string {
	var s []string
	for _, x := range f {
		s = append(s, x.Field+": "+x.Message)
	}
	return strings.Join(s, "; ")
}

func (f *Faults) add(field, format string, arguments ...any) {
	*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (f *Faults) checkRange(field string, v, low, high int) {
	if v < low || v > high {
		f.add(field, "must be between %d and %d, not %d", low, high, v)
	}
}

func checkEvacuation(s *EvacuationSpec) Faults {
	var f Faults
	if s.Hall == "" {
		f.add("spec.hall", "must be set")
	}
	return f
}

func checkLimits(s *LimitsSpec) Faults {
	var f Faults
	f.checkRange("spec.bodyBytes", int(s.BodyBytes), 0, maxLimitBytes)
	f.checkRange("spec.headerBytes", s.HeaderBytes, 0, maxLimitBytes)
	f.checkRange("spec.idleTimeoutMilliseconds", int(s.IdleTimeout), 0, maxTimeoutMS)
	return f
}

func checkModel(s *ModelSpec) Faults {
	var f Faults
	f.checkRange("spec.maxTokens", s.MaxTokens, 1, maxOutputTokens)
	return f
}

func checkSpec(r *Resource) Faults {
	switch r.Kind {
	case KindBox:
		return checkWith(r, func(*BoxSpec) Faults { return nil }) // written by boxes
	case KindEvacuation:
		return checkWith(r, checkEvacuation)
	case KindLimits:
		return checkWith(r, checkLimits)
	case KindModel:
		return checkWith(r, checkModel)
	case KindPriority:
		return checkWith(r, func(s *PrioritySpec) (f Faults) {
			f.checkRange("spec.value", s.Value, -100, 100)
			return f
		})
	case KindRoute:
		return checkWith(r, checkRoute)
	case KindService:
		return checkWith(r, checkService)
	case KindUpstream:
		return checkWith(r, checkUpstream)
	case KindVersion:
		return checkWith(r, checkVersion)
	case KindWorkspace:
		return checkWith(r, checkWorkspace)
	}
	return nil
}

func checkRoute(s *RouteSpec) Faults {
	var f Faults
	f.checkRange("spec.attempts", s.Attempts, 1, maxAttempts)
	if s.Host == "" {
		f.add("spec.host", "must be set")
	}
	if !strings.HasPrefix(s.PathPrefix, "/") || !strings.HasSuffix(s.PathPrefix, "/") {
		f.add("spec.pathPrefix", "must begin and end with a slash")
	}
	switch s.RetryPolicy {
	case RetryNever, RetryFromStart:
	case RetryResume:
		if !s.Stream {
			f.add("spec.repeat", "may be %q only if the response is a stream", RetryResume)
		}
	default:
		f.add("spec.repeat", "must be %q, %q or %q, not %q", RetryNever, RetryResume, RetryFromStart, s.RetryPolicy)
	}
	if len(s.Services) == 0 {
		f.add("spec.services", "must name at least one service")
	}
	for i, x := range s.Services {
		f.checkRange(fmt.Sprintf("spec.services[%d].weight", i), x.Weight, 0, maxWeight)
	}
	checkRegions(&f, s.Regions)
	f.checkRange("spec.patienceMilliseconds", int(s.FirstEventTimeout), 0, maxTimeoutMS)
	f.checkRange("spec.timeoutMilliseconds", int(s.Timeout), 1, maxTimeoutMS)
	return f
}

func checkRegions(f *Faults, r Regions) {
	for i, x := range r {
		if x == "" {
			f.add(fmt.Sprintf("spec.regions[%d]", i), "must be set")
		}
	}
}

func checkService(s *ServiceSpec) Faults {
	var f Faults
	if s.Engine != nil {
		f.checkRange("spec.engine.kvTokens", s.Engine.KVTokens, 1, 1<<30)
		f.checkRange("spec.engine.maxBatch", s.Engine.MaxBatch, 1, 1<<14)
	}
	return f
}

func checkUpstream(s *UpstreamSpec) Faults {
	var f Faults
	checkAddress(&f, s.Address)
	if s.Hall == "" {
		f.add("spec.hall", "must be set")
	}
	switch s.Type {
	case UpstreamEngine:
		f.checkRange("spec.kvTokens", s.KVTokens, 1, 1<<30)
		f.checkRange("spec.maxBatch", s.MaxBatch, 1, 1<<14)
		if len(s.Models) == 0 {
			f.add("spec.models", "must name at least one model")
		}
	case UpstreamService:
		if !namePattern.MatchString(s.Service) {
			f.add("spec.service", "must be a name")
		}
	default:
		f.add("spec.type", "must be %q or %q, not %q", UpstreamEngine, UpstreamService, s.Type)
	}
	return f
}

func checkAddress(f *Faults, address string) {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		f.add("spec.address", "must be http://IP:port or https://IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.add("spec.address", "must name an IP address and a port, not %q", u.Host)
	}
}

func checkVersion(s *VersionSpec) Faults {
	var f Faults
	if s.Model == "" {
		f.add("spec.model", "must be set")
	}
	if s.Weights == "" {
		f.add("spec.weights", "must be set")
	}
	return f
}

func checkWith[T any](r *Resource, check func(*T) Faults) Faults {
	s, err := Decode[T](r)
	if err != nil {
		return Faults{{Field: "spec", Message: strings.TrimPrefix(err.Error(), "json: ")}}
	}
	return check(s)
}

func checkWorkspace(s *WorkspaceSpec) Faults {
	var f Faults
	for i, h := range s.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes {
			f.add(fmt.Sprintf("spec.keyHashes[%d]", i), "must be a SHA-256 hash of %d hex digits", 2*keyHashBytes)
		}
	}
	if len(s.KeyHashes) == 0 {
		f.add("spec.keyHashes", "must hold at least one hash")
	}
	checkRegions(&f, s.Regions)
	f.checkRange("spec.maxQueued", s.MaxQueued, 0, maxQueuedRequests)
	if s.Weight < 0 || s.Weight > maxWeight {
		f.add("spec.weight", "must be between 0 and %d", maxWeight)
	}
	return f
}
