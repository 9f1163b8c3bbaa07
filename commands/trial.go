package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"chicorymast/core/ident"
	"chicorymast/io/trial"
)

type trialCommand struct {
	Layout   string `long:"layout" default:"small" description:"layout of the fleet: small, mapa or coinex"`
	Scenario string `long:"scenario" description:"scenario to run, for the layouts mapa and coinex"`
	Mode     string `long:"mode" choice:"managed" choice:"pass_through" default:"managed" description:"mode of the daemons"`
	Args     struct {
		Dir string `positional-arg-name:"DIR" description:"folder to create for the files"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("trial", "write the files of a trial fleet",
		"Writes the settings, intent, load plans and process list of a small fleet on loopback. contrib/fleet.sh starts the processes.", &trialCommand{})
}

// Execute writes the files.
func (c *trialCommand) Execute([]string) error {
	layout, err := trial.LayoutByName(c.Layout)
	if errors.Is(err, trial.ErrUnknownLayout) {
		return usageError{fmt.Errorf("%w %q", err, c.Layout)}
	}
	layout.Mode = c.Mode
	if c.Scenario != "" {
		scenario, ok := trial.Scenarios(layout)[c.Scenario]
		if !ok {
			return usageError{fmt.Errorf("unknown scenario %q; available scenarios: %v", c.Scenario, trial.ScenarioNames(layout))}
		}
		layout = layout.WithScenario(scenario)
	}
	dir, err := filepath.Abs(c.Args.Dir)
	if err != nil {
		return usageError{err}
	}
	const dirMode = 0o755
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return usageError{err}
	}
	token := newSecret()
	if err := writeSecret(filepath.Join(dir, "token"), token); err != nil {
		return err
	}
	fleet, err := trial.Write(dir, layout, string(ident.DigestKey(token)))
	if err != nil {
		return err
	}
	fmt.Printf("wrote the files of %d daemons and %d stub upstreams to %s\n", len(fleet.Daemons), len(fleet.Stubs), dir)
	return nil
}
