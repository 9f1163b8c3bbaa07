// Package store persists the state of a control daemon in its data folder.
//
// # Usage
//
//	s, restored, err := store.Open("/var/lib/chicorymast", log)
//	err = s.Save(raft.Save{...}) // durable when it returns
//	err = s.Replace(snapshot, hard, entries)
//	restored, err = s.Recover()  // after ErrShortage
//	s.Close()
//
// The folder holds four files: identity (the node's identity), snapshot (the
// latest one), log (the entries after the snapshot) and lock. A record of the
// log is a header with length and checksums, then JSON. Every write is synced
// before it is acknowledged, both the file and the folder. An incomplete record
// at the end is truncated; damage before the end is ErrCorrupt, and the daemon
// does not start.
//
// Two kinds of failed writes are told apart. One that fails for lack of space or of open
// files puts nothing in doubt: the store refuses writes with ErrShortage until Recover
// has cut off what was written of it and succeeded with a synced write. After any
// other failed write, and after a failed sync of the log, the content of the disk is
// unknown, and the store refuses all writes with ErrFailed.
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
	ErrCorrupt  = errors.New("the log is damaged before its end; restore a backup, or empty the folder and add this VM as a new control daemon")
	ErrLocked   = errors.New("another process uses the data folder")
	ErrFailed   = errors.New("an earlier write to the data folder failed")
	ErrShortage = errors.New("the data folder can't be written for lack of space or open files")
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

	mu   sync.Mutex
	fs   OpenFunc
	file File
	// refusal is why the store refuses writes, nil if it does not.
	refusal error
}

// batch is the payload of one log record: all that one Save writes.
type batch struct {
	HardState *raft.HardState `json:"hard,omitempty"`
	Entries   []raft.Entry    `json:"entries,omitempty"`
}

// Open locks the folder and reads its content.
func Open(dir string, log *event.Log) (s *Store, r raft.Restored, err error) {
	return OpenWith(dir, log, nil)
}

// OpenWith is Open with a function that opens the files.
func OpenWith(dir string, log *event.Log, open OpenFunc) (s *Store, r raft.Restored, err error) {
	defer fault.Note(&err, "open data folder %s", dir)
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, r, err
	}
	s = &Store{dir: dir, log: log, fs: open}
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
	if err := s.openLog(); err != nil {
		return r, err
	}
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

func (s *Store) openLog() (err error) {
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, err = s.fs.open(s.path(nameLog), os.O_CREATE|os.O_RDWR|os.O_APPEND)
	return err
}

func (s *Store) truncateTail(valid, size int) error {
	if valid == size {
		return nil
	}
	s.log.Emit(event.LogTailTruncated, zap.Int("offset", valid), zap.Int("bytes", size-valid))
	if err := s.file.Truncate(int64(valid)); err != nil {
		return err
	}
	return s.file.Sync()
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
	if s.refusal != nil {
		return s.refusal
	}
	return s.append(payload)
}

// append writes a record to the log and syncs it; the mutex must be held.
func (s *Store) append(payload []byte) error {
	if _, err := s.file.Write(Frame(payload)); err != nil {
		return s.fail(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.failForGood(err)
	}
	return nil
}

// fail makes the store refuse writes after a failed one and returns the reason.
func (s *Store) fail(err error) error {
	if !isShortage(err) {
		return s.failForGood(err)
	}
	if s.refusal == nil {
		s.log.Emit(event.StoreShortage, zap.Error(err))
	}
	s.refusal = ErrShortage
	return ErrShortage
}

func (s *Store) failForGood(err error) error {
	s.refusal = ErrFailed
	s.log.Emit(event.StoreWriteFailed, zap.Error(err))
	return ErrFailed
}

// Recover ends the refusal of writes after a shortage and returns the content of the
// folder. Errors: ErrShortage while it lasts, ErrFailed.
func (s *Store) Recover() (r raft.Restored, err error) {
	defer fault.Note(&err, "recover data folder %s", s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.refusal, ErrFailed) {
		return r, ErrFailed
	}
	if r, err = s.load(); err != nil {
		return r, s.fail(err)
	}
	payload, err := json.Marshal(batch{})
	if err != nil {
		return r, err
	}
	if err := s.append(payload); err != nil {
		return r, err
	}
	s.refusal = nil
	s.log.Emit(event.StoreWritable)
	return r, nil
}

// Replace writes a snapshot and a new log with the entries after it.
func (s *Store) Replace(snap raft.Snapshot, hard raft.HardState, entries []raft.Entry) (err error) {
	defer fault.Note(&err, "replace log in %s", s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusal != nil {
		return s.refusal
	}
	if err = s.rewrite(snap, hard, entries); err != nil {
		return s.fail(err)
	}
	s.log.Emit(event.SnapshotWritten, zap.Uint64("index", uint64(snap.Index)))
	return nil
}

func (s *Store) rewrite(snap raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	text, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	if err := s.fs.writeSynced(s.path(nameSnapshot), Frame(text)); err != nil {
		return err
	}
	// The log must not lose entries before the snapshot that holds them is durable.
	if err := syncFolder(s.dir); err != nil {
		return err
	}
	payload, err := json.Marshal(batch{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.fs.writeSynced(s.path(nameLog), Frame(payload)); err != nil {
		return err
	}
	if err := syncFolder(s.dir); err != nil {
		return err
	}
	return s.openLog()
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
	s.refusal = ErrFailed
	if s.file != nil {
		_ = s.file.Close()
	}
	_ = s.lock.Close()
}
