package policy

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestQueueAgainstSortedList compares the treap with a sorted list under random operations.
func TestQueueAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		var sorted []*entry
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				next++
				e := &entry{
					cost: float64(rapid.IntRange(1, 100).Draw(t, "cost")),
					order: order{
						class: rapid.IntRange(0, 3).Draw(t, "class"), sequence: next, priority: rapid.IntRange(-1, 1).Draw(t, "priority"),
						time: int64(rapid.IntRange(-5, 5).Draw(t, "time")), urgent: rapid.Bool().Draw(t, "urgent"),
					},
					work: &Work{ID: string(rune('a' + next%1000))},
				}
				if q.byID[e.work.ID] != nil {
					t.Skip("the id is taken")
				}
				q.insert(e)
				sorted = append(sorted, e)
				slices.SortFunc(sorted, func(a, b *entry) int {
					if a.order.before(b.order) {
						return -1
					}
					return 1
				})
			},
			"remove": func(t *rapid.T) {
				if len(sorted) == 0 {
					t.Skip("nothing waits")
				}
				i := rapid.IntRange(0, len(sorted)-1).Draw(t, "index")
				if got, want := q.remove(sorted[i].work.ID), sorted[i]; got != want {
					t.Fatalf("removed: got %v, want %v", got, want)
				}
				sorted = slices.Delete(sorted, i, i+1)
			},
			"": func(t *rapid.T) {
				if got, want := q.len(), len(sorted); got != want {
					t.Fatalf("length: got %d, want %d", got, want)
				}
				if len(sorted) == 0 {
					return
				}
				if got, want := q.first(), sorted[0]; got != want {
					t.Fatalf("first: got %+v, want %+v", got.order, want.order)
				}
				sum := 0.0
				for _, e := range sorted {
					if got, want := q.costBefore(e.order), sum; got != want {
						t.Fatalf("ahead: got %v, want %v", got, want)
					}
					sum += e.cost
				}
				if got, want := q.totalCost(), sum; got != want {
					t.Fatalf("total: got %v, want %v", got, want)
				}
			},
		})
	})
}
