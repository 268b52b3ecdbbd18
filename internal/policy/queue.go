package policy

import (
	"time"
)

// queue holds waiting work in order, and sums up the cost of all work ahead of any position. It is a
// treap, so that every operation takes logarithmic time.
type queue struct {
	byID map[string]*entry
	root *entry
	seed uint64 // state of the pseudo-random sequence of heap priorities
}

// entry is one piece of queued work.
type entry struct {
	cost        float64       // seconds of engine time
	charge      time.Duration // charged to its workspace
	estimate    estimate
	targetStart time.Time // latest start that meets its target; zero if it has none
	key         Key
	latestStart time.Time // latest start that meets its deadline and its caller's limit for the first token
	urgentAt    time.Time // when it moves ahead of other costly work
	order       order
	work        *Work

	heapPriority uint64
	left, right  *entry
	subtreeCost  float64 // sum of cost over the subtree
	subtreeCount int     // entries in the subtree
}

// order is the rank of an entry. It compares, in this sequence: can it still meet its target, higher
// priority, large for its kind, higher priority of its route, cheaper class, urgent, lower time.
type order struct {
	late     bool   // it has missed its target
	class    int    // of cost
	large    bool   // see prefersLarge
	sequence uint64 // of arrival, unique
	priority int
	route    int   // priority of its route
	time     int64 // nanoseconds
	urgent   bool
}

func newQueue() *queue {
	return &queue{byID: make(map[string]*entry), seed: 0x9e3779b97f4a7c15}
}

// costBefore returns the total cost of the entries that rank before o.
func (q *queue) costBefore(o order) float64 {
	s := 0.0
	for e := q.root; e != nil; {
		if !e.order.before(o) {
			e = e.left
			continue
		}
		s += subtreeCostOf(e.left) + e.cost
		e = e.right
	}
	return s
}

func (q *queue) first() *entry {
	e := q.root
	for e != nil && e.left != nil {
		e = e.left
	}
	return e
}

func (q *queue) insert(e *entry) {
	q.seed ^= q.seed << 13
	q.seed ^= q.seed >> 7
	q.seed ^= q.seed << 17
	e.heapPriority = q.seed
	e.left, e.right = nil, nil
	e.updateSubtree()
	a, b := split(q.root, e.order)
	q.root = merge(merge(a, e), b)
	q.byID[e.work.ID] = e
}

func (q *queue) len() int {
	return len(q.byID)
}

// remove removes the entry with that work id and returns it, or nil.
func (q *queue) remove(id string) *entry {
	e := q.byID[id]
	if e == nil {
		return nil
	}
	delete(q.byID, id)
	a, b := split(q.root, e.order)
	after := e.order
	after.sequence++
	_, c := split(b, after)
	q.root = merge(a, c)
	return e
}

// totalCost returns the total cost of the queue.
func (q *queue) totalCost() float64 {
	return subtreeCostOf(q.root)
}

// before reports whether o ranks before p.
func (o order) before(p order) bool {
	if o.late != p.late {
		return p.late
	}
	if o.priority != p.priority {
		return o.priority > p.priority
	}
	if o.large != p.large {
		return o.large
	}
	if o.route != p.route {
		return o.route > p.route
	}
	if o.class != p.class {
		return o.class < p.class
	}
	if o.urgent != p.urgent {
		return o.urgent
	}
	if o.time != p.time {
		return o.time < p.time
	}
	return o.sequence < p.sequence
}

func (e *entry) updateSubtree() {
	e.subtreeCost = e.cost + subtreeCostOf(e.left) + subtreeCostOf(e.right)
	e.subtreeCount = 1 + subtreeCountOf(e.left) + subtreeCountOf(e.right)
}

// merge joins two trees; all entries of a rank before those of b.
func merge(a, b *entry) *entry {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.heapPriority > b.heapPriority:
		a.right = merge(a.right, b)
		a.updateSubtree()
		return a
	}
	b.left = merge(a, b.left)
	b.updateSubtree()
	return b
}

// split divides a tree into the entries that rank before o and the rest.
func split(e *entry, o order) (a, b *entry) {
	if e == nil {
		return nil, nil
	}
	if e.order.before(o) {
		e.right, b = split(e.right, o)
		e.updateSubtree()
		return e, b
	}
	a, e.left = split(e.left, o)
	e.updateSubtree()
	return a, e
}

func subtreeCostOf(e *entry) float64 {
	if e == nil {
		return 0
	}
	return e.subtreeCost
}

func subtreeCountOf(e *entry) int {
	if e == nil {
		return 0
	}
	return e.subtreeCount
}
