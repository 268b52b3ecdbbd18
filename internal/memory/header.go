package memory

import "net/http"

const (
	fieldBytes       = 200     // of a field in a header, beside its text
	valueBytes       = 32      // of each value of a field, beside its text
	usualHeaderBytes = 4 << 10 // part of RequestBytes
)

// HeaderBytes returns how much memory the header of an answer takes beyond that of a usual one, in bytes: many short
// fields take much more than their text.
func HeaderBytes(h http.Header) int64 {
	n := int64(-usualHeaderBytes)
	for k, l := range h {
		n += int64(fieldBytes + len(k))
		for _, v := range l {
			n += int64(valueBytes + len(v))
		}
	}
	return max(0, n)
}
