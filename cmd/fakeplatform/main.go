// Command fakeplatform serves a fake of the platform's services, for demonstrations.
package main

import (
	"flag"
	"os"

	"github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/run"
)

func main() {
	a := flag.String("address", "127.0.0.1:0", "IP:port to listen at")
	flag.Parse()
	os.Exit(run.Serve(*a, platform.New(), os.Stdout))
}
