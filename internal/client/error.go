package client

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
)

// apiError is an error in the format of the OpenAI API. Type indicates whether the request ran and may
// be retried; Code is the reason label of metric.Refusals.
type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	Type    string `json:"type"`
}

type errorBody struct {
	Error apiError `json:"error"`
}

// errorStatus determines how an error type is reported to callers.
type errorStatus struct {
	apiType string
	status  int
	retry   bool // whether client libraries may retry on their own
}

var (
	statusUnknown = errorStatus{"unknown", http.StatusInternalServerError, false}
	errorStatuses = []struct {
		kind *errorx.Type
		errorStatus
	}{
		{fail.BadInput, errorStatus{"invalid_request_error", http.StatusBadRequest, false}},
		{fail.Conflict, errorStatus{"conflict", http.StatusConflict, false}},
		{fail.Interrupted, errorStatus{"interrupted", http.StatusBadGateway, false}},
		{fail.NotFound, errorStatus{"not_found", http.StatusNotFound, false}},
		{fail.NotRun, errorStatus{"not_run", http.StatusServiceUnavailable, true}},
		{fail.Unauthorized, errorStatus{"invalid_api_key", http.StatusUnauthorized, false}},
		{fail.Unavailable, errorStatus{"unavailable", http.StatusServiceUnavailable, true}},
		{fail.Unknown, errorStatus{"unknown", http.StatusInternalServerError, false}},
	}
)

// apiErrorOf returns err in the format of the API, and the status to report it with.
func apiErrorOf(err error) (apiError, errorStatus) {
	m := statusUnknown
	for _, x := range errorStatuses {
		if errorx.IsOfType(err, x.kind) {
			m = x.errorStatus
			break
		}
	}
	return apiError{Code: fail.Reason(err), Message: err.Error(), Type: m.apiType}, m
}

func writeError(w http.ResponseWriter, err error) {
	e, m := apiErrorOf(err)
	if t := fail.RetryAt(err); !t.IsZero() {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(time.Until(t).Seconds())))))
	}
	w.Header().Set(HeaderShouldRetry, strconv.FormatBool(m.retry))
	writeJSON(w, m.status, errorBody{e})
}
