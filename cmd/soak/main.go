// Command soak runs boxes against fake upstreams and a fake platform. It injects faults from outside the
// boxes, chosen by a seed, and checks what clients and upstreams observe.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/fake/soak"
)

func main() {
	os.Exit(soak.Main(os.Args, os.Stdout))
}
