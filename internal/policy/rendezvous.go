package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous caches the hashes of names, for many lookups among the same names.
type Rendezvous struct {
	hashes []uint64
	names  []string
}

// NewRendezvous returns a Rendezvous over names, which must not be changed afterwards.
func NewRendezvous(names []string) *Rendezvous {
	r := &Rendezvous{names: names}
	for _, n := range names {
		r.hashes = append(r.hashes, xxhash.Sum64String(n))
	}
	return r
}

// HighestRanked returns the first name that Rank returns for key, or "" if there are no names.
func (r *Rendezvous) HighestRanked(key string) string {
	k := xxhash.Sum64String(key)
	best, bestScore := "", uint64(0)
	for i, h := range r.hashes {
		s := mix(k, h)
		if best == "" || s > bestScore || (s == bestScore && r.names[i] < best) {
			best, bestScore = r.names[i], s
		}
	}
	return best
}

// HighestRanked returns the first name that Rank returns, without sorting, or "" if there are no names.
func HighestRanked(key string, names []string) string {
	k := xxhash.Sum64String(key)
	best, bestScore := "", uint64(0)
	for _, n := range names {
		s := mix(k, xxhash.Sum64String(n))
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

// Rank returns the names in descending order of their rendezvous hash with key. Removing one name
// does not change the order of the others, so only keys of the removed name get a new first choice.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	k := xxhash.Sum64String(key)
	l := make([]scored, len(names))
	for i, n := range names {
		l[i] = scored{n, mix(k, xxhash.Sum64String(n))}
	}
	slices.SortFunc(l, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	r := make([]string, len(names))
	for i, s := range l {
		r[i] = s.name
	}
	return r
}

// RankOf returns the index of name among the given names in the order of Rank.
func RankOf(key, name string, names []string) int {
	k := xxhash.Sum64String(key)
	score := mix(k, xxhash.Sum64String(name))
	n := 0
	for _, other := range names {
		if x := mix(k, xxhash.Sum64String(other)); x > score || x == score && other < name {
			n++
		}
	}
	return n
}

// mix combines the hashes of a key and a name into their rendezvous hash, with the finalizer of
// splitmix64. As key and name are hashed separately, the hash of a name can be reused for many keys.
func mix(key, name uint64) uint64 {
	x := key ^ bits.RotateLeft64(name, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
