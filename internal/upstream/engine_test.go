package upstream_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/link"
	"github.com/linetiller/linetiller/internal/upstream"
)

// TestCacheEventsTellGaps checks that CacheEvents reports a gap if the first event or one in between
// is missing, and none otherwise.
func TestCacheEventsTellGaps(t *testing.T) {
	l := link.New()
	l.Handle("u", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]upstream.CacheEvent{{Number: 3, Stored: true}, {Number: 4}, {Number: 6}})
	}))
	c := upstream.NewClient(time.Second, upstream.WithTransport(l))
	for _, x := range []struct {
		after int64
		want  bool
	}{{2, true}, {1, true}} {
		events, gap, err := c.CacheEvents(t.Context(), "http://u", x.after)
		if err != nil || len(events) != 3 || gap != x.want {
			t.Errorf("after %d: got %v, gap %v, %v; want 3 events, gap %v", x.after, events, gap, err, x.want)
		}
	}
	l.Handle("u", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]upstream.CacheEvent{{Number: 3}, {Number: 4}})
	}))
	if _, gap, err := c.CacheEvents(t.Context(), "http://u", 2); gap || err != nil {
		t.Errorf("without a gap: got gap %v, %v", gap, err)
	}
}
