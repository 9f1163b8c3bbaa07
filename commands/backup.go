package cmds

import (
	"encoding/json"
	"fmt"
	"os"

	"chicorymast/core/state"
	"chicorymast/io/store"
)

type backupCommand struct {
	clientOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"file to create for the backup"`
	} `positional-args:"yes" required:"true"`
}

type restoreCommand struct {
	Folder string `long:"data-folder" required:"true" description:"data folder to create for a control daemon"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"backup file"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("backup", "save the configuration to a file",
		"Saves the configuration, the key digests and the audit trail of the control daemons to a file.", &backupCommand{})
	register("restore", "create a data folder from a backup",
		"Creates the data folder of a control daemon from a backup. To restore a fleet, run it for every control daemon with the same file.", &restoreCommand{})
}

// Execute fetches the state and writes it to a file that must not exist yet.
func (c *backupCommand) Execute([]string) error {
	st, err := get[json.RawMessage](c.clientOptions, "/v1/backup")
	if err != nil {
		return err
	}
	const ownerMode = 0o600
	f, err := os.OpenFile(c.Args.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, ownerMode)
	if err != nil {
		return usageError{err}
	}
	if _, err := f.Write(st); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return f.Close()
}

// Execute creates the data folder.
func (c *restoreCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return usageError{err}
	}
	st := state.New()
	if err := json.Unmarshal(data, st); err != nil || st.Intent.Workspaces == nil {
		return usageError{fmt.Errorf("%s is not a backup file", c.Args.File)}
	}
	if err := store.Restore(c.Folder, data); err != nil {
		return err
	}
	fmt.Printf("restored revision %d to %s\n", st.Revision, c.Folder)
	return nil
}
