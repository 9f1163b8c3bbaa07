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
		File string `positional-arg-name:"FILE" description:"new file for the backup"`
	} `positional-args:"yes" required:"true"`
}

type restoreCommand struct {
	Folder string `long:"data-folder" required:"true" description:"new data folder of a control daemon"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"file written by backup"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("backup", "save the configuration to a file",
		"Saves the configuration, the keys' digests and the audit trail of a control daemon to a file.", &backupCommand{})
	register("restore", "make a data folder from a backup",
		"Makes a new data folder from a backup. Do so for every control daemon of a new set, with the same file.", &restoreCommand{})
}

// Execute fetches the state and writes it to a file that is not there yet.
func (c *backupCommand) Execute([]string) error {
	st, err := get[json.RawMessage](c.clientOptions, "/v1/backup")
	if err != nil {
		return err
	}
	const ownerOnly = 0o600
	f, err := os.OpenFile(c.Args.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, ownerOnly)
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

// Execute makes the folder.
func (c *restoreCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return usageError{err}
	}
	st := state.New()
	if err := json.Unmarshal(data, st); err != nil || st.Intent.Workspaces == nil {
		return usageError{fmt.Errorf("%s is not a backup", c.Args.File)}
	}
	if err := store.Restore(c.Folder, data); err != nil {
		return err
	}
	fmt.Printf("revision %d is in %s\n", st.Revision, c.Folder)
	return nil
}
