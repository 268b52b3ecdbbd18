// Command fakeservice serves a fake plain service, for demonstrations.
package main

import (
	"flag"
	"os"

	"github.com/linetiller/linetiller/internal/fake/run"
	"github.com/linetiller/linetiller/internal/fake/service"
)

func main() {
	a := flag.String("address", "127.0.0.1:0", "IP:port to listen at")
	flag.Parse()
	os.Exit(run.Serve(*a, service.New(), os.Stdout))
}
