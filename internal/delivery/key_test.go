package delivery

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/requestkey"
)

// TestRequestKeyRunsOnce checks that a repeat with the same key gets the recorded answer, and that a
// different request with the key is a conflict.
func TestRequestKeyRunsOnce(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		for _, n := range []string{"a", "b"} {
			if err := r.run(t.Context(), n, r.request("length=6", "k")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if err := r.run(t.Context(), "c", r.request("length=7", "k")); !errorx.IsOfType(err, fail.Conflict) {
			t.Errorf("key with another request: got %v, want a conflict", err)
		}
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
		r.golden("key-repeated")
	})
}

// TestRequestKeyAtTwoBoxesAtOnce checks that two concurrent requests with the same key start one
// generation and both get its answer.
func TestRequestKeyAtTwoBoxesAtOnce(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		done := make(chan error, 2)
		for range 2 {
			q := r.request("length=6", "k")
			go func() { done <- r.deliverer.Generate(t.Context(), q, func(*Token) error { return nil }) }()
		}
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}

// TestRequestKeyWithLostAnswers checks that a request with a key runs once although answers to writes of
// the table are lost.
func TestRequestKeyWithLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.platform.SetFaults(fakeplatform.Faults{LoseAnswers: lost})
				for _, n := range []string{"a", "b"} {
					if err := r.run(t.Context(), n, r.request("length=6", "k")); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
				}
				if got, want := r.started(), 1; got != want {
					t.Errorf("generations started: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestOutcomeIsRecordedAfterAnOutage checks that the outcome of a request with a key that ends during an
// outage of the platform is recorded afterwards, so that a repeat gets the recorded answer.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		time.AfterFunc(60*time.Millisecond, func() { r.platform.SetFaults(fakeplatform.Faults{Down: true}) })
		if err := r.run(t.Context(), "a", r.request("length=6", "k")); err != nil {
			t.Fatal(err)
		}
		if err := r.run(t.Context(), "b", r.request("length=6", "k")); !errorx.IsOfType(err, fail.NotRun) {
			t.Errorf("repeat during the outage: got %v, want not run", err)
		}
		time.Sleep(time.Minute)
		r.platform.SetFaults(fakeplatform.Faults{})
		time.Sleep(time.Minute)
		r.restartEngine("engine-1") // the restarted engine does not know the generation
		if err := r.run(t.Context(), "c", r.request("length=6", "k")); err != nil {
			t.Error(err)
		}
		if !strings.Contains(r.transcript(), "client c end stop at 6") {
			t.Errorf("transcript: got\n%s\nwant the recorded answer for c", r.transcript())
		}
	})
}

// TestBoxKilledBetweenWriteAndSend checks that a repeat fails with an unknown outcome if the key is
// claimed but its generation was never started, because the box was killed in between.
func TestBoxKilledBetweenWriteAndSend(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		q := r.request("length=6", "k")
		_, ours, err := r.deliverer.keys.Insert(t.Context(), requestkey.RowKey("w", "k"), requestkey.Record{
			Generation: newID(), Fingerprint: q.Fingerprint, State: requestkey.StateRunning, AttemptID: newID(), Upstream: "engine-1",
		})
		if err != nil || !ours {
			t.Fatal(ours, err)
		}
		if err := r.run(t.Context(), "a", q); !errorx.IsOfType(err, fail.Unknown) {
			t.Errorf("got %v, want unknown", err)
		}
		if got, want := r.started(), 0; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}
