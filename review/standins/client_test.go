package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// send sends a request on a connection of its own and returns the status of the answer.
func send(address, id, method, target, body string, headers ...string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	more := ""
	for _, h := range headers {
		more += h + "\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Linetiller-Request-Id: %s\r\nX-Linetiller-Deadline-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, host, id, more, len(body), body); err != nil {
		return 0, err
	}
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}
