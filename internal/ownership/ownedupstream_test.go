package ownership

import (
	"testing"
	"time"
)

// TestReportIsDueSoonOnceTheStoreIsAway checks that the shorter report interval which applies
// while the store is unavailable also applies if a report was read just before.
func TestReportIsDueSoonOnceTheStoreIsAway(t *testing.T) {
	x, now := new(ownedUpstream), time.Now()
	if !x.beginReportRead(now, time.Second) {
		t.Fatal("first report: got not due, want due")
	}
	x.endReportRead()
	for _, c := range []struct {
		after, every time.Duration
		want         bool
	}{{200 * time.Millisecond, time.Second, false}, {200 * time.Millisecond, outageReportInterval, true}, {300 * time.Millisecond, outageReportInterval, false}} {
		got := x.beginReportRead(now.Add(c.after), c.every)
		if got != c.want {
			t.Errorf("%v after the first report, with an interval of %v: got due %v, want %v", c.after, c.every, got, c.want)
		}
		if got {
			x.endReportRead()
		}
	}
}
