package httpclient

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestTrackBodyOfRepeatedRequest guards against a request that counts as sent because an earlier attempt still reads its
// body while the last one has not.
func TestTrackBodyOfRepeatedRequest(t *testing.T) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	c, complete := trackBody(r)
	again, err := c.GetBody()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		body io.Reader
		want bool
	}{{c.Body, false}, {again, true}} {
		if _, err := io.ReadAll(x.body); err != nil {
			t.Fatal(err)
		}
		if got := complete(); got != x.want {
			t.Errorf("got complete %v, want %v", got, x.want)
		}
	}
}
