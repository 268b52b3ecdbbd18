// Command slopes measures what one more peer, upstream, generation, stream,
// change or request key costs, and fits a line to each.
package main

import (
	"os"

	"github.com/linetiller/linetiller/internal/slope"
)

func main() {
	os.Exit(slope.Main(os.Stdout))
}
