package cmds

import (
	"fmt"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type changesCommand struct {
	clientOptions
	Count int           `long:"count" default:"100" description:"number of changes"`
	Pause time.Duration `long:"pause" description:"pause between changes"`
	Label string        `long:"label" default:"changes" description:"prefix of the change identifiers"`
}

func init() {
	register("changes", "measure the latency of changes (trials)",
		"Makes many small changes one after another and prints the latency until they are accepted.", &changesCommand{})
}

// Execute makes the changes, each of which ends the drain of a VM that does not
// exist, and prints the latency percentiles.
func (c *changesCommand) Execute([]string) error {
	const maxMicros, digits = int64(time.Minute / time.Microsecond), 3
	hist := hdrhistogram.New(1, maxMicros, digits)
	started := time.Now()
	for i := range c.Count {
		id := ident.ChangeID(fmt.Sprintf("%s-%d", c.Label, i))
		sent := time.Now()
		req := admin.Drain{ChangeID: id, VM: "nobody"}
		if _, err := change[state.Result](c.clientOptions, id, "/v1/drains", req); err != nil {
			return err
		}
		if err := hist.RecordValue(max(1, time.Since(sent).Microseconds())); err != nil {
			return err
		}
		time.Sleep(c.Pause)
	}
	ms := func(percentile float64) float64 { return float64(hist.ValueAtQuantile(percentile)) / 1000 }
	fmt.Printf("changes=%d seconds=%.2f accept_p50_ms=%.2f accept_p99_ms=%.2f\n", c.Count, time.Since(started).Seconds(), ms(50), ms(99))
	return nil
}
