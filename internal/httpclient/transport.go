// Package httpclient has the connections and the transport with which boxes send HTTP requests. They return errors where
// net/http accepts a response that may be incomplete.
package httpclient

import (
	"net/http"
	"slices"
)

// Transport sends requests. The body of a response ends with io.EOF only if it is
// complete, provided that its connections are of type Conn.
type Transport struct {
	*http.Transport
}

// IsSelfDelimiting reports whether the end of a response's body can be told from the end of its connection.
func IsSelfDelimiting(w *http.Response) bool {
	return w.ContentLength >= 0 || w.Uncompressed || slices.Contains(w.TransferEncoding, "chunked")
}

// RoundTrip sends a request and returns the response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r, p := trackBody(r)
	w, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if w.Body != http.NoBody {
		w.Body = &responseBody{ReadCloser: w.Body, request: p, response: w}
	}
	return w, nil
}
