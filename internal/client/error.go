package client

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
)

// apiError is an error in the form of the OpenAI interface. Type tells what the
// caller may conclude, Code is the reason that the refusal is counted under.
type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	Type    string `json:"type"`
}

type errorAnswer struct {
	Error apiError `json:"error"`
}

// mapping tells how a type of error is shown to callers.
type mapping struct {
	name   string
	status int
	retry  bool // a client library may ask again by itself
}

var (
	mappingUnknown = mapping{"unknown", http.StatusInternalServerError, false}
	mappings       = []struct {
		kind *errorx.Type
		mapping
	}{
		{fail.BadInput, mapping{"invalid_request_error", http.StatusBadRequest, false}},
		{fail.Conflict, mapping{"conflict", http.StatusConflict, false}},
		{fail.Interrupted, mapping{"interrupted", http.StatusBadGateway, false}},
		{fail.NotFound, mapping{"not_found", http.StatusNotFound, false}},
		{fail.NotRun, mapping{"not_run", http.StatusServiceUnavailable, true}},
		{fail.Unauthorized, mapping{"invalid_api_key", http.StatusUnauthorized, false}},
		{fail.Unavailable, mapping{"unavailable", http.StatusServiceUnavailable, true}},
		{fail.Unknown, mapping{"unknown", http.StatusInternalServerError, false}},
	}
)

func errorOf(err error) (apiError, mapping) {
	m := mappingUnknown
	for _, x := range mappings {
		if errorx.IsOfType(err, x.kind) {
			m = x.mapping
			break
		}
	}
	return apiError{Code: fail.Reason(err), Message: err.Error(), Type: m.name}, m
}

func writeError(w http.ResponseWriter, err error) {
	e, m := errorOf(err)
	if t := fail.RetryAt(err); !t.IsZero() {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(time.Until(t).Seconds())))))
	}
	w.Header().Set(HeaderRetry, strconv.FormatBool(m.retry))
	writeJSON(w, m.status, errorAnswer{e})
}
