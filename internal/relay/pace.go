package relay

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// pace is how fast the streams of this box went of late. It is safe for concurrent use;
// the zero value assumes policy.DefaultStepSeconds.
type pace struct {
	mutex    sync.Mutex
	perToken time.Duration // between two tokens; 0 where no stream has ended yet
}

const (
	// expectedFirstToken is the time to the first token that is reckoned with: on the users'
	// sites half of the streams have theirs after 0.5 s.
	expectedFirstToken = 500 * time.Millisecond
	// paceWeight is the weight of one stream in the pace.
	paceWeight = 0.1
)

// expectedDuration returns how long a stream of so many tokens takes.
func (p *pace) expectedDuration(tokens int) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.perToken
	if t == 0 {
		t = time.Duration(policy.DefaultStepSeconds * float64(time.Second))
	}
	return expectedFirstToken + time.Duration(tokens)*t
}

// record records that a stream had so many tokens in a time, from the first one on.
func (p *pace) record(tokens int, took time.Duration) {
	if tokens < 2 || took <= 0 {
		return
	}
	t := took / time.Duration(tokens-1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.perToken == 0 {
		p.perToken = t
		return
	}
	p.perToken += time.Duration(paceWeight * float64(t-p.perToken))
}
