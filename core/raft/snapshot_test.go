package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that a start has to apply for seconds, and against snapshots that cost
// far more than the entries which they replace.
func TestSnapshotDue(t *testing.T) {
	const entry, result = 1500, 600 // bytes of a change in the log and in the snapshot
	for _, base := range []int{0, 100_000, 12_000_000} {
		snapshot, sinceEntries, sinceBytes, written, logged, longest := base, 0, 0, 0, 0, 0
		for i := range 20_000 {
			sinceEntries, sinceBytes, logged = sinceEntries+1, sinceBytes+entry, logged+entry
			longest = max(longest, sinceEntries)
			if SnapshotDue(sinceEntries, sinceBytes, snapshot) {
				snapshot = base + i*result
				written += snapshot
				sinceEntries, sinceBytes = 0, 0
			}
		}
		assert.Assert(t, longest <= maxSnapshotEntries)
		assert.Assert(t, written <= 20*logged, "%d bytes of snapshots for %d of entries", written, logged)
	}
	assert.Assert(t, SnapshotDue(1, MaxLogBytes, 0), "a few large entries")
	assert.Assert(t, !SnapshotDue(minSnapshotEntries-1, entry*minSnapshotEntries, 0))
}
