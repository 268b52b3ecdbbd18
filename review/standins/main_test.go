// Package review plays the cases of the review against the project's own programs.
package review

import (
	"fmt"
	"os"
	"testing"
)

// TestMain plays one case. Its arguments are the name of the case and the path of the record, relative to
// the root of the repository, in which it runs. TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) {
	cases := map[string]func(r *rig, trouble bool) (broken bool){"memory": playMemory, "path": playPath, "readers": playReaders}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(f func(r *rig, trouble bool) bool, record string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	var r *rig
	defer func() {
		if r != nil {
			r.close()
		}
		if x, ok := recover().(errHarness); ok {
			fmt.Println("the case could not run:", x.err)
			code = exitNotRun
		}
	}()
	r = newRig(root, record)
	if f(r, os.Getenv("TROUBLE") != "0") {
		return exitBroken
	}
	return exitHeld
}
