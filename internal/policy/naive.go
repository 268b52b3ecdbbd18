package policy

// Naive is the baseline of every measurement: each box alone sends straight to
// the upstream with the least reported load, and tries another at once.
type Naive struct {
	reports map[string]Report
	seed    uint64
}

// NewNaive returns a baseline that has heard no report.
func NewNaive(seed uint64) *Naive {
	return &Naive{reports: make(map[string]Report), seed: seed | 1}
}

// Choose returns the upstream with the least reported load, or "".
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

// SetReport takes in the late report of an upstream.
func (n *Naive) SetReport(name string, r Report) {
	n.reports[name] = r
}
