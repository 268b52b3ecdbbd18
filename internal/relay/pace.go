package relay

import (
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// pace is a moving average of the time per token in the recent streams of this box. It is
// safe for concurrent use; the zero value assumes policy.DefaultStepSeconds.
type pace struct {
	mutex    sync.Mutex
	perToken time.Duration // 0 until a stream has ended
}

const (
	// expectedTimeToFirstToken is the time that a stream is expected to take to its first token.
	// The median is 0.5 s.
	expectedTimeToFirstToken = 500 * time.Millisecond
	// paceWeight is the weight of the latest stream in the moving average.
	paceWeight = 0.1
)

// expectedDuration returns the expected duration of a stream of that many tokens.
func (p *pace) expectedDuration(tokens int) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.perToken
	if t == 0 {
		t = time.Duration(policy.DefaultStepSeconds * float64(time.Second))
	}
	return expectedTimeToFirstToken + time.Duration(tokens)*t
}

// record adds a finished stream to the average; took is the time from its first token to its last.
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
