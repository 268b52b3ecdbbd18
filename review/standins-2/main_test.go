// Package standins runs the cases of the second review that are scripts: it starts boxes as processes, with a
// stand-in of the platform's store, engines and clients, and judges what these have seen.
package standins

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes record.txt.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, a...)...)
}

func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// TestMain runs a case in place of tests: it is built by build-2.sh, and its arguments name the case.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Println("usage: standins-2 CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	f, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	r := &recorder{file: f, start: time.Now()}
	cases := map[string]func(*recorder, string, string, bool) int{"list": listCase, "stop": stopCase}
	c, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(exitNotRun)
	}
	code := c(r, os.Args[2], dir, os.Getenv("TROUBLE") != "0")
	r.printf("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
