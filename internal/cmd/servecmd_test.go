package cmd

import (
	"runtime/debug"
	"testing"
)

// TestRuntimeLimitLeavesRoomForTheProgram guards against a process that exceeds its memory before the garbage collector
// works harder: the runtime does not count the program's text and the C library.
func TestRuntimeLimitLeavesRoomForTheProgram(t *testing.T) {
	const mebibyte = 1 << 20
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	limitMemory(0)
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("without a limit: got %d, want %d", got, before)
	}
	limitMemory(134)
	if got, most := debug.SetMemoryLimit(-1), int64(134*mebibyte*9/10-16*mebibyte); got > most || got < most/2 {
		t.Errorf("limit of 134 MiB: got %d, want at most %d", got, most)
	}
}
