// Command fakeengine serves a fake model engine, for demonstrations.
package main

import (
	"flag"
	"os"
	"time"

	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/fake/run"
)

func main() {
	s := engine.DefaultSettings()
	a := flag.String("address", "127.0.0.1:0", "IP:port to listen at")
	flag.IntVar(&s.KVTokens, "kv-tokens", s.KVTokens, "KV cache capacity for prompts and outputs, in tokens")
	flag.DurationVar(&s.StepBase, "step", s.StepBase, "base duration of a step")
	lag := flag.Duration("report-lag", time.Second, "delay of the load report")
	flag.Parse()
	e := engine.NewServer(s, *lag)
	c := run.Serve(*a, e, os.Stdout)
	_ = e.Close()
	os.Exit(c)
}
