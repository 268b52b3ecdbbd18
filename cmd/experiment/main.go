// Command experiment plays days or seeds, keeps their figures as rows, compares two
// versions and draws them.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/experiment"
)

func main() {
	os.Exit(experiment.Main(os.Args, os.Stdout, os.Stderr))
}
