package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// TestTurnsGoOneByOneInOrder queues several runs behind one that has the move slot. They must get
// it one at a time: by priority, then runs that outlast the notice of an engine, the smaller first,
// then the others, those with the most remaining tokens first.
func TestTurnsGoOneByOneInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slots MoveSlots
		release, err := slots.Acquire(t.Context(), "u", false, &policy.Run{ID: "holder"})
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan string, 8)
		for _, r := range []policy.Run{
			{ID: "ends-soon", Priority: 9, Left: 20, Tokens: 100},
			{ID: "ends-later", Priority: 9, Left: 90, Tokens: 100},
			{ID: "long-large", Priority: 9, Left: 900, Tokens: 5000},
			{ID: "long-small", Priority: 9, Left: 900, Tokens: 3000},
			{ID: "less-urgent", Priority: 8, Left: 900, Tokens: 10},
		} {
			go func() {
				release, err := slots.Acquire(t.Context(), "u", false, &r)
				if err != nil {
					t.Error(err)
					return
				}
				got <- r.ID
				time.Sleep(time.Second)
				release()
			}()
		}
		synctest.Wait()
		if len(got) != 0 {
			t.Errorf("slots granted while the only one is occupied: got %d, want none", len(got))
		}
		other, err := slots.Acquire(t.Context(), "u", true, &policy.Run{ID: "arrives"})
		if err != nil {
			t.Errorf("inbound slot: got error %v, want it granted while the outbound one is occupied", err)
		}
		other()
		release()
		for _, want := range []string{"long-small", "long-large", "ends-later", "ends-soon", "less-urgent"} {
			if id := <-got; id != want {
				t.Errorf("got %s, want %s", id, want)
			}
		}
		time.Sleep(2 * time.Second) // until the last slot is released
	})
}

// TestTurnsPassThoseWhoGiveUp cancels runs that wait for a move slot, and releases the slot
// afterwards, twice: the next run that requests it must get it, and no queue may remain.
func TestTurnsPassThoseWhoGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slots MoveSlots
		release, _ := slots.Acquire(t.Context(), "u", false, &policy.Run{ID: "holder"})
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 3 {
			go func() {
				if _, err := slots.Acquire(ctx, "u", false, &policy.Run{ID: fmt.Sprint(i), Priority: 9}); err == nil {
					t.Error("got the slot after its context was cancelled, want an error")
				}
			}()
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		release()
		release()
		last, err := slots.Acquire(t.Context(), "u", false, &policy.Run{ID: "last"})
		if err != nil {
			t.Fatal(err)
		}
		last()
		if len(slots.queues) != 0 {
			t.Errorf("queues left: got %d, want none", len(slots.queues))
		}
	})
}
