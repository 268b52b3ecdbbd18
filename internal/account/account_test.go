package account

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/explain"
)

// testDay builds the logs of a day.
type testDay struct{ log strings.Builder }

// addLine adds a log line at a time in seconds from the start of the day.
func (d *testDay) addLine(second float64, box string, event int, fields string) {
	at := time.Unix(1000, 0).UTC().Add(time.Duration(second * float64(time.Second)))
	_, _ = fmt.Fprintf(&d.log, "%8.3f %s {\"time\":%q,\"box\":%q,\"event\":%d%s}\n", second, box, at.Format(time.RFC3339Nano), box, event, fields)
}

// addPlaced adds the line of a stream that is sent to an upstream.
func (d *testDay) addPlaced(second float64, box, id, upstream, hall string) {
	d.addLine(second, box, 207, fmt.Sprintf(`,"request":%q,"route":"r-1","upstream":%q,"hall":%q,"try":1,"prompt_tokens":9,"hint":700`, id, upstream, hall))
}

// addBroken adds the line of a stream at box a that breaks off.
func (d *testDay) addBroken(second float64, id, upstream string) {
	d.addLine(second, "a", 203, fmt.Sprintf(`,"request":%q,"route":"r-1","upstream":%q,"reason":"stream_broken"`, id, upstream))
}

// newTestDay returns a day of streams and calls in two halls, with a loss for each cause that
// TestEachLossHasItsCause expects.
func newTestDay() *testDay {
	d := new(testDay)
	d.addLine(0, "a", 101, `,"hall":"h1"`)
	d.addLine(0, "b", 101, `,"hall":"h2"`)
	d.addPlaced(1, "a", "gone", "u1", "h1")
	d.addBroken(2, "gone", "u1")
	d.addPlaced(1, "a", "reclaimed", "u1", "h1")
	d.addLine(2, "a", 307, `,"request":"reclaimed","upstream":"u1"`)
	d.addBroken(3, "reclaimed", "u1")
	d.addPlaced(1, "a", "cut", "u2", "h2")
	d.addBroken(4, "cut", "u2")
	d.addPlaced(1, "a", "moved away and cut", "u1", "h1")
	d.addLine(2, "a", 307, `,"request":"moved away and cut","upstream":"u1"`)
	d.addLine(3, "a", 309, `,"request":"moved away and cut","from":"u1","to":"u2","pause_ms":30`)
	d.addBroken(4, "moved away and cut", "u2")
	d.addPlaced(1, "a", "paused", "u1", "h1")
	d.addLine(3, "a", 309, `,"request":"paused","from":"u1","to":"u3","pause_ms":300`)
	d.addLine(5, "a", 201, `,"request":"paused","route":"r-1","status":200`)
	d.addLine(5, "a", 202, `,"request":"refused","route":"r-1","reason":"deadline","took_ms":3900`)
	d.addLine(5, "a", 202, `,"request":"no key","route":"r-1","reason":"key_unknown"`)
	d.addPlaced(5, "b", "stopped", "u2", "h2")
	d.addLine(6, "b", 104, "")
	d.addLine(6, "b", 206, `,"request":"stopped","route":"r-1"`)
	d.addPlaced(6, "b", "box died", "u2", "h2")
	d.addLine(10, "b", 101, `,"hall":"h2"`)
	d.addPlaced(30, "a", "all died", "u1", "h1")
	d.addLine(32, "a", 101, `,"hall":"h1"`)
	d.addLine(33, "b", 101, `,"hall":"h2"`)
	d.addLine(0, "c", 101, `,"hall":"h1"`)
	d.addPlaced(20, "c", "box died for good", "u1", "h1")
	d.addPlaced(34, "a", "under way", "u1", "h1")
	for i := range 4 {
		d.addLine(7, "a", 207, fmt.Sprintf(`,"request":"call-%d","route":"r-2","upstream":"s1","hall":"h1","try":1`, i))
		d.addLine(8, "a", 201, fmt.Sprintf(`,"request":"call-%d","route":"r-2","status":500`, i))
	}
	return d
}

