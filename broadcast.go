package linetiller

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
)

// broadcast sends a request to all other boxes of a hall, "" for all halls, without waiting
// for their answers. It goes on when what led to it has ended.
func (b *Box) broadcast(hall string, q box.Request) {
	for _, m := range b.members.Members()[1:] {
		if hall != "" && m.Hall != hall {
			continue
		}
		b.startWorker(func() {
			ctx, cancel := context.WithDeadline(b.serveContext, time.Now().Add(heartbeatTimeout))
			defer cancel()
			_, _ = b.links.CallOnce(ctx, m.Address, b.newRequest(q)) // repeated later, or by others
		})
	}
}

// announceListUnreadable announces to the boxes of the hall that the platform's list of upstreams cannot be
// read, or can be again: those that do not read it themselves own upstreams, too.
func (b *Box) announceListUnreadable(unreadable bool) {
	b.broadcast(b.settings.Hall, box.Request{ListUnreadable: unreadable, Kind: box.KindListUnreadable})
}
