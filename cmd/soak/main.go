// Command soak runs real boxes against stand-ins, injects faults from outside them by
// a seed, and checks what callers and upstreams see.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/fake/soak"
)

func main() {
	os.Exit(soak.Main(os.Args, os.Stdout))
}
