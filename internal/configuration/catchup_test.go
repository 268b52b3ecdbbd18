package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestCatchUpIsNotHeldUpByABoxThatLostItsPower has a box announce a change and then not respond to
// the request for it. Catch-ups from other boxes must not wait until that request times out.
func TestCatchUpIsNotHeldUpByABoxThatLostItsPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOutageStore(0).follower(resource.SourceConfiguration)
		c := resource.Change{Revision: 7, Resource: &resource.Resource{Kind: resource.KindPriority, Metadata: resource.Metadata{Name: "first"}, Spec: []byte(`{"value":9}`)}}
		f.Call = func(ctx context.Context, address string, _ *box.Request) (*box.Reply, error) {
			if address == "unresponsive" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return &box.Reply{Changes: []resource.Batch{{Changes: []resource.Change{c}, Revision: 7, Source: resource.SourceConfiguration}}}, nil
		}
		newest := resource.Revisions{resource.SourceConfiguration: 7}
		ended := make(chan error, 2)
		for range 2 {
			go func() { ended <- f.CatchUp(t.Context(), "unresponsive", newest) }()
			synctest.Wait()
		}
		began := time.Now()
		if err := f.CatchUp(t.Context(), "responsive", newest); err != nil {
			t.Error(err)
		}
		if got, limit := time.Since(began), 2*catchUpSlotTimeout; got > limit {
			t.Errorf("caught up after %v, want at most %v", got, limit)
		}
		if got, want := f.view.Revisions()[resource.SourceConfiguration], int64(7); got != want {
			t.Errorf("revision: got %d, want %d", got, want)
		}
		<-ended
		<-ended
	})
}
