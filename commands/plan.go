package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"chicorymast/io/admin"
)

type planCommand struct {
	clientOptions
	Out  string `long:"out" description:"file for the plan, to be used with confirm"`
	Args struct {
		Intent string `positional-arg-name:"INTENT" description:"intent file"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("plan", "preview the changes of an intent",
		"Prints the changes that confirming the intent would make, the workspaces concerned and warnings. It does not change the configuration.", &planCommand{})
}

// Execute requests a plan for the intent and prints it.
func (c *planCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.Intent)
	if err != nil {
		return usageError{err}
	}
	req := admin.PlanRequest{Name: filepath.Base(c.Args.Intent), Text: string(text)}
	plan, err := call[admin.Plan](c.clientOptions, "POST", "/v1/plans", req)
	if err != nil {
		return err
	}
	if err := c.save(plan); err != nil {
		return err
	}
	return c.print(plan, func(w io.Writer) { printPlan(w, plan) })
}

func (c *planCommand) save(plan admin.Plan) error {
	if c.Out == "" {
		return nil
	}
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(c.Out, data, mode)
}

func printPlan(w io.Writer, plan admin.Plan) {
	fmt.Fprintf(w, "on revision %d:\n", plan.Base)
	if len(plan.Changes) == 0 {
		fmt.Fprintln(w, "  nothing changes")
	}
	for _, ch := range plan.Changes {
		fmt.Fprintf(w, "  %-6s %s %s", ch.Verb, ch.Kind, ch.Name)
		if ch.Detail != "" {
			fmt.Fprintf(w, ": %s", ch.Detail)
		}
		if len(ch.Workspaces) > 0 {
			fmt.Fprintf(w, " (concerns %v)", ch.Workspaces)
		}
		fmt.Fprintln(w)
	}
	for _, warning := range plan.Warnings {
		fmt.Fprintln(w, "  warning:", warning)
	}
}
