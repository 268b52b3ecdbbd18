package resource

import "time"

// EvacuationSpec declares that nothing further is sent to the upstreams of a data hall.
// What runs there goes on.
type EvacuationSpec struct {
	Hall string `json:"hall"` // the data hall's name
}

// evacuations are the evacuations in force, and the halls that they name.
type evacuations struct {
	halls     map[string]time.Time // when this box learned that a hall is evacuated
	hallOf    map[string]string    // by resource: its hall; two may name one hall
	learnedAt map[string]time.Time // by resource: when this box learned of one that is new
}

func newEvacuations() evacuations {
	return evacuations{halls: make(map[string]time.Time), hallOf: make(map[string]string), learnedAt: make(map[string]time.Time)}
}

// rebuild makes the halls anew, and reports whether any has come or gone. A hall that
// stays evacuated keeps the moment at which this box learned of it.
func (e *evacuations) rebuild() (changed bool) {
	old := e.halls
	e.halls = make(map[string]time.Time, len(e.hallOf))
	for n, h := range e.hallOf {
		at, stays := old[h]
		if !stays {
			at, changed = e.learnedAt[n], true
		}
		e.halls[h] = at
	}
	clear(e.learnedAt)
	return changed || len(e.halls) != len(old)
}
