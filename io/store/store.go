// Package store persists the state of a control daemon in its data folder.
//
// # Usage
//
//	s, restored, err := store.Open("/var/lib/chicorymast", log)
//	err = s.Save(raft.Save{...}) // durable when it returns
//	err = s.Replace(snapshot, hard, entries)
//	s.Close()
//
// The folder holds four files: identity (the node's identity), snapshot (the
// latest one), log (the entries after the snapshot) and lock. A record of the
// log is a header with length and checksums, then JSON. Every write is synced
// before it is acknowledged, both the file and the folder. An incomplete record
// at the end is truncated; damage before the end is ErrCorrupt, and the daemon
// does not start. After a failed write or sync the store refuses all writes,
// since the content of the disk is unknown.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"chicorymast/core/fault"
	"chicorymast/core/raft"
	"chicorymast/io/event"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Errors of the store.
var (
	ErrCorrupt = errors.New("the log is damaged before its end; restore a backup, or empty the folder and add this VM as a new control daemon")
	ErrLocked  = errors.New("another process uses the data folder")
	ErrFailed  = errors.New("an earlier write to the data folder failed")
)

const (
	nameLog      = "log"
	nameSnapshot = "snapshot"
	nameIdentity = "identity"
	nameLock     = "lock"
	folderMode   = 0o700
	fileMode     = 0o600
)

// Store is an open data folder.
type Store struct {
	dir  string
	log  *event.Log
	lock *os.File

	mu     sync.Mutex
	file   *os.File
	failed bool
}

// batch is the payload of one log record: all that one Save writes.
type batch struct {
	HardState *raft.HardState `json:"hard,omitempty"`
	Entries   []raft.Entry    `json:"entries,omitempty"`
}

// Open locks the folder and reads its content.
func Open(dir string, log *event.Log) (s *Store, r raft.Restored, err error) {
	defer fault.Note(&err, "open data folder %s", dir)
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, r, err
	}
	s = &Store{dir: dir, log: log}
	if err := s.acquireLock(); err != nil {
		return nil, r, err
	}
	r, err = s.load()
	if err != nil {
		s.Close()
		return nil, r, err
	}
	return s, r, nil
}

func (s *Store) acquireLock() error {
	f, err := os.OpenFile(s.path(nameLock), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("%w: %s", ErrLocked, s.dir)
	}
	s.lock = f
	return nil
}

func (s *Store) path(name string) string {
	return filepath.Join(s.dir, name)
}

func (s *Store) load() (r raft.Restored, err error) {
	if err := s.readSnapshot(&r.Snapshot); err != nil {
		return r, err
	}
	f, err := os.OpenFile(s.path(nameLog), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return r, err
	}
	s.file = f
	data, err := os.ReadFile(s.path(nameLog))
	if err != nil {
		return r, err
	}
	valid, err := Scan(data, func(payload []byte) error { return merge(&r, payload) })
	if err != nil {
		s.log.Emit(event.LogCorrupt, zap.Int("offset", valid), zap.Error(err))
		return r, err
	}
	if err := s.truncateTail(valid, len(data)); err != nil {
		return r, err
	}
	return r, syncFolder(s.dir)
}

func (s *Store) truncateTail(valid, size int) error {
	if valid < size {
		s.log.Emit(event.LogTailTruncated, zap.Int("offset", valid), zap.Int("bytes", size-valid))
		if err := s.file.Truncate(int64(valid)); err != nil {
			return err
		}
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	_, err := s.file.Seek(int64(valid), 0)
	return err
}

// merge applies one log record to the restored state.
func merge(r *raft.Restored, payload []byte) error {
	var b batch
	if err := json.Unmarshal(payload, &b); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if b.HardState != nil {
		r.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		if err := mergeEntry(r, e); err != nil {
			return err
		}
	}
	return nil
}

func mergeEntry(r *raft.Restored, e raft.Entry) error {
	if e.Index <= r.Snapshot.Index {
		return nil
	}
	at := int(e.Index - r.Snapshot.Index - 1)
	if at > len(r.Entries) {
		return fmt.Errorf("%w: entry %d follows entry %d", ErrCorrupt, e.Index, int(r.Snapshot.Index)+len(r.Entries))
	}
	r.Entries = append(r.Entries[:at], e)
	return nil
}

// Save appends what Raft asks to save; it is durable when Save returns nil.
func (s *Store) Save(v raft.Save) (err error) {
	defer fault.Note(&err, "save to %s", s.dir)
	payload, err := json.Marshal(batch{HardState: v.HardState, Entries: v.Entries})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return ErrFailed
	}
	if _, err = s.file.Write(Frame(payload)); err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		s.fail(err)
	}
	return err
}

func (s *Store) fail(err error) {
	s.failed = true
	s.log.Emit(event.StoreWriteFailed, zap.Error(err))
}

// Replace writes a snapshot and a new log with the entries after it.
func (s *Store) Replace(snap raft.Snapshot, hard raft.HardState, entries []raft.Entry) (err error) {
	defer fault.Note(&err, "replace log in %s", s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return ErrFailed
	}
	if err = s.rewrite(snap, hard, entries); err != nil {
		s.fail(err)
		return err
	}
	s.log.Emit(event.SnapshotWritten, zap.Uint64("index", uint64(snap.Index)))
	return nil
}

func (s *Store) rewrite(snap raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	text, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	if err := writeSynced(s.path(nameSnapshot), Frame(text)); err != nil {
		return err
	}
	payload, err := json.Marshal(batch{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := writeSynced(s.path(nameLog), Frame(payload)); err != nil {
		return err
	}
	if err := syncFolder(s.dir); err != nil {
		return err
	}
	return s.reopen()
}

func (s *Store) reopen() error {
	_ = s.file.Close()
	f, err := os.OpenFile(s.path(nameLog), os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	s.file = f
	return nil
}

func (s *Store) readSnapshot(dst *raft.Snapshot) error {
	data, err := os.ReadFile(s.path(nameSnapshot))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	records := 0
	valid, err := Scan(data, func(payload []byte) error {
		records++
		return json.Unmarshal(payload, dst)
	})
	if err != nil || valid != len(data) || records != 1 {
		return fmt.Errorf("snapshot: %w", ErrCorrupt)
	}
	return nil
}

// Close closes the log and releases the lock.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	if s.file != nil {
		_ = s.file.Close()
	}
	_ = s.lock.Close()
}

// writeSynced replaces a file so that after a crash it holds either the old or
// the new content.
func writeSynced(path string, data []byte) error {
	next := path + ".next"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(next, path)
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
