// Command demo shows the system at work: stand-ins and four boxes as processes,
// on this machine.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/demo"
)

func main() {
	os.Exit(demo.Main(os.Args, os.Stdout))
}
