// Command demo demonstrates the system with four boxes and fake upstreams as processes on this machine.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/demo"
)

func main() {
	os.Exit(demo.Main(os.Args, os.Stdout))
}
