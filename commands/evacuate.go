package cmds

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
)

type evacuateCommand struct {
	clientOptions
	changeOptions
	Undo bool `long:"undo" description:"end the evacuation"`
	Yes  bool `long:"yes" description:"confirm without asking"`
	Args struct {
		DataCentre ident.DataCentre `positional-arg-name:"DATA_CENTRE"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("evacuate", "evacuate a data centre",
		"Stops new calls to all upstreams in a data centre; running calls finish, and callers there are served by upstreams elsewhere. "+
			"Shows first what remains of each service and asks for confirmation.", &evacuateCommand{})
}

var errNotConfirmed = errors.New("not confirmed; nothing was changed")

// Execute shows the plan, asks for confirmation and starts or ends the evacuation. The plan
// and the question go to standard error, the result to standard output.
func (c *evacuateCommand) Execute([]string) error {
	req := admin.EvacuationRequest{DataCentre: c.Args.DataCentre, Evacuating: !c.Undo}
	plan, err := call[admin.EvacuationPlan](c.clientOptions, "POST", "/v1/evacuations/plan", req)
	if err != nil {
		return err
	}
	printEvacuationPlan(os.Stderr, plan)
	if !c.Yes && !askConfirmation(os.Stderr, os.Stdin) {
		return errNotConfirmed
	}
	id := c.id()
	order := admin.Evacuation{ChangeID: id, Base: plan.Base, DataCentre: plan.DataCentre, Evacuating: plan.Evacuating}
	r, err := change[state.Result](c.clientOptions, id, "/v1/evacuations", order)
	if err != nil {
		return err
	}
	return c.printResult(r)
}

// printEvacuationPlan prints the services that have upstreams in the data centre.
func printEvacuationPlan(w io.Writer, plan admin.EvacuationPlan) {
	what := "evacuates"
	if !plan.Evacuating {
		what = "ends the evacuation of"
	}
	fmt.Fprintf(w, "%s %s, on revision %d:\n", what, plan.DataCentre, plan.Base)
	concerned := 0
	for _, s := range plan.Services {
		if s.UpstreamsThere == 0 {
			continue
		}
		concerned++
		fmt.Fprintf(w, "  service %s: %d upstreams there with %d slots; %d with %d slots will take calls\n",
			s.Service, s.UpstreamsThere, s.SlotsThere, s.Upstreams, s.Slots)
	}
	if concerned == 0 {
		fmt.Fprintln(w, "  no service has upstreams there")
	}
	for _, warning := range plan.Warnings {
		fmt.Fprintln(w, "  warning:", warning)
	}
}

// askConfirmation reports whether the answer to the question is yes.
func askConfirmation(w io.Writer, answers io.Reader) bool {
	fmt.Fprint(w, "Type yes to confirm: ")
	answer, err := bufio.NewReader(answers).ReadString('\n')
	if err != nil {
		fmt.Fprintln(w)
	}
	return strings.TrimSpace(answer) == "yes"
}
