package cmds

import (
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
)

type drainCommand struct {
	clientOptions
	changeOptions
	Undo bool `long:"undo" description:"end the drain"`
	Args struct {
		VM ident.VM `positional-arg-name:"VM"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("drain", "drain a VM", "Stops new calls to the upstream on a VM; running calls finish.", &drainCommand{})
}

// Execute starts or ends the drain.
func (c *drainCommand) Execute([]string) error {
	id := c.id()
	req := admin.Drain{ChangeID: id, VM: c.Args.VM, Draining: !c.Undo}
	r, err := change[state.Result](c.clientOptions, id, "/v1/drains", req)
	if err != nil {
		return err
	}
	return c.printResult(r)
}
