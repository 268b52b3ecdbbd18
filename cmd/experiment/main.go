// Command experiment runs benchmarks or simulations, stores their measures as rows, compares two versions
// and draws charts.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/experiment"
)

func main() {
	os.Exit(experiment.Main(os.Args, os.Stdout, os.Stderr))
}
