package client

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestKeyOutsideTheRegions guards against an answer that is kept outside the regions to which its
// workspace is restricted.
func TestKeyOutsideTheRegions(t *testing.T) {
	v := resource.NewView()
	spec := `{"keyHashes":["` + resource.HashKey("k") + `"],"regions":["north"]}`
	v.Apply([]resource.Change{
		{Revision: 1, Resource: &resource.Resource{Kind: resource.KindWorkspace, Metadata: resource.Metadata{Name: "w"}, Spec: []byte(spec)}},
		{Revision: 2, Resource: &resource.Resource{Kind: resource.KindModel, Metadata: resource.Metadata{Name: "m"}, Spec: []byte(`{"maxTokens":40}`)}},
	}, 2)
	for _, x := range []struct {
		platform, key string
		refused       bool
	}{{"", "", false}, {"", "key-1", true}, {"south", "key-1", true}, {"north", "key-1", false}} {
		s := New(v, metric.NewSet(), WithRegions(resource.HallRegions{"a": "north", "b": "south"}, x.platform))
		q := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
		q.Header.Set("Authorization", "Bearer k")
		q.Header.Set(HeaderIdempotencyKey, x.key)
		r, _, err := s.readCompletion(httptest.NewRecorder(), q, objectText, nil, time.Now())
		if err == nil && !slices.Equal(r.Work.Halls, []string{"a"}) {
			t.Errorf("halls: got %q, want only a", r.Work.Halls)
		}
		if got := err != nil && strings.Contains(err.Error(), "outside its regions"); got != x.refused {
			t.Errorf("store in %q, key %q: got %v, want refused %v", x.platform, x.key, err, x.refused)
		}
	}
}
