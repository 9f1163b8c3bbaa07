package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"chicorymast/io/admin"
)

type showCommand struct{ clientOptions }

func init() {
	register("show", "print the configuration in force", "Prints the configuration in force with its revision.", &showCommand{})
}

// Execute prints the configuration.
func (c *showCommand) Execute([]string) error {
	conf, err := get[admin.Configuration](c.clientOptions, "/v1/configuration")
	if err != nil {
		return err
	}
	return c.print(conf, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d, digest %s\n", conf.Revision, conf.Digest)
		for _, dc := range slices.Sorted(maps.Keys(conf.Evacuations)) {
			fmt.Fprintf(w, "data centre %s is evacuated\n", dc)
		}
		text, err := json.MarshalIndent(conf.Intent, "", "  ")
		if err == nil {
			fmt.Fprintln(w, string(text))
		}
	})
}
