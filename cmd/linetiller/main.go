// Command linetiller is an entry box, and the tool by which operators and
// clients speak to one.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
