package daemon

import (
	"encoding/json"
	"strings"
	"testing"

	"chicorymast/core/board"
	"chicorymast/core/bulk"
	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/ctrl"
	"chicorymast/platform"

	"gotest.tools/v3/assert"
)

const (
	mb = 1 << 20
	// memoryTarget is what a daemon may take for control.
	memoryTarget = 256 * mb
	// idleBytes is what a daemon takes at rest (docs/CAPACITY.md, S2b).
	idleBytes = 22 * mb
	// peers is the largest number of other control daemons.
	peers = 10
	// encodings is how often a reply is in memory while it is encoded.
	encodings = 4
	// copies is how often the state of a control daemon is in memory at worst: in use, as the
	// newest snapshot, as the next one, and as one that arrives.
	copies = 4
)

// resultBytes is the encoded size of the result of one document in the history.
func resultBytes(t *testing.T) int {
	t.Helper()
	id := state.DocumentChangeID(1_000_000, strings.Repeat("f", 64))
	r := state.Result{
		ChangeID: id, Kind: state.KindConfirm, Actor: "operator", AtMillis: 1_800_000_000_000,
		Outcome: state.OutcomeAccepted, Revision: 1_000_000, Digest: strings.Repeat("f", 32),
	}
	data, err := json.Marshal(struct {
		Results map[ident.ChangeID]state.Result
		Trail   []ident.ChangeID
	}{map[ident.ChangeID]state.Result{id: r}, []ident.ChangeID{id}})
	assert.NilError(t, err)
	return len(data)
}

// Guards against queues, batches and replies whose bounds together exceed the memory of a
// control daemon.
func TestMemoryOfAControlDaemonIsBounded(t *testing.T) {
	sum, stateBytes := idleBytes, state.KeptChanges*resultBytes(t)+platform.DocumentLimit
	for what, bytes := range map[string]int{
		"large replies to daemons":            encodings * int(bulk.MaxHeld),
		"log and entries before the snapshot": max(raft.MaxLogBytes, stateBytes) + raft.CatchUpBytes,
		"state and snapshots":                 copies * stateBytes,
		"changes that wait for an outcome":    2 * ctrl.MaxProposedBytes,
		"Raft messages being sent":            peers * encodings * raft.MaxMessageBytes,
		"Raft messages not handled":           peers * encodings * raft.MaxMessageBytes,
		"documents in work":                   2 * maxBodiesHeld,
		"recent commands":                     2 * board.MaxRecentBytes,
	} {
		t.Logf("%s: %d MB", what, bytes/mb)
		sum += bytes
	}
	t.Logf("together: %d MB", sum/mb)
	assert.Assert(t, sum <= memoryTarget, "%d MB", sum/mb)
}
