package policy

// Prompts learns which prompts are large for their kind of work. It is guarded by its
// caller.
type Prompts struct{ kinds map[uint64]*promptSizes }

// promptSizes follows the sizes of one kind's prompts, in tokens.
type promptSizes struct {
	bound float64 // which largestShare of them exceeds
	mean  float64
	seen  int
}

const (
	// largestShare is the share of each kind's prompts that count as large. What goes first
	// because of its size is then bounded, however the sizes lie. Under a crowd 0.40 of the
	// largest tenth of short answers are served and 0.45 of the fifth below, of all 0.50; with
	// 0.08 in its place 0.40 and 0.31, with 0.25 0.23 and 0.45 (by the same test as goesFirst).
	largestShare = 0.15
	// promptKinds bounds the kinds that are known, since callers name them.
	promptKinds = 4096
	// promptStep is the step of the bound for one prompt, as a share of the mean: it follows
	// sizes that grow fivefold over 4,000 prompts (TestLargePromptsAreFew).
	promptStep = 0.03
	// promptWeight is the weight of a new prompt in the mean.
	promptWeight = 1.0 / 32
	// promptsLeast is how many prompts of a kind tell its mean, and boundStart at how many
	// times that the bound begins.
	promptsLeast = 4
	boundStart   = 1.3
)

// NewPrompts returns prompts of which nothing is known.
func NewPrompts() *Prompts {
	return &Prompts{kinds: make(map[uint64]*promptSizes)}
}

// Learn takes in the prompt of w, and reports whether it is large for its kind.
func (p *Prompts) Learn(w *Work) bool {
	k := KeyOf(w)[1]
	s := p.kinds[k]
	if s == nil {
		if len(p.kinds) >= promptKinds {
			clear(p.kinds)
		}
		s = new(promptSizes)
		p.kinds[k] = s
	}
	return s.learn(float64(w.Prompt))
}

// learn takes in a prompt, and reports whether it is above the bound.
func (s *promptSizes) learn(tokens float64) bool {
	s.seen++
	s.mean += (tokens - s.mean) * max(promptWeight, 1/float64(s.seen))
	if s.seen <= promptsLeast {
		s.bound = boundStart * s.mean
		return false
	}
	if tokens > s.bound {
		s.bound += promptStep * s.mean * (1 - largestShare)
		return true
	}
	s.bound -= promptStep * s.mean * largestShare
	return false
}
