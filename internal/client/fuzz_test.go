package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
)

// FuzzCompletion checks that requests with arbitrary paths, bodies and headers cause no panic, and
// that errors are JSON with a code and a type.
func FuzzCompletion(f *testing.F) {
	f.Add("/v1/completions", `{"model":"m","prompt":"x"}`, "30s", "")
	f.Add("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`, "", "u/g/1")
	f.Add("/v1/completions", `{"prompt":["x"],"max_tokens":-5}`, "-1s", "///")
	v := resource.NewView()
	v.Apply([]resource.Change{
		{Revision: 1, Resource: &resource.Resource{Kind: resource.KindModel, Metadata: resource.Metadata{Name: "m"}, Spec: []byte(`{"maxTokens":10}`)}},
		{Revision: 2, Resource: &resource.Resource{Kind: resource.KindWorkspace, Metadata: resource.Metadata{Name: "w"}, Spec: []byte(`{"keyHashes":["` + resource.HashKey("k") + `"]}`)}},
	}, 2)
	s := New(v, metric.NewSet(), WithBodyBytes(1<<16))
	s.Generate = func(_ context.Context, q *delivery.Request, sink delivery.Sink) error {
		if err := sink(&delivery.Token{Generation: "g", Text: []byte(q.Prompt), Upstream: "u"}); err != nil {
			return err
		}
		return sink(&delivery.Token{Finish: "stop", Generation: "g", Index: 1, Upstream: "u"})
	}
	f.Fuzz(func(t *testing.T, path, body, deadline, last string) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " %?#\x00\r\n\t") {
			t.Skip("not a path")
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x"+path, strings.NewReader(body))
		if err != nil {
			t.Skip("not a request")
		}
		r.Header.Set("Authorization", "Bearer k")
		r.Header.Set(HeaderDeadline, deadline)
		r.Header.Set(HeaderLastEventID, last)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code == http.StatusOK || w.Code >= 300 && w.Code < 400 || w.Code == http.StatusMethodNotAllowed {
			return
		}
		var e errorBody
		if json.Unmarshal(w.Body.Bytes(), &e) != nil || e.Error.Code == "" || e.Error.Type == "" {
			t.Errorf("status %d: got %q, want an error with code and type", w.Code, w.Body)
		}
	})
}
