package relay

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// pace is how fast the streams of this box went of late. It is safe for concurrent use;
// the zero value assumes policy.DefaultStepSeconds.
type pace struct {
	mutex sync.Mutex
	token time.Duration // between two tokens; 0 where no stream has ended yet
}

const (
	// firstExpected is the time to the first token that is reckoned with: on the users'
	// sites half of the streams have theirs after 0.5 s.
	firstExpected = 500 * time.Millisecond
	// paceWeight is the weight of one stream in the pace.
	paceWeight = 0.1
)

// expect returns how long a stream of so many tokens takes.
func (p *pace) expect(tokens int) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.token
	if t == 0 {
		t = time.Duration(policy.DefaultStepSeconds * float64(time.Second))
	}
	return firstExpected + time.Duration(tokens)*t
}

// learn records that a stream had so many tokens in a time, from the first one on.
func (p *pace) learn(tokens int, took time.Duration) {
	if tokens < 2 || took <= 0 {
		return
	}
	t := took / time.Duration(tokens-1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.token == 0 {
		p.token = t
		return
	}
	p.token += time.Duration(paceWeight * float64(t-p.token))
}
