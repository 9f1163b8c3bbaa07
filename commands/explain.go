package cmds

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"time"

	"chicorymast/io/lines"
)

type explainCommand struct {
	Reasons bool `long:"reasons" description:"sum all refusals by second, reason, route, service, deciding VM and age of inputs"`
	Args    struct {
		Words []string `positional-arg-name:"ID FILES" description:"request, VM, upstream or revision, then log files; standard input without files"`
	} `positional-args:"yes"`
}

func init() {
	register("explain", "tell what the logs say about a request",
		"Reads the logs of daemons, plain or gzip, and prints the lines about one request and all calls made for it, or about a VM, "+
			"an upstream or a revision, in order. Differing clocks are put in line by what daemons sent each other. "+
			"With --reasons, all words are files.", &explainCommand{})
}

// Execute prints the lines about an identifier, or the sums of refusals.
func (c *explainCommand) Execute([]string) error {
	if c.Reasons {
		return printReasons(c.Args.Words)
	}
	if len(c.Args.Words) == 0 {
		return usageError{errors.New("name a request, a VM, an upstream or a revision, or use --reasons")}
	}
	logs, err := lines.ReadFiles(c.Args.Words[1:])
	if err != nil {
		return err
	}
	story := lines.About(logs, c.Args.Words[0])
	if len(story) == 0 {
		return fmt.Errorf("no line is about %s; lines may have been left out (event 1909)", c.Args.Words[0])
	}
	out := bufio.NewWriter(os.Stdout)
	for vm, d := range lines.Align(story) {
		fmt.Fprintf(out, "clock of %s: %+.3f s\n", vm, d.Seconds())
	}
	first := story[0].Time
	for _, l := range story {
		fmt.Fprintf(out, "%s %+9.3f s  %s\n", l.Time.Format("15:04:05.000"), l.Time.Sub(first).Seconds(), l)
	}
	return out.Flush()
}

func printReasons(paths []string) error {
	logs, err := lines.ReadFiles(paths)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	fmt.Fprintf(out, "%-10s %6s  %-20s %-12s %-12s %-8s %s\n", "second", "count", "reason", "route", "service", "age", "vm")
	for _, s := range lines.Reasons(logs) {
		fmt.Fprintf(out, "%-10s %6d  %-20s %-12s %-12s %-8s %s\n", s.Second.Format(time.TimeOnly), s.Count, s.Reason, s.Route, s.Service, s.Age, s.VM)
	}
	return out.Flush()
}
