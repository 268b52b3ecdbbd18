package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in order of their rendezvous hash with key: the first
// is the choice, and the removal of any other name does not change it.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	l := make([]scored, len(names))
	for i, n := range names {
		l[i] = scored{n, xxhash.Sum64String(key + "\x00" + n)}
	}
	slices.SortFunc(l, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	r := make([]string, len(names))
	for i, s := range l {
		r[i] = s.name
	}
	return r
}

// First returns the first name of Rank without sorting, or "".
func First(key string, names []string) string {
	best, most := "", uint64(0)
	for _, n := range names {
		s := xxhash.Sum64String(key + "\x00" + n)
		if best == "" || s > most || (s == most && n < best) {
			best, most = n, s
		}
	}
	return best
}
