package linetiller_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/linetiller/linetiller/internal/cmd"
)

// TestScripts runs scripts of the program's commands against a hall of two boxes over loopback.
func TestScripts(t *testing.T) {
	runScripts(t, "testdata/script")
}

// TestEvacuationScript runs the script that evacuates the hall, in a hall of its own.
func TestEvacuationScript(t *testing.T) {
	runScripts(t, "testdata/evacuation")
}

func runScripts(t *testing.T, directory string) {
	t.Helper()
	h := newHall(t, 2, 1)
	testscript.Run(t, testscript.Params{
		Dir: directory,
		Setup: func(e *testscript.Env) error {
			e.Setenv("BOX1", "http://"+h.boxes[0].ClientAddress())
			e.Setenv("BOX2", "http://"+h.boxes[1].ClientAddress())
			e.Setenv("OPERATOR1", "http://"+h.boxes[0].OperatorAddress())
			e.Setenv("OPERATOR2", "http://"+h.boxes[1].OperatorAddress())
			e.Setenv("KEY", testKey)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, arguments []string){"exit": exitCommand},
	})
}

// exitCommand implements the script command "exit CODE linetiller ARGUMENTS…", which checks the
// exit code.
func exitCommand(ts *testscript.TestScript, _ bool, arguments []string) {
	err := ts.Exec(arguments[1], arguments[2:]...)
	got, want := "0", arguments[0]
	if err != nil {
		got = err.Error()
		want = "exit status " + want
	}
	if got != want {
		ts.Fatalf("got %s, want %s", got, want)
	}
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"linetiller": func() { os.Exit(cmd.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) }})
}
