package store

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"chicorymast/core/raft"
	"chicorymast/io/event"

	"gotest.tools/v3/assert"
)

func openStore(t testing.TB, dir string) (*Store, raft.Restored) {
	t.Helper()
	s, r, err := Open(dir, event.Discard())
	assert.NilError(t, err)
	return s, r
}

func entry(i int) raft.Entry {
	return raft.Entry{Index: raft.Index(i), Term: 1, Kind: raft.EntryCommand, Data: json.RawMessage(fmt.Sprintf(`"c%d"`, i))}
}

func saveEntries(t testing.TB, s *Store, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		assert.NilError(t, s.Save(raft.Save{Entries: []raft.Entry{entry(i)}}))
	}
}

func assertEntries(t testing.TB, r raft.Restored, from, to int) {
	t.Helper()
	assert.Equal(t, len(r.Entries), to-from+1)
	for i, e := range r.Entries {
		assert.Equal(t, e.Index, raft.Index(from+i))
		assert.Equal(t, string(e.Data), string(entry(from+i).Data))
	}
}

func TestReopenRestoresSavedState(t *testing.T) {
	dir := t.TempDir()
	s, r := openStore(t, dir)
	assert.Equal(t, len(r.Entries), 0)
	assert.NilError(t, s.Save(raft.Save{HardState: &raft.HardState{Term: 7, Vote: "b"}}))
	saveEntries(t, s, 1, 5)
	s.Close()
	s, r = openStore(t, dir)
	defer s.Close()
	assert.DeepEqual(t, r.HardState, raft.HardState{Term: 7, Vote: "b"})
	assertEntries(t, r, 1, 5)
}

func TestEntriesReplaceConflictingTail(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	saveEntries(t, s, 1, 5)
	changed := entry(3)
	changed.Term = 2
	assert.NilError(t, s.Save(raft.Save{Entries: []raft.Entry{changed}}))
	s.Close()
	s, r := openStore(t, dir)
	defer s.Close()
	assert.Equal(t, len(r.Entries), 3)
	assert.Equal(t, r.Entries[2].Term, raft.Term(2))
}

// Whatever part of the last record is on the disk, the records before it are
// restored, and new ones can be appended.
func TestIncompleteLastRecordIsTruncated(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	saveEntries(t, s, 1, 3)
	s.Close()
	complete, err := os.ReadFile(filepath.Join(dir, nameLog))
	assert.NilError(t, err)
	last := len(Frame([]byte(mustJSON(t, batch{Entries: []raft.Entry{entry(3)}}))))
	for cut := 1; cut < last; cut += 7 {
		truncatedDir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(truncatedDir, nameLog), complete[:len(complete)-cut], fileMode))
		s, r := openStore(t, truncatedDir)
		assertEntries(t, r, 1, 2)
		saveEntries(t, s, 3, 4)
		s.Close()
		s, r = openStore(t, truncatedDir)
		assertEntries(t, r, 1, 4)
		s.Close()
	}
}

func mustJSON(t testing.TB, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(data)
}

// A flipped bit anywhere before the last record must be detected, also in a
// length, which would make the rest look like an incomplete record.
func TestDamageBeforeTheEndIsDetected(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	saveEntries(t, s, 1, 3)
	s.Close()
	complete, err := os.ReadFile(filepath.Join(dir, nameLog))
	assert.NilError(t, err)
	last := len(Frame([]byte(mustJSON(t, batch{Entries: []raft.Entry{entry(3)}}))))
	for offset := range len(complete) - last {
		damaged := append([]byte(nil), complete...)
		damaged[offset] ^= 0x10
		_, err := Scan(damaged, func([]byte) error { return nil })
		assert.ErrorIs(t, err, ErrCorrupt, "byte %d", offset)
	}
	damaged := append([]byte(nil), complete...)
	damaged[2] ^= 0x01
	assert.NilError(t, os.WriteFile(filepath.Join(dir, nameLog), damaged, fileMode))
	_, _, err = Open(dir, event.Discard())
	assert.ErrorIs(t, err, ErrCorrupt)
}

func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	defer s.Close()
	_, _, err := Open(dir, event.Discard())
	assert.ErrorIs(t, err, ErrLocked)
}

func TestReplaceKeepsSnapshotAndLaterEntries(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	saveEntries(t, s, 1, 10)
	snap := raft.Snapshot{Index: 8, Term: 1, Data: json.RawMessage(`"state"`)}
	assert.NilError(t, s.Replace(snap, raft.HardState{Term: 1}, []raft.Entry{entry(9), entry(10)}))
	saveEntries(t, s, 11, 12)
	s.Close()
	s, r := openStore(t, dir)
	defer s.Close()
	assert.Equal(t, r.Snapshot.Index, raft.Index(8))
	assertEntries(t, r, 9, 12)
}

// A crash between the writes of a new snapshot and of the new log leaves the old
// log.
func TestOldLogWithNewSnapshot(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	saveEntries(t, s, 1, 10)
	s.Close()
	text := mustJSON(t, raft.Snapshot{Index: 8, Term: 1, Data: json.RawMessage(`"state"`)})
	assert.NilError(t, OpenFunc(nil).writeSynced(filepath.Join(dir, nameSnapshot), Frame([]byte(text))))
	s, r := openStore(t, dir)
	defer s.Close()
	assertEntries(t, r, 9, 10)
}

func TestSaveFailsAfterFailedWrite(t *testing.T) {
	s, _ := openStore(t, t.TempDir())
	saveEntries(t, s, 1, 1)
	assert.NilError(t, s.file.Close()) // the next write fails as on a lost disk
	assert.Assert(t, s.Save(raft.Save{Entries: []raft.Entry{entry(2)}}) != nil)
	assert.ErrorIs(t, s.Save(raft.Save{Entries: []raft.Entry{entry(2)}}), ErrFailed)
	assert.ErrorIs(t, s.Replace(raft.Snapshot{Index: 1}, raft.HardState{}, nil), ErrFailed)
}

func TestIdentityIsPersistent(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir)
	_, ok, err := s.Identity()
	assert.NilError(t, err)
	assert.Assert(t, !ok)
	want := Identity{Node: "control-1", Token: "t", Cluster: "c"}
	assert.NilError(t, s.SetIdentity(want))
	s.Close()
	s, _ = openStore(t, dir)
	defer s.Close()
	got, ok, err := s.Identity()
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, want)
}

func FuzzScan(f *testing.F) {
	f.Add([]byte{})
	f.Add(Frame([]byte(`{"hard":{"term":3}}`)))
	f.Add(append(Frame([]byte(`{"entries":[]}`)), 1, 2, 3))
	f.Fuzz(func(t *testing.T, data []byte) {
		valid, err := Scan(data, func([]byte) error { return nil })
		assert.Assert(t, valid >= 0 && valid <= len(data))
		if err != nil {
			return
		}
		// What was accepted must be accepted again, with the same length.
		again, err := Scan(data[:valid], func([]byte) error { return nil })
		assert.NilError(t, err)
		assert.Equal(t, again, valid)
	})
}
