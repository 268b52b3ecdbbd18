package revision

import (
	"cmp"
	"testing"

	"pgregory.net/rapid"
)

// TestLaterErasAreHigher checks that the era and version can be read back from a revision, and that
// revisions are ordered by era first and then by version.
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
