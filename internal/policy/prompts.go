package policy

// Prompts learns which prompts are large for their kind of work. It is guarded by its
// caller.
type Prompts struct{ kinds map[uint64]*promptSizes }

// promptSizes follows the sizes of one kind's prompts, in tokens.
type promptSizes struct {
	bound float64 // which largeShare of them exceeds
	mean  float64
	count int
}

const (
	// largeShare is the share of each kind's prompts that count as large. What goes first
	// because of its size is then bounded, however the sizes lie. Under a crowd 0.40 of the
	// largest tenth of short answers are served and 0.45 of the fifth below, of all 0.50; with
	// 0.08 in its place 0.40 and 0.31, with 0.25 0.23 and 0.45 (by the same test as prefersLarge).
	largeShare = 0.15
	// maxPromptKinds bounds the kinds that are known, since callers name them.
	maxPromptKinds = 4096
	// boundStep is the step of the bound for one prompt, as a share of the mean: it follows
	// sizes that grow fivefold over 4,000 prompts (TestLargePromptsAreFew).
	boundStep = 0.03
	// meanWeight is the weight of a new prompt in the mean.
	meanWeight = 1.0 / 32
	// minPromptsSeen is how many prompts of a kind tell its mean, and initialBoundFactor at how many
	// times that the bound begins.
	minPromptsSeen     = 4
	initialBoundFactor = 1.3
)

// NewPrompts returns prompts of which nothing is known.
func NewPrompts() *Prompts {
	return &Prompts{kinds: make(map[uint64]*promptSizes)}
}

// Observe takes in the prompt of w, and reports whether it is large for its kind.
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

// observe takes in a prompt, and reports whether it is above the bound.
func (s *promptSizes) observe(tokens float64) bool {
	s.count++
	s.mean += (tokens - s.mean) * max(meanWeight, 1/float64(s.count))
	if s.count <= minPromptsSeen {
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
