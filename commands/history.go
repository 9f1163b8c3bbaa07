package cmds

import (
	"fmt"
	"io"
	"time"

	"chicorymast/core/state"
)

type historyCommand struct {
	clientOptions
	Limit int `long:"limit" default:"50" description:"maximum number of changes"`
}

func init() {
	register("history", "print the audit trail",
		"Prints accepted and refused changes, newest first, with revision, time, kind, outcome, operator and change id.", &historyCommand{})
}

// Execute prints the audit trail.
func (c *historyCommand) Execute([]string) error {
	results, err := get[[]state.Result](c.clientOptions, fmt.Sprintf("/v1/history?limit=%d", c.Limit))
	if err != nil {
		return err
	}
	return c.print(results, func(w io.Writer) {
		for _, r := range results {
			at := time.UnixMilli(r.AtMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%6d  %s  %-12s %-9s by %s, change %s %s\n", r.Revision, at, r.Kind, r.Outcome, r.Actor, r.ChangeID, r.Detail)
		}
	})
}
