package relay

import (
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestNoMoveStartsOnceAStreamIsClosed guards against a move that starts just as its stream is
// closed: nothing would ever release its copy.
func TestNoMoveStartsOnceAStreamIsClosed(t *testing.T) {
	x := New(resource.NewView(), nil, policy.NewLengths(), "a", metric.NewSet(), slog.New(slog.DiscardHandler))
	e := &exchange{callerCtx: t.Context(), relay: x, request: new(Request), route: new(resource.Route), writer: httptest.NewRecorder()}
	s := newStream(e, &assignment{upstream: &resource.Upstream{Name: "u1"}})
	s.close()
	s.startMove(false)
	if s.move != nil {
		t.Error("a move of a closed stream: got one, want none")
	}
	_ = x.Abort()
}
