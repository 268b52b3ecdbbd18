package resource

import "time"

// EvacuationSpec declares that no new work is sent to the upstreams of a data hall. Running work
// continues.
type EvacuationSpec struct {
	Hall string `json:"hall"`
}

// evacuations holds the current evacuations and the halls that they name.
type evacuations struct {
	halls     map[string]time.Time // by hall: when this box learned of its evacuation
	hallOf    map[string]string    // by resource name: its hall; several may name the same hall
	learnedAt map[string]time.Time // by resource name: when this box learned of it; cleared by rebuild
}

func newEvacuations() evacuations {
	return evacuations{halls: make(map[string]time.Time), hallOf: make(map[string]string), learnedAt: make(map[string]time.Time)}
}

// rebuild recomputes the evacuated halls and reports whether any was added or removed. A hall that
// stays evacuated keeps the time at which this box learned of it.
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
