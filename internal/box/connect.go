package box

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Connector opens a connection from this box to the upstream that q names, for the box that sent q. The
// reason of its error is sent to that box.
type Connector func(ctx context.Context, q *Request) (net.Conn, error)

// Reasons for which a box opens no connection to an upstream for another box.
const (
	ReasonTooManyConnections  = "too_many_connections" // it has as many open as it may
	ReasonUpstreamRefused     = "upstream_refused"     // the upstream's machine refused the connection
	ReasonUpstreamUnknown     = "upstream_unknown"     // no upstream with that address is listed
	ReasonUpstreamUnreachable = "upstream_unreachable" // it cannot connect to the upstream
)

const (
	connectionBufferBytes = 8 << 10          // of each direction of a connection
	connectionWriteLimit  = 10 * time.Second // for the other box to accept data
)

// connectionBuffers holds buffers of connectionBufferBytes.
var connectionBuffers = sync.Pool{New: func() any { return new([connectionBufferBytes]byte) }}

// forwardConnection copies from the caller to an upstream's connection and back until the upstream ends
// its side, the caller is gone or ctx ends, and closes the connection. interrupt must make pending reads
// from the caller fail. forwardConnection returns nil only if the upstream has ended its side in order, so
// that an answer which was cut off does not look complete to the caller.
func forwardConnection(ctx context.Context, caller io.Reader, answer io.Writer, u net.Conn, interrupt func()) error {
	defer func() { _ = u.Close() }()
	defer context.AfterFunc(ctx, func() { _ = u.Close() })()
	var g sync.WaitGroup
	g.Go(func() {
		_ = copyConnection(u, caller)
		_ = u.Close()
	})
	err := copyConnection(answer, u)
	interrupt()
	g.Wait()
	return err
}

// copyConnection copies until the end of the source. It bypasses the shortcuts of io.Copy, so that the
// size of its buffer is known.
func copyConnection(to io.Writer, from io.Reader) error {
	b := connectionBuffers.Get().(*[connectionBufferBytes]byte)
	defer connectionBuffers.Put(b)
	for {
		n, err := from.Read(b[:])
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
