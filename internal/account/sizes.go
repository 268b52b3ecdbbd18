package account

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/explain"
)

// SizeClass counts the outcomes of the attempts of a class whose prompts are of similar size.
type SizeClass struct {
	Class           string
	LateAttempts    int            // served, but late
	Name            string         // such as "largest tenth"
	MinPromptTokens int            // length of its shortest prompt, in tokens
	Refusals        map[string]int // by "reason/shortage", or by reason if no shortage was logged
	Attempts        int
	UnknownOutcomes int // neither served nor refused
}

// sizedAttempt is the outcome of an attempt with the length of its prompt in tokens.
type sizedAttempt struct {
	late, served bool
	promptTokens int
	refusal      string // as in SizeClass.Refusals; "" if it was not refused
}

// sizeClasses are the size classes, each with the quantile of the prompt length at which it starts.
var sizeClasses = []struct {
	from float64
	name string
}{{0, "smallest half"}, {0.5, "fifth above"}, {0.7, "fifth below the largest"}, {0.9, "largest tenth"}}

// Sizes returns the outcomes of the attempts of each class by the size of the prompt. Attempts have
// request IDs of their own, so each attempt of a caller counts separately.
func (l *Log) Sizes(s *Site, r *Report) []SizeClass {
	attempts := make(map[string][]sizedAttempt)
	targets := s.targets(r, l)
	for _, lines := range l.requests {
		a := targets[routeOf(lines)]
		if t, ok := l.sizeAttempt(lines, &a); ok {
			attempts[a.class] = append(attempts[a.class], t)
		}
	}
	var all []SizeClass
	for class, t := range attempts {
		slices.SortFunc(t, func(x, y sizedAttempt) int { return cmp.Compare(x.promptTokens, y.promptTokens) })
		for i := range sizeClasses {
			to := 1.0
			if i+1 < len(sizeClasses) {
				to = sizeClasses[i+1].from
			}
			n := float64(len(t))
			all = append(all, newSizeClass(class, sizeClasses[i].name, t[int(sizeClasses[i].from*n):int(to*n)]))
		}
	}
	slices.SortStableFunc(all, func(x, y SizeClass) int { return cmp.Compare(x.Class, y.Class) })
	return all
}

// ServedAttempts returns the number of attempts that were served, including late ones.
func (c *SizeClass) ServedAttempts() int {
	n := c.Attempts - c.UnknownOutcomes
	for _, x := range c.Refusals {
		n -= x
	}
	return n
}

// PrintSizes writes a table of the outcomes by size, with the reasons of refusals.
func PrintSizes(w io.Writer, sizes []SizeClass) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "kind\tsize\tfrom tokens\ttries\tserved\tof them late\tneither\trefused")
	for i := range sizes {
		c := &sizes[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%s\n", c.Class, c.Name, c.MinPromptTokens, c.Attempts,
			float64(c.ServedAttempts())/float64(max(1, c.Attempts)), c.LateAttempts, c.UnknownOutcomes, formatCounts(c.Refusals))
	}
	return t.Flush()
}

// newSizeClass counts the outcomes of attempts, which are sorted by prompt length.
func newSizeClass(class, name string, attempts []sizedAttempt) SizeClass {
	c := SizeClass{Class: class, Name: name, Refusals: make(map[string]int), Attempts: len(attempts)}
	if len(attempts) > 0 {
		c.MinPromptTokens = attempts[0].promptTokens
	}
	for i := range attempts {
		switch t := &attempts[i]; {
		case t.refusal != "":
			c.Refusals[t.refusal]++
		case !t.served:
			c.UnknownOutcomes++
		case t.late:
			c.LateAttempts++
		}
	}
	return c
}

// sizeAttempt returns the outcome of an attempt with its size. It returns false if the logs lack the
// end or the prompt length of the attempt, or if the class is unknown.
func (l *Log) sizeAttempt(lines []*explain.Line, a *latencyTarget) (sizedAttempt, bool) {
	end := endOf(lines)
	if end == nil || a.class == "" {
		return sizedAttempt{}, false
	}
	t := sizedAttempt{promptTokens: int(number(end, "prompt_tokens"))}
	switch end.Event {
	case event.RequestFinished.Number:
		c := l.causeOf(lines, a)
		t.served, t.late = c == "" || c.isLate(), c.isLate()
	case event.RequestRefused.Number:
		t.refusal = strings.TrimSuffix(text(end, "reason")+"/"+text(end, "short_of"), "/")
	}
	return t, t.promptTokens > 0
}

// formatCounts returns the keys with their counts, largest count first.
func formatCounts(m map[string]int) string {
	var l []string
	for k := range m {
		l = append(l, k)
	}
	slices.SortFunc(l, func(x, y string) int { return cmp.Or(cmp.Compare(m[y], m[x]), cmp.Compare(x, y)) })
	for i, k := range l {
		l[i] = fmt.Sprintf("%s %d", k, m[k])
	}
	return strings.Join(l, ", ")
}
