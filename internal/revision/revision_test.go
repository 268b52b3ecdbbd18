package revision

import (
	"cmp"
	"testing"

	"pgregory.net/rapid"
)

// TestLaterErasAreHigher checks that a revision tells what it was made of, and that revisions
// are in order of era and then of version.
func TestLaterErasAreHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, version := rapid.Int64Range(0, MaxEra), rapid.Int64Range(0, MaxVersion)
		e1, v1, e2, v2 := era.Draw(t, "era"), version.Draw(t, "version"), era.Draw(t, "other era"), version.Draw(t, "other version")
		if got := Era(Of(e1, v1)); got != e1 {
			t.Errorf("era: got %d, want %d", got, e1)
		}
		if got := Version(Of(e1, v1)); got != v1 {
			t.Errorf("version: got %d, want %d", got, v1)
		}
		got, want := cmp.Compare(Of(e1, v1), Of(e2, v2)), cmp.Or(cmp.Compare(e1, e2), cmp.Compare(v1, v2))
		if got != want {
			t.Errorf("order: got %d, want %d", got, want)
		}
	})
}
