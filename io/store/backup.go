package store

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"chicorymast/core/fault"
	"chicorymast/core/raft"
)

// ErrNotEmpty is returned for a restore into a folder that was used.
var ErrNotEmpty = errors.New("the data folder is not empty")

// Restore puts a state machine's state into a new folder. The daemons of all
// first voters must begin with the same one; they then found a new set.
func Restore(dir string, state json.RawMessage) (err error) {
	defer fault.Note(&err, "restore into %s", dir)
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	if len(entries) > 0 {
		return ErrNotEmpty
	}
	text, err := json.Marshal(raft.Snapshot{Index: 1, Term: 1, Data: state})
	if err != nil {
		return err
	}
	if err := writeSynced(filepath.Join(dir, nameSnapshot), Frame(text)); err != nil {
		return err
	}
	return syncFolder(dir)
}
