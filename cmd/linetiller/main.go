// Command linetiller runs a box, and provides the commands with which operators and clients use boxes.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
