package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/linetiller/linetiller/internal/sse"
	"github.com/linetiller/linetiller/internal/upstream"
)

// closeReader decrements the number of readers of v.
func (s *Server) closeReader(v *record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v.readers--
}

// cutOrStall cuts or stalls the stream if the faults say so after this many tokens, and reports whether
// the stream has ended.
func (s *Server) cutOrStall(r *http.Request, c *http.ResponseController, sent int, f *Faults) bool {
	if f.CutAfter > 0 && sent >= f.CutAfter {
		_ = c.Flush()
		panic(http.ErrAbortHandler)
	}
	if f.StallAfter == 0 || sent < f.StallAfter {
		return false
	}
	_ = c.Flush()
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	return true
}

// openReader increments the number of readers of v and returns the faults of the new stream.
func (s *Server) openReader(v *record) Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.faults
	s.faults.CrossFrames = max(0, f.CrossFrames-1)
	s.faults.DuplicateFrames = max(0, f.DuplicateFrames-1)
	s.faults.SkipFrames = max(0, f.SkipFrames-1)
	v.readers++
	return f
}

// stream writes the events of v from a token index until its end or a fault.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, v *record, from int) {
	f := s.openReader(v)
	defer s.closeReader(v)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	_ = c.Flush()
	for i, sent := from, 0; ; {
		s.mutex.Lock()
		texts, finish, changed := v.texts, v.finish, v.changed
		s.mutex.Unlock()
		for ; i < len(texts); i++ {
			x := upstream.Frame{Generation: v.generation.ID, Index: i, Text: texts[i], Workspace: v.workspace}
			sent++
			writeWithFaults(w, x, sent, &f)
			if s.cutOrStall(r, c, sent, &f) {
				return
			}
		}
		if finish != "" {
			writeFrame(w, upstream.Frame{Finish: finish, Generation: v.generation.ID, Index: i, Workspace: v.workspace})
			return
		}
		_ = c.Flush()
		select {
		case <-changed:
		case <-s.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func writeFrame(w io.Writer, f upstream.Frame) {
	b, _ := json.Marshal(f)
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: b}))
}

// writeWithFaults writes the frame number sent of a stream, counted from 1: with another
// generation's ID, twice or not at all if the faults say so.
func writeWithFaults(w io.Writer, x upstream.Frame, sent int, f *Faults) {
	const faultyFrame = 3
	if f.CrossFrames > 0 && sent == faultyFrame {
		x.Generation = "another"
	}
	if f.SkipFrames > 0 && sent == faultyFrame {
		return
	}
	writeFrame(w, x)
	if f.DuplicateFrames > 0 {
		writeFrame(w, x)
	}
}
