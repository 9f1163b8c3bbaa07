package cmds

import (
	"fmt"
	"os"

	"chicorymast/config"
	"chicorymast/core/intent"
)

type checkCommand struct {
	Config string `long:"config" short:"c" description:"settings file to check"`
	Intent string `long:"intent" description:"intent file to check"`
}

func init() {
	register("check", "check files", "Checks a settings file or an intent file without a daemon.", &checkCommand{})
}

// Execute checks the files named.
func (c *checkCommand) Execute([]string) error {
	if c.Config == "" && c.Intent == "" {
		return usageError{fmt.Errorf("name a file with --config or --intent")}
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