// TestEachLossHasItsCause checks the number of lost requests by cause, their total worth and the
// printed tables of a day on which losses have different causes.
func TestEachLossHasItsCause(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(newTestDay().log.String()))
	if err != nil {
		t.Fatal(err)
	}
	long := &SiteStream{GapTargetMS: 180}
	long.Events.Mean = 200
	short := &SiteStream{GapTargetMS: 180}
	short.Events.Mean = 3
	s := &Site{Classes: []SiteClass{
		{TargetMS: 1800, DeadlineMS: 39_000, LateWorth: 20, Name: "long", Stream: long, Worth: 130}, {Name: "short", Stream: short, Worth: 14}, {TargetMS: 150, LateWorth: 0.3, Name: "call", Worth: 1},
	}}
	r := &Report{Classes: []Class{
		{Failed: 9, Late: 2, Name: "long", Count: 12, Refused: 1, EarnedShare: 0.1}, {Failed: 2, Name: "call", Count: 4, EarnedShare: 0.5},
	}}
	a := NewBreakdown("day", r, s, NewLog(lines))
	got := make(map[Cause]float64)
	sum := 0.0
	for _, x := range a.Losses {
		got[x.Cause] = x.Requests["long"] + x.Requests["call"]
		sum += x.WorthShare
	}
	for c, want := range map[Cause]float64{
		CauseAllBoxesDied: 1, CauseBoxDied: 2, CauseBoxStopped: 1, CauseHallLost: 2, CauseFailed: 2, CauseEngineLost: 1,
		CauseLate: 1, CauseLateMove: 1, CauseReclaimed: 1, CauseRefused: 1, CauseNotLogged: 1,
	} {
		if got[c] != want {
			t.Errorf("%s: got %v requests, want %v", c, got[c], want)
		}
	}
	if math.Abs(sum-a.LostShare) > 1e-9 || a.LostShare < 0.8 {
		t.Errorf("sum of the losses: got %v, want %v", sum, a.LostShare)
	}
	if got, want := a.UnservedWaitShare, 0.1*130/(12*130+4); math.Abs(got-want) > 1e-9 {
		t.Errorf("penalty for waits that ended unserved: got %v, want %v", got, want)
	}
	var b bytes.Buffer
	if err := a.Print(&b); err != nil || !strings.Contains(b.String(), "all boxes died") {
		t.Errorf("got %q %v, want a table", b.String(), err)
	}
	b.Reset()
	if err := a.PrintAttempts(&b, ByHall); err != nil || !strings.Contains(b.String(), "h2") {
		t.Errorf("got %q %v, want a table of attempts by hall", b.String(), err)
	}
	if got, want := ByWindow(time.Unix(1000, 0))(&Attempt{EndedAt: time.Unix(1012, 0)}), " 10 s"; got != want {
		t.Errorf("window: got %q, want %q", got, want)
	}
}

// TestLateStreamsAreToldApart checks the cause of a late stream by the times in its log lines: a
// long wait for a place, a slow prefill or a stall at the engine. A stream in time has no cause.
func TestLateStreamsAreToldApart(t *testing.T) {
	a := &latencyTarget{response: 1800 * time.Millisecond, class: "long", gap: 180 * time.Millisecond}
	for _, x := range []struct {
		waited, first, pause int // milliseconds
		want                 Cause
	}{
		{100, 600, 60, ""},
		{1700, 2100, 60, CauseLateWait},
		{300, 2100, 60, CauseLatePrefill},
		{100, 600, 400, CauseLateStall},
	} {
		text := fmt.Sprintf(`{"time":"2026-12-02T10:00:00Z","box":"a","event":207,"request":"r","waited_ms":%d}`+"\n"+
			`{"time":"2026-12-02T10:00:09Z","box":"a","event":201,"request":"r","status":200,"first_ms":%d,"pause_ms":%d}`+"\n", x.waited, x.first, x.pause)
		lines, err := explain.Read(strings.NewReader(text))
		if err != nil || len(lines) != 2 {
			t.Fatal(lines, err)
		}
		l := []*explain.Line{&lines[0], &lines[1]}
		if got := finishedCause(l, l[1], a); got != x.want {
			t.Errorf("waited %d ms, first event after %d ms, pause of %d ms: got %q, want %q", x.waited, x.first, x.pause, got, x.want)
		}
	}
}

// TestSizesAreToldApart checks the outcomes of twenty streams by the size of their prompts. The two
// largest are refused because other work was always placed before them, and the next one is late.
func TestSizesAreToldApart(t *testing.T) {
	d := new(testDay)
	for i := range 20 {
		id := fmt.Sprint("r-", i)
		d.addLine(1, "a", 207, fmt.Sprintf(`,"request":%q,"route":"r-1","upstream":"u1","hall":"h1","try":1,"hint":700`, id))
		end := fmt.Sprintf(`,"request":%q,"route":"r-1","status":200,"first_ms":300,"prompt_tokens":%d`, id, 100+i)
		event := 201
		switch {
		case i >= 18:
			event, end = 202, fmt.Sprintf(`,"request":%q,"route":"r-1","reason":"late","short_of":"turn","prompt_tokens":%d`, id, 100+i)
		case i == 17:
			end = strings.Replace(end, "300", "9000", 1)
		}
		d.addLine(2, "a", event, end)
	}
	lines, err := explain.Read(strings.NewReader(d.log.String()))
	if err != nil {
		t.Fatal(err)
	}
	long := &SiteStream{GapTargetMS: 180}
	long.Events.Mean = 200
	s := &Site{Classes: []SiteClass{{TargetMS: 1800, Name: "long", Stream: long, Worth: 130}}}
	got := NewLog(lines).Sizes(s, new(Report))
	if len(got) != 4 {
		t.Fatalf("size classes: got %+v, want 4", got)
	}
	for i, want := range []SizeClass{{Attempts: 10, MinPromptTokens: 100}, {Attempts: 4, MinPromptTokens: 110}, {Attempts: 4, MinPromptTokens: 114, LateAttempts: 1}, {Attempts: 2, MinPromptTokens: 118}} {
		if g := &got[i]; g.Attempts != want.Attempts || g.MinPromptTokens != want.MinPromptTokens || g.LateAttempts != want.LateAttempts {
			t.Errorf("%s: got %+v, want %+v", g.Name, *g, want)
		}
	}
	if g := &got[3]; g.ServedAttempts() != 0 || g.Refusals["late/turn"] != 2 {
		t.Errorf("largest tenth: got %+v, want both refused as late/turn", *g)
	}
	var b bytes.Buffer
	if err := PrintSizes(&b, got); err != nil || !strings.Contains(b.String(), "late/turn 2") {
		t.Errorf("got %q %v, want a table", b.String(), err)
	}
}
