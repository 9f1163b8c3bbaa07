package cmds

import (
	"fmt"
	"os"

	"chicorymast/config"
	"chicorymast/core/intent"
)

type checkCommand struct {
	Config string `long:"config" short:"c" description:"settings file to validate"`
	Intent string `long:"intent" description:"intent file to validate"`
}

func init() {
	register("check", "validate files",
		"Validates a settings file or an intent file without contacting a daemon.", &checkCommand{})
}

// Execute validates the given files.
func (c *checkCommand) Execute([]string) error {
	if c.Config == "" && c.Intent == "" {
		return usageError{fmt.Errorf("no file given: use --config or --intent")}
	}
	if c.Config != "" {
		if _, err := config.Load(c.Config); err != nil {
			return err
		}
		fmt.Println(c.Config, "is valid")
	}
	if c.Intent == "" {
		return nil
	}
	data, err := os.ReadFile(c.Intent)
	if err != nil {
		return usageError{err}
	}
	if _, err := intent.Parse(c.Intent, data); err != nil {
		return err
	}
	fmt.Println(c.Intent, "is valid")
	return nil
}
