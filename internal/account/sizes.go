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

// SizeClass is what became of the tries of a kind of request whose prompts are of like size.
type SizeClass struct {
	Kind    string
	Late    int            // served, but late
	Name    string         // such as "largest tenth"
	Prompt  int            // tokens of its smallest prompt
	Refused map[string]int // by reason, and by what was lacking
	Tries   int
	Unknown int // neither served nor refused
}

// sizedTry is a try with its size.
type sizedTry struct {
	late, served bool
	prompt       int
	refused      string // why
}

// sizeNames are the size classes with the share of tries that they start at, by size.
var sizeNames = []struct {
	from float64
	name string
}{{0, "smallest half"}, {0.5, "fifth above"}, {0.7, "fifth below the largest"}, {0.9, "largest tenth"}}

// Sizes returns what became of the tries of each kind of request by the size of its prompt.
// A caller's tries have ids of their own: each counts by itself.
func (l *Log) Sizes(s *Site, r *Report) []SizeClass {
	tries := make(map[string][]sizedTry)
	aims := s.aims(r, l)
	for _, lines := range l.requests {
		a := aims[routeOf(lines)]
		if t, ok := l.sizeOf(lines, &a); ok {
			tries[a.kind] = append(tries[a.kind], t)
		}
	}
	var all []SizeClass
	for kind, t := range tries {
		slices.SortFunc(t, func(x, y sizedTry) int { return cmp.Compare(x.prompt, y.prompt) })
		for i := range sizeNames {
			to := 1.0
			if i+1 < len(sizeNames) {
				to = sizeNames[i+1].from
			}
			n := float64(len(t))
			all = append(all, sizeClassOf(kind, sizeNames[i].name, t[int(sizeNames[i].from*n):int(to*n)]))
		}
	}
	slices.SortStableFunc(all, func(x, y SizeClass) int { return cmp.Compare(x.Kind, y.Kind) })
	return all
}

// Served returns how many tries were served, late ones included.
func (c *SizeClass) Served() int {
	n := c.Tries - c.Unknown
	for _, x := range c.Refused {
		n -= x
	}
	return n
}

// PrintSizes writes what became of the tries by size, and why they were refused.
func PrintSizes(w io.Writer, sizes []SizeClass) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "kind\tsize\tfrom tokens\ttries\tserved\tof them late\tneither\trefused")
	for i := range sizes {
		c := &sizes[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%s\n", c.Kind, c.Name, c.Prompt, c.Tries,
			float64(c.Served())/float64(max(1, c.Tries)), c.Late, c.Unknown, countsText(c.Refused))
	}
	return t.Flush()
}

// sizeClassOf counts tries of one size class.
func sizeClassOf(kind, name string, tries []sizedTry) SizeClass {
	c := SizeClass{Kind: kind, Name: name, Refused: make(map[string]int), Tries: len(tries)}
	if len(tries) > 0 {
		c.Prompt = tries[0].prompt
	}
	for i := range tries {
		switch t := &tries[i]; {
		case t.refused != "":
			c.Refused[t.refused]++
		case !t.served:
			c.Unknown++
		case t.late:
			c.Late++
		}
	}
	return c
}

// sizeOf returns a try with its size; false where it has no prompt or no end.
func (l *Log) sizeOf(lines []*explain.Line, a *aim) (sizedTry, bool) {
	end := endOf(lines)
	if end == nil || a.kind == "" {
		return sizedTry{}, false
	}
	t := sizedTry{prompt: int(number(end, "prompt_tokens"))}
	switch end.Event {
	case event.RequestFinished.Number:
		c := l.causeOf(lines, a)
		t.served, t.late = c == "" || c.late(), c.late()
	case event.RequestRefused.Number:
		t.refused = strings.TrimSuffix(text(end, "reason")+"/"+text(end, "short_of"), "/")
	}
	return t, t.prompt > 0
}

// countsText writes counts in order of their size.
func countsText(m map[string]int) string {
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
