package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chicorymast/core/state"
	"chicorymast/io/admin"
)

type confirmCommand struct {
	clientOptions
	changeOptions
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"file written by plan --out"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("confirm", "put a plan in force",
		"Puts a plan in force. Of several plans on one revision the first to be confirmed is accepted; the others get a conflict that names it.", &confirmCommand{})
}

// Execute sends the confirmation.
func (c *confirmCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.Plan)
	if err != nil {
		return usageError{err}
	}
	var plan admin.Plan
	if err := json.Unmarshal(data, &plan); err != nil {
		return usageError{fmt.Errorf("%s is not a plan: %w", c.Args.Plan, err)}
	}
	id := c.id()
	req := admin.Confirmation{ChangeID: id, Base: plan.Base, Patch: plan.Patch}
	r, err := change[state.Result](c.clientOptions, id, "/v1/confirmations", req)
	if err != nil {
		return err
	}
	return c.printResult(r)
}

func (o clientOptions) printResult(r state.Result) error {
	return o.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d (change %s)\n", r.Revision, r.ChangeID)
	})
}
