package cmds

import (
	"fmt"
	"io"

	"chicorymast/io/admin"
)

type statusCommand struct{ clientOptions }

func init() {
	register("status", "print the status of the fleet",
		"Prints the revision, on how many VMs it is in force, the VMs that are behind, and the services.", &statusCommand{})
}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	s, err := get[admin.Status](c.clientOptions, "/v1/status")
	if err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) {
		if !s.Ready {
			fmt.Fprintln(w, "this daemon has no confirmed configuration yet")
			return
		}
		fmt.Fprintf(w, "revision %d in force on %d of %d VMs, confirmed by %s %d ms ago\n", s.Revision, s.InForce, s.Members, s.Source, s.AgeMs)
		for _, vm := range s.Behind {
			fmt.Fprintf(w, "  behind: %s\n", vm)
		}
		for _, address := range s.Unreachable {
			fmt.Fprintf(w, "  no response from the relay at %s: its VMs are not counted\n", address)
		}
		for _, service := range s.Services {
			fmt.Fprintf(w, "  service %s: %d upstreams, %d slots\n", service.Service, service.Upstreams, service.Slots)
		}
	})
}
