package cmds

import (
	"fmt"
	"io"

	"chicorymast/core/ident"
	"chicorymast/io/admin"
	"chicorymast/io/wire"
)

type controlCommand struct{}

type controlListCommand struct{ clientOptions }

type controlAddCommand struct {
	clientOptions
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"control address of the new daemon, as IP:port"`
	} `positional-args:"yes" required:"true"`
}

type controlRemoveCommand struct {
	clientOptions
	Args struct {
		Node ident.Node `positional-arg-name:"NODE" description:"as printed by control list"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("control", "list, add and remove control daemons",
		"Lists, adds and removes control daemons, one at a time.", &controlCommand{})
	registerUnder("control", "list", "list control daemons",
		"Lists voters and learners and how many log entries each is behind.", &controlListCommand{})
	registerUnder("control", "add", "add a control daemon",
		"Adds a control daemon that was started with an empty data folder and waits for it. It becomes a voter once it has the complete log.", &controlAddCommand{})
	registerUnder("control", "remove", "remove a control daemon",
		"Removes a control daemon. Refused if the remaining control daemons that respond would not be a majority.", &controlRemoveCommand{})
}

// Execute lists the control daemons.
func (c *controlListCommand) Execute([]string) error {
	reply, err := get[wire.MembershipReply](c.clientOptions, "/v1/control")
	if err != nil {
		return err
	}
	return c.printMembership(reply)
}

// Execute adds a control daemon.
func (c *controlAddCommand) Execute([]string) error {
	return changeControl(c.clientOptions, admin.ControlChange{Op: wire.MembershipAdd, Address: c.Args.Address})
}

// Execute removes a control daemon.
func (c *controlRemoveCommand) Execute([]string) error {
	return changeControl(c.clientOptions, admin.ControlChange{Op: wire.MembershipRemove, Node: c.Args.Node})
}

func changeControl(o clientOptions, req admin.ControlChange) error {
	reply, err := call[wire.MembershipReply](o, "POST", "/v1/control", req)
	if err != nil {
		return err
	}
	return o.printMembership(reply)
}

func (o clientOptions) printMembership(reply wire.MembershipReply) error {
	return o.print(reply, func(w io.Writer) {
		for _, m := range reply.Voters {
			printControlDaemon(w, "voter", m)
		}
		for _, m := range reply.Learners {
			printControlDaemon(w, "learner", m)
		}
	})
}

func printControlDaemon(w io.Writer, kind string, m wire.ControlDaemon) {
	suffix := ""
	if m.Leading {
		suffix = "  leads"
	}
	fmt.Fprintf(w, "%-8s %-28s %-22s %d entries behind%s\n", kind, m.Node, m.Address, m.EntriesBehind, suffix)
}
