package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestLargePromptsAreFew observes prompts with different distributions of sizes: about largeShare of them
// must count as large, and those must be the largest ones if sizes differ.
func TestLargePromptsAreFew(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, x := range []struct {
		name string
		size func(i int) float64
	}{
		{"spread", func(int) float64 { return 2500 * math.Exp(0.5*r.NormFloat64()) }},
		{"two sizes", func(int) float64 { return 500 + 1000*float64(r.IntN(2)) }},
		{"growing", func(i int) float64 { return (1000 + float64(i)) * math.Exp(0.3*r.NormFloat64()) }},
	} {
		p := NewPrompts()
		large, sizes, all := 0, 0.0, 0.0
		const n = 4000
		for i := range n {
			s := x.size(i)
			all += s
			if p.Observe(&Work{Kind: "k", Model: "m", Prompt: int(s)}) {
				large++
				sizes += s
			}
		}
		if got, want := float64(large)/n, largeShare; math.Abs(got-want) > 0.4*want {
			t.Errorf("%s: share of large prompts: got %.3f, want about %.3f", x.name, got, want)
		}
		if got, minimum := sizes/float64(large), 1.3*all/n; got < minimum {
			t.Errorf("%s: mean size of the large prompts: got %.0f, want at least %.0f", x.name, got, minimum)
		}
	}
}

// TestEqualPromptsAreNotLarge observes prompts of one size, of which none may count as large at first.
func TestEqualPromptsAreNotLarge(t *testing.T) {
	p := NewPrompts()
	for i := range 200 {
		if p.Observe(&Work{Kind: "k", Model: "m", Prompt: 1000}) && i < 10 {
			t.Errorf("prompt %d: got large, want none while the spread of sizes is unknown", i)
		}
	}
	if p.Observe(&Work{Kind: "other", Model: "m", Prompt: 9000}) {
		t.Error("first prompt of a kind: got large, want not large")
	}
}

// TestKindsOfPromptsAreBounded observes more kinds than are kept.
func TestKindsOfPromptsAreBounded(t *testing.T) {
	p := NewPrompts()
	for i := range 3 * maxPromptKinds {
		p.Observe(&Work{Kind: string(rune(i)) + "k", Model: "m", Prompt: 10})
	}
	if got := len(p.kinds); got > maxPromptKinds {
		t.Errorf("kinds: got %d, want at most %d", got, maxPromptKinds)
	}
}
