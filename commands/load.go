package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"chicorymast/io/load"
)

type loadCommand struct {
	Out  string `long:"out" description:"file for the result, as JSON"`
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"load plan, an INI file"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("load", "generate load (trials)",
		"Sends calls according to a load plan and prints the outcomes and latencies.", &loadCommand{})
}

// Execute runs the load plan.
func (c *loadCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.Plan)
	if err != nil {
		return usageError{err}
	}
	plan, err := load.ParsePlan(c.Args.Plan, data, os.ReadFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := load.Run(ctx, plan)
	printLoad(os.Stdout, result)
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, result)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(path, data, mode)
}

func printLoad(w io.Writer, r *load.Result) {
	fmt.Fprintf(w, "%-24s %8s %8s %7s %8s %8s %8s  %s\n", "stream", "offered", "whole", "share", "p50 ms", "p90 ms", "p99 ms", "other outcomes")
	for _, name := range slices.Sorted(maps.Keys(r.Streams)) {
		printStats(w, name, r.Streams[name])
	}
	printStats(w, "total", r.Total)
}

// printStats prints one row of the table. The column whole counts the calls that
// succeeded.
func printStats(w io.Writer, name string, s *load.StreamStats) {
	percent := 0.0
	if s.Offered > 0 {
		percent = 100 * float64(s.Successes) / float64(s.Offered)
	}
	others := maps.Clone(s.Outcomes)
	delete(others, "whole")
	fmt.Fprintf(w, "%-24s %8d %8d %6.2f%% %8.2f %8.2f %8.2f  %v\n", name, s.Offered, s.Successes, percent, s.P50Ms, s.P90Ms, s.P99Ms, others)
}
