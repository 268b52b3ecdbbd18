// Command measure compares the scheduling policy with a naive baseline, in virtual time and with fixed
// seeds.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/measure"
)

func main() {
	os.Exit(measure.Main(os.Args, os.Stdout))
}
