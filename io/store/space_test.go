package store

import (
	"encoding/json"
	"os"
	"testing"

	"chicorymast/core/raft"
	"chicorymast/io/event"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// disk is a disk with a number of bytes left, shared by all files. While noFiles is set,
// no file can be opened.
type disk struct {
	left    int
	noFiles bool
}

type limitedFile struct {
	File
	disk *disk
}

func (d *disk) open(path string, flags int) (File, error) {
	if d.noFiles {
		return nil, &os.PathError{Op: "open", Path: path, Err: unix.EMFILE}
	}
	f, err := OpenFile(path, flags)
	return limitedFile{f, d}, err
}

// Write writes as much as fits.
func (f limitedFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p[:min(len(p), f.disk.left)])
	f.disk.left -= n
	if err == nil && n < len(p) {
		err = unix.ENOSPC
	}
	return n, err
}

const plenty = 1 << 20

func openOn(t testing.TB, dir string, d *disk) (*Store, raft.Restored) {
	t.Helper()
	s, r, err := OpenWith(dir, event.Discard(), d.open)
	assert.NilError(t, err)
	return s, r
}

func mustRecover(t testing.TB, s *Store) raft.Restored {
	t.Helper()
	r, err := s.Recover()
	assert.NilError(t, err)
	return r
}

// A record that the disk refuses at any of its bytes must not stand in front of later
// records.
func TestDiskFullAtEachByteOfARecord(t *testing.T) {
	payload, err := json.Marshal(batch{Entries: []raft.Entry{entry(3)}})
	assert.NilError(t, err)
	for n := range len(Frame(payload)) {
		dir, d := t.TempDir(), &disk{left: plenty}
		s, _ := openOn(t, dir, d)
		saveEntries(t, s, 1, 2)
		d.left = n
		assert.ErrorIs(t, s.Save(raft.Save{Entries: []raft.Entry{entry(3)}}), ErrShortage)
		assert.ErrorIs(t, s.Save(raft.Save{Entries: []raft.Entry{entry(3)}}), ErrShortage)
		_, err = s.Recover()
		assert.ErrorIs(t, err, ErrShortage)
		d.left = plenty
		assertEntries(t, mustRecover(t, s), 1, 2)
		saveEntries(t, s, 3, 4)
		s.Close()
		s, r := openOn(t, dir, d)
		assertEntries(t, r, 1, 4)
		s.Close()
	}
}

func TestDiskFullDuringSnapshotKeepsOldState(t *testing.T) {
	for left := range 200 {
		dir, d := t.TempDir(), &disk{left: plenty}
		s, _ := openOn(t, dir, d)
		saveEntries(t, s, 1, 5)
		d.left = left
		snap := raft.Snapshot{Index: 3, Term: 1, Data: json.RawMessage(`{}`)}
		err := s.Replace(snap, raft.HardState{Term: 1}, []raft.Entry{entry(4), entry(5)})
		if err != nil {
			assert.ErrorIs(t, err, ErrShortage)
			d.left = plenty
			mustRecover(t, s)
		}
		d.left = plenty
		saveEntries(t, s, 6, 6)
		s.Close()
		s, r := openOn(t, dir, d)
		assertEntries(t, r, int(r.Snapshot.Index)+1, 6)
		s.Close()
	}
}

// A daemon at its limit of open files must write snapshots again when files are closed.
func TestTooManyOpenFilesDuringSnapshotIsRecovered(t *testing.T) {
	dir, d := t.TempDir(), &disk{left: plenty}
	s, _ := openOn(t, dir, d)
	saveEntries(t, s, 1, 5)
	d.noFiles = true
	snap := raft.Snapshot{Index: 3, Term: 1, Data: json.RawMessage(`{}`)}
	assert.ErrorIs(t, s.Replace(snap, raft.HardState{Term: 1}, nil), ErrShortage)
	_, err := s.Recover()
	assert.ErrorIs(t, err, ErrShortage)
	d.noFiles = false
	assertEntries(t, mustRecover(t, s), 1, 5)
	saveEntries(t, s, 6, 6)
	s.Close()
	s, r := openOn(t, dir, d)
	assertEntries(t, r, 1, 6)
	s.Close()
}

func TestFolderUsage(t *testing.T) {
	dir := t.TempDir()
	s, _ := openOn(t, dir, &disk{left: plenty})
	before, err := FolderUsage(dir)
	assert.NilError(t, err)
	saveEntries(t, s, 1, 100)
	after, err := FolderUsage(dir)
	assert.NilError(t, err)
	assert.Assert(t, after.Used > before.Used)
	assert.Assert(t, after.Free > 0)
	s.Close()
}

func TestFailedSyncIsNotRecovered(t *testing.T) {
	s, _, err := OpenWith(t.TempDir(), event.Discard(), openUnsynced)
	assert.NilError(t, err)
	defer s.Close()
	assert.ErrorIs(t, s.Save(raft.Save{Entries: []raft.Entry{entry(1)}}), ErrFailed)
	_, err = s.Recover()
	assert.ErrorIs(t, err, ErrFailed)
}

type unsyncedFile struct{ File }

func openUnsynced(path string, flags int) (File, error) {
	f, err := OpenFile(path, flags)
	return unsyncedFile{f}, err
}

func (unsyncedFile) Sync() error { return unix.ENOSPC }

// What was acknowledged survives any history of full disks and restarts.
func TestAcknowledgedEntriesSurviveFullDisks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		assert.NilError(rt, err)
		d := &disk{left: plenty}
		s, _ := openOn(t, dir, d)
		next := 1
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"save", "fill", "free", "restart"}).Draw(rt, "step") {
			case "save":
				if s.Save(raft.Save{Entries: []raft.Entry{entry(next)}}) == nil {
					next++
				}
			case "fill":
				d.left = rapid.IntRange(0, 120).Draw(rt, "left")
			case "free":
				d.left = plenty
				assertEntries(t, mustRecover(t, s), 1, next-1)
			case "restart":
				s.Close()
				var r raft.Restored
				s, r = openOn(t, dir, d)
				assertEntries(t, r, 1, next-1)
			}
		}
		s.Close()
	})
}
