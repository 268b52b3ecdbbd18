package policy

// Naive is the baseline with which Owner and Router are compared: each box on its own sends to the
// upstream with the least reported load, and tries another one at once if that fails.
type Naive struct {
	reports map[string]Report
	seed    uint64
}

// NewNaive returns a baseline without reports.
func NewNaive(seed uint64) *Naive {
	return &Naive{reports: make(map[string]Report), seed: seed | 1}
}

// Choose returns the allowed upstream with the least reported load, ties broken at random, or "".
func (n *Naive) Choose(c []Candidate, allow func(name string) bool) string {
	best, minLoad := "", 0.0
	for _, x := range c {
		if !allow(x.Name) {
			continue
		}
		r := n.reports[x.Name]
		n.seed ^= n.seed << 13
		n.seed ^= n.seed >> 7
		n.seed ^= n.seed << 17
		tie := float64(n.seed>>11) / (1 << 53)
		load := float64(r.Running+r.Waiting) + tie
		if best == "" || load < minLoad {
			best, minLoad = x.Name, load
		}
	}
	return best
}

// SetReport stores the report of an upstream, which is already out of date when it arrives.
func (n *Naive) SetReport(name string, r Report) {
	n.reports[name] = r
}
