package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	invalidRowInterval   = 300 * time.Millisecond // between two writes of invalid rows
	invalidRowKeys       = 3                      // number of keys of invalid rows
	invalidRowsRNGStream = 1<<20 + 3              // stream of the random generator, distinct from the others
)

// invalidRows are values that do not describe an upstream.
var invalidRows = []string{
	`7`, `"ready"`, `[{}]`, `null`, `{}`, `{"service":7}`, `{"service":"desk","address":"host:1","zone":"a","state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1","zone":"a","state":"ready"}`, `{"service":"desk","address":"127.0.0.1:1","zone":"a","state":"asleep"}`,
	`{"service":"desk","address":"127.0.0.1:1","zone":"a","state":"ready","born":-1}`, `{"service":"desk","address":"127.0.0.1:1","zone":"a","state":"ready","models":3}`,
}

// runInvalidRows writes and removes invalid rows in the table of upstreams until the context ends.
// Some are left there.
func (w *cluster) runInvalidRows(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		key := fmt.Sprintf("servers/foreign-%d", r.IntN(invalidRowKeys))
		if r.IntN(4) == 0 {
			w.platform.Remove(key)
		} else {
			w.platform.Put(key, json.RawMessage(invalidRows[r.IntN(len(invalidRows))]))
		}
		select {
		case <-ctx.Done():
		case <-time.After(invalidRowInterval):
		}
	}
}
