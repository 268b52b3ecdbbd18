package linetiller_test

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/linetiller/linetiller"
	"github.com/linetiller/linetiller/internal/settings"
)

// placeholder matches a placeholder of the template, which the platform replaces.
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// optionalPart matches a part of the template that is kept only where the platform has a value for
// it.
var optionalPart = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// platformValues returns the platform's values for the template, on loopback.
func platformValues() map[string]string {
	return map[string]string{
		"bootstrap": "true", "bounds.budget_extra": "630", "bounds.budget_window_s": "10", "bounds.grace_s": "8.0", "bounds.retry_budget_ratio": "0.2",
		"bounds.cold_overage": "1.5", "bounds.cold_slack": "5",
		"internal_ports.0": "0", "ip": "127.0.0.1", "limits.max_fds": "4100", "limits.memory_mb": "112", "listen.front": "127.0.0.1:0", "listen.readiness": "127.0.0.1:0",
		"node": "front-a-1", "platform.address": "127.0.0.1:1", "zone": "a", "zones": "nairobi",
	}
}

// fillTemplate returns the template of the platform's settings, filled with values.
func fillTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	b, err := os.ReadFile("deploy/box.toml")
	if err != nil {
		t.Fatal(err)
	}
	b = optionalPart.ReplaceAllFunc(b, func(g []byte) []byte {
		m := optionalPart.FindSubmatch(g)
		v, ok := values[string(m[1])]
		if !ok {
			return nil
		}
		return []byte(strings.NewReplacer("{{.}}", v, "{{@}}", values["zone"]).Replace(string(m[2])))
	})
	return placeholder.ReplaceAllFunc(b, func(g []byte) []byte {
		n := strings.Trim(string(g), "{}")
		v, ok := values[n]
		if !ok {
			t.Errorf("the template has the placeholder %s, for which the test has no value", n)
		}
		return []byte(v)
	})
}

// TestTemplateTakesAnyNumber fills the template with fractions, zeros, one, huge and negative values
// for every number that the platform provides: a box starts with each, or the error names the
// platform's field.
func TestTemplateTakesAnyNumber(t *testing.T) {
	refusedValues := map[string][]string{
		"bounds.budget_window_s": {"0", "0.0", "-1"},
		"bounds.cold_overage":    {"-1"}, "bounds.cold_slack": {"-1"},
		"bounds.budget_extra": {"-1"}, "bounds.grace_s": {"-1"}, "bounds.retry_budget_ratio": {"-1"}, "limits.max_fds": {"-1"}, "limits.memory_mb": {"-1"},
	}
	for _, n := range slices.Sorted(maps.Keys(refusedValues)) {
		for _, v := range []string{"33.2", "0.4", "0", "0.0", "1", "1e3", "1e+300", "9007199254740993", "-1"} {
			t.Run(n+"="+v, func(t *testing.T) {
				values := platformValues()
				values[n] = v
				b := fillTemplate(t, values)
				want := slices.Contains(refusedValues[n], v)
				err := startOnce(b)
				if got := err != nil; got != want {
					t.Fatalf("got error %v, want refused %v", err, want)
				}
				if want && !strings.Contains(err.Error(), n) {
					t.Errorf("got %q, want the platform's field named", err)
				}
			})
		}
	}
}

// TestTemplateWithoutColdUpstreams fills the template where the platform provides no limits for
// upstreams that have just started: the defaults apply.
func TestTemplateWithoutColdUpstreams(t *testing.T) {
	values := platformValues()
	delete(values, "bounds.cold_overage")
	delete(values, "bounds.cold_slack")
	s, err := settings.Parse(fillTemplate(t, values))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Cold, settings.Default().Cold; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestTemplateHasTheRegions guards against boxes that do not know the region of their data halls, and
// refuse every request that is restricted to regions.
func TestTemplateHasTheRegions(t *testing.T) {
	s, err := settings.Parse(fillTemplate(t, platformValues()))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Regions, map[string]string{"a": "nairobi"}; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// startOnce creates a box with settings, and closes it again.
func startOnce(b []byte) error {
	s, err := settings.Parse(b)
	if err != nil {
		return err
	}
	s.ClientAddress, s.OperatorAddress, s.Entry.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	x, err := linetiller.New(s)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return errors.Join(x.Close())
}
