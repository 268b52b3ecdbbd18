// Package run runs a fake as a process: it listens, prints its address as the first line of
// output, and ends on SIGTERM or SIGINT.
package run

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Serve serves h at address until a signal arrives, and returns the exit code.
func Serve(address string, h http.Handler, output io.Writer) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		_, _ = fmt.Fprintln(output, "error", err)
		return 1
	}
	_, _ = fmt.Fprintln(output, "listening", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = s.Close()
	}()
	_ = s.Serve(l)
	return 0
}
