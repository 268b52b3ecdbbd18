package policy

import (
	"math"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Lengths learns the distribution of output lengths as a hazard rate: the probability that a
// generation that has produced t tokens ends there.
//
// For buckets of t it counts the generated tokens and the generations that ended. Tokens of running
// generations count, too; without them, long generations that have not ended yet would be missed
// and estimates would be too short. Counts are kept per model, per model and kind, and per
// workspace, model and kind; keys with few observations use the next coarser key as their prior.
// Old counts decay, so that estimates follow drift. It is safe for concurrent use.
type Lengths struct {
	mutex    sync.Mutex
	recent   map[uint64]*hazard // keys used since the last rotation
	previous map[uint64]*hazard // keys used before that, dropped at the next rotation
	maxKeys  int                // in recent, before a rotation
}

// Key identifies the distributions that a generation counts towards, from coarse to fine: by model, by
// kind, and by workspace.
type Key [3]uint64

// hazard holds the counts of one key and the hazard curve derived from them.
type hazard struct {
	cumulative   [buckets + 1]float64 // integral of rate up to the start of each bucket
	ends         [buckets]float64     // generations that ended in each bucket
	rate         [buckets]float64     // per token
	sinceRefresh int                  // observations since the curve was computed; -1 before the first time
	tokens       [buckets]float64     // generated in each bucket
	totalTokens  float64              // over all buckets
}

const (
	buckets            = 49        // up to 65,536 tokens
	defaultRate        = 1.0 / 400 // ends per token, the prior of the coarsest key
	firstBucket        = 16        // tokens in the first bucket
	decayThreshold     = 400e3     // tokens of a key at which its counts are halved
	maxLengthKeys      = 20_000    // keys in recent, before a rotation
	refreshInterval    = 32        // observations between two computations of a curve
	priorStrength      = 3.0       // weight of the coarser key, in generations
	bucketsPerDoubling = 4
)

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths {
	return &Lengths{recent: make(map[uint64]*hazard), previous: make(map[uint64]*hazard), maxKeys: maxLengthKeys}
}

// KeyOf returns the key of w. If w has no kind, the magnitudes of its prompt and of its token limit
// take its place.
func KeyOf(w *Work) Key {
	k := w.Kind
	if k == "" {
		k = string([]byte{0, byte(2 * math.Log2(float64(w.Prompt)+1)), byte(bits.Len(uint(w.MaxTokens)))})
	}
	return Key{
		xxhash.Sum64String(w.Model),
		xxhash.Sum64String(w.Model + "\x00" + k),
		xxhash.Sum64String(w.Model + "\x00" + k + "\x00" + w.Workspace),
	}
}

// Observe records that a generation has produced the output tokens between the positions from and to,
// and whether it ended there.
func (l *Lengths) Observe(k Key, from, to int, ended bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, x := range k {
		l.countsOf(x).observe(from, to, ended)
	}
}

// countsOf returns the counts of one key. Keys that were not used during a whole rotation are
// dropped, which bounds the memory. The caller holds the mutex.
func (l *Lengths) countsOf(x uint64) *hazard {
	if h := l.recent[x]; h != nil {
		return h
	}
	if len(l.recent) >= l.maxKeys {
		l.previous, l.recent = l.recent, make(map[uint64]*hazard)
	}
	h := l.previous[x]
	if h == nil {
		h = &hazard{sinceRefresh: -1}
	}
	l.recent[x] = h
	return h
}

// curve returns the hazard curve of the finest key, recomputed if it is outdated. The caller holds
// the mutex.
func (l *Lengths) curve(k Key) *hazard {
	var coarser *hazard
	for _, x := range k {
		h := l.countsOf(x)
		if h.sinceRefresh < 0 || h.sinceRefresh > refreshInterval {
			h.refresh(coarser)
		}
		coarser = h
	}
	return coarser
}

func (h *hazard) observe(from, to int, ended bool) {
	for t := from; t < to; {
		b := bucketOf(t)
		n := min(to, bucketStart(b+1)) - t
		h.tokens[b] += float64(n)
		t += n
	}
	if ended {
		h.ends[bucketOf(max(0, to-1))]++
	}
	h.totalTokens += float64(to - from)
	if h.totalTokens > decayThreshold {
		h.decay()
	}
	if h.sinceRefresh >= 0 {
		h.sinceRefresh++
	}
}

// decay halves all counts.
func (h *hazard) decay() {
	for b := range buckets {
		h.tokens[b] /= 2
		h.ends[b] /= 2
	}
	h.totalTokens /= 2
}

// refresh recomputes the curve with that of the coarser key as its prior.
func (h *hazard) refresh(coarser *hazard) {
	h.sinceRefresh = 0
	for b := range buckets {
		prior := defaultRate
		if coarser != nil {
			prior = coarser.rate[b]
		}
		width := float64(bucketStart(b+1) - bucketStart(b))
		k := priorStrength * width
		h.rate[b] = (h.ends[b] + k*prior) / (h.tokens[b] + k)
		h.cumulative[b+1] = h.cumulative[b] + h.rate[b]*width
	}
}

// integral returns the hazard summed over the first t tokens.
func (h *hazard) integral(t int) float64 {
	b := bucketOf(t)
	return h.cumulative[b] + h.rate[b]*float64(t-bucketStart(b))
}

func bucketOf(t int) int {
	if t < firstBucket {
		return 0
	}
	o := bits.Len(uint(t)) - bits.Len(firstBucket)
	s := (t >> (o + 2)) & (bucketsPerDoubling - 1)
	return min(buckets-1, 1+bucketsPerDoubling*o+s)
}

func bucketStart(b int) int {
	if b == 0 {
		return 0
	}
	o, s := (b-1)/bucketsPerDoubling, (b-1)%bucketsPerDoubling
	return (firstBucket + s*firstBucket/bucketsPerDoubling) << o
}
