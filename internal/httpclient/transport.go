// Package httpclient has the connections and the transport with which boxes send HTTP requests. They return errors where
// net/http accepts a response that is not valid or that may be incomplete.
package httpclient

import (
	"net/http"
	"slices"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// Transport sends requests and accepts only valid responses. The body of a response ends with io.EOF only if it is
// complete, provided that its connections are of type Conn.
type Transport struct {
	*http.Transport
}

// IsSelfDelimiting reports whether a response itself marks the end of its body, which the end of its connection does
// otherwise.
func IsSelfDelimiting(w *http.Response) bool {
	return w.ContentLength >= 0 || w.Uncompressed || isHTTP2(w) || slices.Contains(w.TransferEncoding, "chunked")
}

// RoundTrip sends a request and returns the response. The error is an InvalidResponseError if the response is invalid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r, sent := trackBody(r)
	w, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(w); err != nil {
		_ = w.Body.Close()
		return nil, err
	}
	if w.Body != http.NoBody {
		w.Body = &responseBody{ReadCloser: w.Body, requestSent: sent, response: w}
	}
	return w, nil
}

// checkHead returns an error if the head of a response is invalid.
func checkHead(w *http.Response) error {
	if w.ProtoMajor != 1 && !isHTTP2(w) {
		return &InvalidResponseError{"version " + strconv.Quote(w.Proto)}
	}
	// The requests of boxes ask for no other protocol, so that the status 101 is no final one.
	if w.StatusCode < http.StatusOK || w.StatusCode > 599 {
		return &InvalidResponseError{"status " + strconv.Quote(w.Status)}
	}
	return checkFields(w.Header)
}

// checkFields returns an error if the name of a field is invalid: net/http accepts blanks in it, and does not recognize
// the fields that delimit the body then.
func checkFields(h http.Header) error {
	for n := range h {
		if !httpguts.ValidHeaderFieldName(n) {
			return &InvalidResponseError{"field name " + strconv.Quote(n)}
		}
	}
	return nil
}

// isHTTP2 reports whether a response came over HTTP/2, instead of having a status line that says so.
func isHTTP2(w *http.Response) bool {
	return w.ProtoMajor == 2 && w.TLS != nil && w.TLS.NegotiatedProtocol == "h2"
}
