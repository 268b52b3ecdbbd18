package measure

import "time"

// event is an action that is scheduled for a virtual time.
type event struct {
	at       time.Time
	do       func()
	sequence int // orders events at the same time, lower first
}

// eventHeap implements heap.Interface, with the earliest event at the top.
type eventHeap []*event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e *eventHeap) Pop() any {
	o := *e
	x := o[len(o)-1]
	o[len(o)-1] = nil
	*e = o[:len(o)-1]
	return x
}

func (e *eventHeap) Push(x any) { *e = append(*e, x.(*event)) }

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
