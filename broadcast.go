package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// broadcast sends a request to all other boxes of a hall, or of all halls if hall is empty. It does
// not wait for the replies. The calls end with Serve or after heartbeatTimeout, not with the
// operation that caused them.
func (b *Box) broadcast(hall string, q box.Request) {
	for _, m := range b.members.Members()[1:] {
		if hall != "" && m.Hall != hall {
			continue
		}
		b.startWorker(func() {
			ctx, cancel := context.WithDeadline(b.serveContext, time.Now().Add(heartbeatTimeout))
			defer cancel()
			_, _ = b.links.CallOnce(ctx, m.Address, b.newRequest(q)) // not retried: the sender or another box repeats the message
		})
	}
}

// announceListUnavailable announces to the boxes of the hall whether this box cannot read the
// platform's list of upstreams. Boxes that do not read the list themselves need to know, because
// they own upstreams, too.
func (b *Box) announceListUnavailable(unavailable bool) {
	b.broadcast(b.settings.Hall, box.Request{ListUnavailable: unavailable, Kind: box.KindListUnavailable})
}
