package httpclient

// InvalidResponseError means that a peer sent a response that is not valid by RFC 9110, 9112 and 9113.
type InvalidResponseError struct {
	Message string
}

// Error returns the message of the error.
func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Message }
