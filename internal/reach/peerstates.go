package reach

import (
	"maps"
	"sync"
	"time"
)

// peerStates tracks by way of which peers connections succeed. It is safe for concurrent use.
type peerStates struct {
	mutex  sync.Mutex // guards the fields below
	failed map[string]time.Time
	worked map[string]time.Time
}

const (
	// peerFailureTTL is how long a peer is avoided after a failure while others work, and
	// peerRetryDelay how long it is if none does.
	peerFailureTTL = 5 * time.Second
	peerRetryDelay = 500 * time.Millisecond
	peerSuccessTTL = 10 * time.Second // for which a peer counts as working
)

func newPeerStates() *peerStates {
	return &peerStates{failed: make(map[string]time.Time), worked: make(map[string]time.Time)}
}

// lastWorked returns the peer by way of which a connection last succeeded, or "" if none did lately.
func (p *peerStates) lastWorked(now time.Time) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	expire(p.worked, now.Add(-peerSuccessTTL))
	last := ""
	for n, at := range p.worked {
		if last == "" || at.After(p.worked[last]) {
			last = n
		}
	}
	return last
}

// recordNoPath records that a peer cannot connect to an upstream either.
func (p *peerStates) recordNoPath(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.worked, peer)
}

// recordFailure records that a peer did not connect although there was a path, or did not answer.
func (p *peerStates) recordFailure(peer string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failed[peer] = now
	delete(p.worked, peer)
}

// recordSuccess records that a peer connected.
func (p *peerStates) recordSuccess(peer string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.worked[peer] = now
	delete(p.failed, peer)
}

// usable returns a function that reports whether to connect by way of a peer: not if it has failed lately
// while others worked, or has just failed.
func (p *peerStates) usable(now time.Time) func(peer string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	expire(p.failed, now.Add(-peerFailureTTL))
	expire(p.worked, now.Add(-peerSuccessTTL))
	failed, avoided := maps.Clone(p.failed), peerRetryDelay
	if len(p.worked) > 0 {
		avoided = peerFailureTTL
	}
	return func(peer string) bool { return now.Sub(failed[peer]) >= avoided }
}

// expire drops the entries of before a time.
func expire(m map[string]time.Time, before time.Time) {
	for n, at := range m {
		if at.Before(before) {
			delete(m, n)
		}
	}
}
