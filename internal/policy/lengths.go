package policy

import (
	"math"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Lengths learns how long outputs are, as a hazard: the chance that a
// generation which has reached token t ends there.
//
// It counts, for buckets of t, the tokens generated (running generations
// included, so that the long ones which have not ended yet are not forgotten)
// and the ends. Counts are kept for a model, for a model and kind, and for a
// workspace, model and kind; a thin one leans on the one above it. Old counts
// fade, so that it follows drift. It is safe for concurrent use.
type Lengths struct {
	mutex    sync.Mutex
	recent   map[uint64]*hazard // keys seen lately
	previous map[uint64]*hazard // keys of the time before, dropped at the next turn
	maxKeys  int                // keys in young
}

// Key names what a generation's length is learned under, from coarse to fine.
type Key [3]uint64

// hazard holds the counts of one key and the curve made from them.
type hazard struct {
	cumulative   [buckets + 1]float64 // the integral of rate up to each bucket's start
	ends         [buckets]float64
	rate         [buckets]float64
	sinceRefresh int // observations since the curve was made; -1 before the first
	tokens       [buckets]float64
	totalTokens  float64
}

const (
	buckets            = 49 // up to 65,536 tokens
	defaultRate        = 1.0 / 400
	firstBucket        = 16    // tokens in the first bucket
	decayThreshold     = 400e3 // tokens of a key at which its counts are halved
	maxLengthKeys      = 20_000
	refreshInterval    = 32  // observations between two makings of a curve
	priorStrength      = 3.0 // generations that the coarser key counts for
	bucketsPerDoubling = 4   // buckets per doubling
)

// NewLengths returns an estimator that has seen nothing.
func NewLengths() *Lengths {
	return &Lengths{recent: make(map[uint64]*hazard), previous: make(map[uint64]*hazard), maxKeys: maxLengthKeys}
}

// KeyOf returns the key of w. Where w names no kind, what it shows stands in
// for it: the sizes of its prompt and of its bound.
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

// Observe takes in that a generation went from token from to token to, and
// whether it ended there.
func (l *Lengths) Observe(k Key, from, to int, ended bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, x := range k {
		l.countsOf(x).observe(from, to, ended)
	}
}

// curve returns the curve of the finest key, made afresh where it is stale;
// the lock is held.
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

// countsOf returns the counts of one key. Keys that were not asked for during a whole
// turn are dropped, which bounds the memory.
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

func (h *hazard) decay() {
	for b := range buckets {
		h.tokens[b] /= 2
		h.ends[b] /= 2
	}
	h.totalTokens /= 2
}

// refresh makes the curve, leaning on the coarser key's.
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
