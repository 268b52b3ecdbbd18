package linetiller

import (
	"testing"

	"github.com/linetiller/linetiller/internal/ownership"
	"github.com/linetiller/linetiller/platform"
)

// TestReportsOfIdleEnginesReuseConnections guards against a new connection for each load report of an
// idle engine, because unused ones are closed just before the next report.
func TestReportsOfIdleEnginesReuseConnections(t *testing.T) {
	if got, low := platform.EngineIdleTimeout, 2*ownership.IdleReportInterval; got < low {
		t.Errorf("idle time-out of connections for load reports: got %v, want at least %v", got, low)
	}
}
