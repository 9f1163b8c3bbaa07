package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chicorymast/io/load"
)

type reportCommand struct {
	Direct  string `long:"direct" required:"true" description:"load result without daemons"`
	Managed string `long:"managed" required:"true" description:"load result with daemons"`
	Hops    int    `long:"hops" default:"1" description:"length of the call chain"`
}

func init() {
	register("report", "compare two load results (trials)",
		"Compares a load through daemons with the same load sent directly to the stub upstreams.", &reportCommand{})
}

// Execute prints the comparison.
func (c *reportCommand) Execute([]string) error {
	direct, err := readResult(c.Direct)
	if err != nil {
		return err
	}
	managed, err := readResult(c.Managed)
	if err != nil {
		return err
	}
	fmt.Println("directly to the stub upstreams:")
	printLoad(os.Stdout, direct)
	fmt.Println("\nthrough the daemons:")
	printLoad(os.Stdout, managed)
	c.compare(os.Stdout, direct.Total, managed.Total)
	if managed.Total.Successes == 0 {
		return fmt.Errorf("no call succeeded")
	}
	return nil
}

func (c *reportCommand) compare(w io.Writer, direct, managed *load.StreamStats) {
	perHop := func(a, b float64) float64 { return (b - a) / float64(c.Hops) }
	ratio := func(a, b float64) float64 { return b / max(a, 0.001) }
	fmt.Fprintf(w, "\ngoodput: %.2f%% direct, %.2f%% managed\n", share(direct), share(managed))
	fmt.Fprintf(w, "added per hop, %d hops: p50 %.2f ms (x%.2f of the whole), p90 %.2f ms (x%.2f), p99 %.2f ms (x%.2f)\n", c.Hops,
		perHop(direct.P50Ms, managed.P50Ms), ratio(direct.P50Ms, managed.P50Ms),
		perHop(direct.P90Ms, managed.P90Ms), ratio(direct.P90Ms, managed.P90Ms),
		perHop(direct.P99Ms, managed.P99Ms), ratio(direct.P99Ms, managed.P99Ms))
	for reason, n := range managed.Outcomes {
		if reason != "whole" {
			fmt.Fprintf(w, "not whole: %s %d\n", reason, n)
		}
	}
}

// share returns the share of calls that succeeded, in percent.
func share(s *load.StreamStats) float64 {
	return 100 * float64(s.Successes) / float64(max(1, s.Offered))
}

func readResult(path string) (r *load.Result, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, usageError{fmt.Errorf("%s is not a load result: %w", path, err)}
	}
	return r, nil
}
