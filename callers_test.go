package linetiller_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/linetiller/linetiller/internal/client"
	fakeservice "github.com/linetiller/linetiller/internal/fake/service"
)

// TestServiceCallsRunOnce checks service calls that are not safe to repeat: without an idempotency
// key they are refused, and with one they run once, even if the client repeats the call at another
// box or the service's answer is lost.
func TestServiceCallsRunOnce(t *testing.T) {
	h := newHall(t, 2, 1)
	call := func(box int, method, key string) (int, fakeservice.Answer, string) {
		t.Helper()
		r, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.boxes[box].ClientAddress()+"/services/quote-desk/quotes?x=1", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		if key != "" {
			r.Header.Set(client.HeaderIdempotencyKey, key)
		}
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = w.Body.Close() }()
		b, _ := io.ReadAll(w.Body)
		var a fakeservice.Answer
		_ = json.Unmarshal(b, &a)
		return w.StatusCode, a, string(b)
	}
	if s, _, b := call(0, http.MethodPost, ""); s != http.StatusBadRequest || !strings.Contains(b, "key_missing") {
		t.Errorf("without a key: got %d %s, want 400 key_missing", s, b)
	}
	for box := range 2 {
		if s, a, b := call(box, http.MethodPost, "k1"); s != http.StatusOK || a.Run != 1 || a.Path != "/quotes?x=1" {
			t.Errorf("box %d: got %d %s, want the answer of run 1", box, s, b)
		}
	}
	h.service.LoseAnswers(1)
	for box := range 2 {
		if s, _, b := call(box, http.MethodPost, "k2"); s != http.StatusInternalServerError || !strings.Contains(b, `"type":"unknown"`) {
			t.Errorf("lost answer at box %d: got %d %s, want 500 unknown", box, s, b)
		}
	}
	if got, want := h.service.Runs(), 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	h.service.LoseAnswers(1)
	if s, a, b := call(0, http.MethodGet, ""); s != http.StatusInternalServerError && a.Method != http.MethodGet {
		t.Errorf("repeatable call: got %d %s", s, b)
	}
}

// TestBadInput checks invalid requests on every path that clients use: the status and the code of
// each refusal, and the counter of refusals.
func TestBadInput(t *testing.T) {
	h := newHall(t, 1, 1)
	for _, x := range []struct {
		name, path, body, header, value, want string
		status                                int
	}{
		{"no key", "/v1/completions", `{}`, "Authorization", "", "key_absent", 401},
		{"unknown key", "/v1/completions", `{}`, "Authorization", "Bearer no", "key_unknown", 401},
		{"not JSON", "/v1/completions", `{`, "", "", "bad_json", 400},
		{"no prompt", "/v1/completions", `{"model":"tiller-llm"}`, "", "", "bad_field", 400},
		{"no messages", "/v1/chat/completions", `{"model":"tiller-llm"}`, "", "", "bad_field", 400},
		{"picture", "/v1/chat/completions", `{"model":"tiller-llm","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", "", "bad_field", 400},
		{"negative bound", "/v1/completions", `{"model":"tiller-llm","prompt":"x","max_tokens":-1}`, "", "", "bad_field", 400},
		{"two answers", "/v1/completions", `{"model":"tiller-llm","prompt":"x","n":2}`, "", "", "bad_field", 400},
		{"unknown model", "/v1/completions", `{"model":"no","prompt":"x"}`, "", "", "model_unknown", 404},
		{"bad deadline", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderDeadline, "soon", "bad_deadline", 400},
		{"past deadline", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderDeadline, "2020-01-01T00:00:00Z", "deadline", 503},
		{"bad key", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderIdempotencyKey, "a b", "bad_key", 400},
		{"long key", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderIdempotencyKey, strings.Repeat("k", 300), "bad_key", 400},
		{"bad event id", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderLastEventID, "x", "bad_event_id", 400},
		{"event id of no upstream", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderLastEventID, "no/g/1", "generation_unknown", 404},
		{"bad priority", "/v1/completions", `{"model":"tiller-llm","prompt":"x"}`, client.HeaderPriority, "no", "bad_priority", 400},
		{"large body", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 5<<20) + `"}`, "", "", "body_too_large", 400},
		{"unknown path", "/v2", ``, "", "", "path_unknown", 404},
		{"unknown service", "/services/no/x", ``, "", "", "service_unknown", 404},
	} {
		t.Run(x.name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.boxes[0].ClientAddress()+x.path, strings.NewReader(x.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", "Bearer "+testKey)
			if x.header != "" {
				r.Header.Set(x.header, x.value)
			}
			w, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = w.Body.Close() }()
			var e struct {
				Error struct{ Code, Message, Type string }
			}
			if err := json.NewDecoder(w.Body).Decode(&e); err != nil {
				t.Fatal(err)
			}
			if w.StatusCode != x.status || e.Error.Code != x.want || e.Error.Message == "" || e.Error.Type == "" {
				t.Errorf("got %d %+v, want %d %s", w.StatusCode, e.Error, x.status, x.want)
			}
			m, err := http.Get("http://" + h.boxes[0].ClientAddress() + "/metrics")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = m.Body.Close() }()
			b, _ := io.ReadAll(m.Body)
			if want := fmt.Sprintf("linetiller_refusals_total{reason=%q}", x.want); !strings.Contains(string(b), want) {
				t.Errorf("metrics: got no %s", want)
			}
		})
	}
}
