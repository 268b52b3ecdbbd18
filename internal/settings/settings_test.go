package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// validSettings sets all that is required.
const validSettings = `box = "a-1"
hall = "a"
box_address = "127.0.0.1:1"
client_address = "127.0.0.1:2"
operator_address = "127.0.0.1:3"
platform = "http://127.0.0.1:4"
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings + "log_level = \"debug\"\n[timeouts]\nreport = \"250ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Timeouts.Report.Duration, 250*time.Millisecond; got != want {
		t.Errorf("report: got %v, want %v", got, want)
	}
	if got, want := s.Limits.Streams, Default().Limits.Streams; got != want {
		t.Errorf("streams: got %d, want the default %d", got, want)
	}
}

// TestEveryFaultIsTold checks that all errors are reported at once, each with its line and key.
func TestEveryFaultIsTold(t *testing.T) {
	for _, x := range []struct{ name, text, want string }{
		{"unknown keys", validSettings + "colour = 1\n[limits]\nqueue = 2\n", "7 colour,9 limits.queue"},
		{"wrong type", validSettings + "log_level = 3\n", "7 log_level"},
		{"bad duration", validSettings + "[timeouts]\nreport = \"soon\"\n", "8 timeouts.report"},
		{"several", strings.Replace(validSettings, `"127.0.0.1:1"`, `"here"`, 1) + "log_level = \"loud\"\npolicy = \"best\"\n[limits]\nstreams = 0\n", "3 box_address,7 log_level,8 policy,10 streams"},
		{"missing", "hall = \"a\"\n", "0 box,0 box_address,0 client_address,0 operator_address,0 platform"},
		{"half of tls", validSettings + "[tls]\nkey = \"k\"\n", "7 tls"},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := Parse([]byte(x.text))
			var f FieldErrors
			if !errors.As(err, &f) {
				t.Fatalf("got %v, want FieldErrors", err)
			}
			var got []string
			for _, v := range f {
				got = append(got, fmt.Sprintf("%d %s", v.Line, v.Key))
			}
			if strings.Join(got, ",") != x.want {
				t.Errorf("got %s, want %s", strings.Join(got, ","), x.want)
			}
		})
	}
}

// TestExampleIsSoundAndWhole checks that the annotated example in the documentation is valid, and
// that it names the settings with their defaults.
func TestExampleIsSoundAndWhole(t *testing.T) {
	b, err := os.ReadFile("../../docs/settings.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	d := Default()
	if s.Limits != d.Limits || s.Timeouts != d.Timeouts || s.Policy != d.Policy || s.LogLevel != d.LogLevel {
		t.Errorf("got %+v, want the defaults %+v", s, d)
	}
	for _, k := range []string{
		"peers", "operator_key_hash", "authority", "certificate", "key", "clients", "body_bytes", "header_bytes", "queued", "streams",
		"weight_loads", "drain", "heartbeat", "leave", "platform", "report", "request", "silence", "policy", "log_level",
	} {
		if !strings.Contains(string(b), k+" = ") {
			t.Errorf("the example does not name %s", k)
		}
	}
}

// FuzzParse checks that arbitrary settings cause no panic, and give either settings or an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[timeouts]\nreport = \"-1s\"\n"))
	f.Add([]byte("a = [1, {b = 2}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if (s == nil) == (err == nil) {
			t.Errorf("got %v and %v", s, err)
		}
	})
}
