package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

type faultCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"address of a stub upstream, as IP:port"`
		Faults  string `positional-arg-name:"FAULTS" description:"faults to inject as JSON, for instance {\"slow\":10}; {} ends them"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("fault", "inject faults into a stub upstream (trials)",
		"Sets the faults that a stub upstream injects into its responses.", &faultCommand{})
}

// Execute sets the faults.
func (c *faultCommand) Execute([]string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+c.Args.Address+"/-/faults", strings.NewReader(c.Args.Faults))
	if err != nil {
		return usageError{err}
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the stub upstream responded with HTTP status %d", resp.StatusCode)
	}
	return nil
}
