package policy

// Prompts learns which prompts are large for their kind of work. Callers must guard it.
type Prompts struct{ kinds map[uint64]*promptSizes }

// promptSizes tracks the sizes of the prompts of one kind, in tokens.
type promptSizes struct {
	bound float64 // exceeded by largeShare of the prompts
	mean  float64 // moving average
	count int     // of observed prompts
}

const (
	// largeShare is the share of each kind's prompts that count as large. It limits how much work
	// goes first because of its size, whatever the distribution of sizes. In the test named at
	// prefersLarge, the shares of prompts with short answers that are served are 0.40 of the largest
	// tenth, 0.45 of the fifth below it and 0.50 of all. With a largeShare of 0.08 the first two are
	// 0.40 and 0.31, and with 0.25 they are 0.23 and 0.45.
	largeShare = 0.15
	// maxPromptKinds bounds the memory, as callers choose the names of kinds.
	maxPromptKinds = 4096
	// boundStep is how far one prompt moves the bound, as a share of the mean. It is large enough to
	// follow sizes that grow fivefold over 4,000 prompts (TestLargePromptsAreFew).
	boundStep = 0.03
	// meanWeight is the weight of a new prompt in the moving average.
	meanWeight = 1.0 / 32
	// The first minPromptsObserved prompts of a kind are never large. The bound then starts at
	// initialBoundFactor times their mean.
	minPromptsObserved = 4
	initialBoundFactor = 1.3
)

// NewPrompts returns a Prompts without observations.
func NewPrompts() *Prompts {
	return &Prompts{kinds: make(map[uint64]*promptSizes)}
}

// Observe records the prompt of w, and reports whether it is large for its kind.
func (p *Prompts) Observe(w *Work) bool {
	k := KeyOf(w)[1]
	s := p.kinds[k]
	if s == nil {
		if len(p.kinds) >= maxPromptKinds {
			clear(p.kinds)
		}
		s = new(promptSizes)
		p.kinds[k] = s
	}
	return s.observe(float64(w.Prompt))
}

// observe records a prompt, and reports whether it exceeds the bound. The steps up and down balance
// when largeShare of the prompts exceed the bound.
func (s *promptSizes) observe(tokens float64) bool {
	s.count++
	s.mean += (tokens - s.mean) * max(meanWeight, 1/float64(s.count))
	if s.count <= minPromptsObserved {
		s.bound = initialBoundFactor * s.mean
		return false
	}
	if tokens > s.bound {
		s.bound += boundStep * s.mean * (1 - largeShare)
		return true
	}
	s.bound -= boundStep * s.mean * largeShare
	return false
}
