//go:build !race || whole

package linetiller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/table"
	"github.com/linetiller/linetiller/platform"
)

// foreignRows holds values of store rows that do not describe an upstream.
var foreignRows = map[string]string{
	"a list":               `[1,2]`,
	"a string":             `"ready"`,
	"a number":             `7`,
	"null":                 `null`,
	"an empty object":      `{}`,
	"a mistyped service":   `{"service":7,"address":"127.0.0.9:1","zone":"a","state":"ready"}`,
	"mistyped models":      `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","models":{"name":3}}`,
	"an unknown state":     `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"asleep"}`,
	"no state":             `{"service":"desk","address":"127.0.0.9:1","zone":"a"}`,
	"no service":           `{"address":"127.0.0.9:1","zone":"a","state":"ready"}`,
	"no zone":              `{"service":"desk","address":"127.0.0.9:1","state":"ready"}`,
	"no address":           `{"service":"desk","zone":"a","state":"ready"}`,
	"a host name":          `{"service":"desk","address":"host:1","zone":"a","state":"ready"}`,
	"no port":              `{"service":"desk","address":"127.0.0.9","zone":"a","state":"ready"}`,
	"a negative start":     `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","born":-1}`,
	"a negative cold time": `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","cold_left_ms":-5}`,
	"a start out of range": `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","born":1e300}`,
	"a number too large":   `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","born":1e400}`,
	"many digits":          `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","cold_left_ms":` + strings.Repeat("9", 40_000) + `}`,
	"port 0":               `{"service":"desk","address":"127.0.0.9:0","zone":"a","state":"ready"}`,
	"port 65536":           `{"service":"desk","address":"127.0.0.9:65536","zone":"a","state":"ready"}`,
	"a large port":         `{"service":"desk","address":"127.0.0.9:18446744073709551617","zone":"a","state":"ready"}`,
	"a negative port":      `{"service":"desk","address":"127.0.0.9:-1","zone":"a","state":"ready"}`,
	"a deep list":          strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"a deep list in a field": `{"service":"desk","address":"127.0.0.9:1","zone":"a","state":"ready","models":` + strings.Repeat("[", 20_000) +
		strings.Repeat("]", 20_000) + `}`,
}

// TestForeignRowBesideUpstreams guards against rows that do not describe an upstream, beside those
// that do: for as long as one stood, boxes learned neither of upstreams that started or ended nor
// of changes of the configuration.
func TestForeignRowBesideUpstreams(t *testing.T) {
	for kind, value := range foreignRows {
		for _, name := range []string{"servers", "box", "op", "kept"} {
			t.Run(kind+" in "+name, func(t *testing.T) {
				withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
					r.startUpstream("s-a1")
					time.Sleep(2 * time.Second)
					r.platform.Commit(&table.Transaction{Writes: []table.Write{{Key: name + "/foreign", Value: []byte(value)}}})
					time.Sleep(2 * time.Second)
					r.startUpstream("s-b1")
					r.killUpstream("s-a1")
					r.configure(2, "new-key")
					time.Sleep(3 * time.Second)
					if got := r.ignoredRows(); name == "servers" && (got == 0 || got > len(r.boxes)) {
						t.Errorf("rows counted as ignored: got %d, want one for each box that reads the list", got)
					}
					for n, b := range r.boxes {
						if b.view.Upstream("foreign") != nil {
							t.Errorf("%s: uses the row as an upstream", n)
						}
						if b.view.Upstream("s-b1") == nil || b.view.Upstream("s-a1") != nil {
							t.Errorf("%s: does not know that one upstream started and another one ended", n)
						}
						if _, complete, status := r.streamPlan(n, fmt.Sprint("id-", n), "new-key", 8); !complete || status != http.StatusOK {
							t.Errorf("%s: got status %d for a new key, want a complete stream", n, status)
						}
					}
				})
			})
		}
	}
}

// TestUpstreamIsOverwrittenByAForeignRow overwrites the row of an upstream with one that does not
// describe an upstream, and writes it again: the upstream gets no new requests in between.
func TestUpstreamIsOverwrittenByAForeignRow(t *testing.T) {
	withRoutedRegion(t, func(t *testing.T, r *routedRegion) {
		r.startUpstream("s-a1")
		time.Sleep(2 * time.Second)
		if got := r.post("box-a1", "before", "x"); got != http.StatusOK {
			t.Fatalf("before: got status %d, want 200", got)
		}
		r.platform.Put("servers/s-a1", json.RawMessage(`{"state":3}`))
		time.Sleep(3 * time.Second)
		for n := range r.boxes {
			if got := r.post(n, "between-"+n, "x"); got != http.StatusServiceUnavailable {
				t.Errorf("%s: between: got status %d, want 503", n, got)
			}
		}
		r.listUpstream("s-a1", "ready")
		time.Sleep(3 * time.Second)
		for n := range r.boxes {
			if got := r.post(n, "after-"+n, "x"); got != http.StatusOK {
				t.Errorf("%s: after: got status %d, want 200", n, got)
			}
		}
	})
}

// ignoredRows returns how many rows the boxes have counted as ignored, in total.
func (r *routedRegion) ignoredRows() int {
	n := 0
	for _, b := range r.boxes {
		for _, x := range []platform.RowReason{platform.RowAddress, platform.RowNumber, platform.RowService, platform.RowState, platform.RowType, platform.RowZone} {
			n += int(b.metrics.Value(metric.RowsIgnored, "reason", string(x)))
		}
	}
	return n
}
