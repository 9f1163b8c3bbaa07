package store

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"chicorymast/core/fault"
	"chicorymast/core/raft"
)

// ErrNotEmpty is returned for a restore into a folder that is not empty.
var ErrNotEmpty = errors.New("the data folder is not empty")

// Restore writes a state as the snapshot of a new data folder. All initial voters
// must start with the same state; they then bootstrap a new set.
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
	if err := OpenFunc(nil).writeSynced(filepath.Join(dir, nameSnapshot), Frame(text)); err != nil {
		return err
	}
	return syncFolder(dir)
}
