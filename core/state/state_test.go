package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

func metadata(id string) Metadata { return Metadata{ChangeID: ident.ChangeID(id), Actor: "anna"} }

func addWorkspace(id string, base ident.Revision, name ident.Workspace) Confirm {
	return Confirm{Metadata: metadata(id), Base: base, Patch: intent.Patch{
		Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{name: {}},
	}}
}

func mustAccept(t testing.TB, r Result, revision ident.Revision) {
	t.Helper()
	assert.Equal(t, r.Outcome, OutcomeAccepted, "%s", r.Detail)
	assert.Equal(t, r.Revision, revision)
}

func TestSecondConfirmOnSameBaseConflicts(t *testing.T) {
	s := New()
	mustAccept(t, s.Apply(addWorkspace("a", 0, "mlyn")), 1)
	r := s.Apply(addWorkspace("b", 0, "hrad"))
	assert.Equal(t, r.Outcome, OutcomeConflict)
	assert.Equal(t, r.ConflictsWith, ident.ChangeID("a"))
	assert.Equal(t, s.Revision, ident.Revision(1))
	mustAccept(t, s.Apply(addWorkspace("c", 1, "hrad")), 2)
}

func TestResentChangeReturnsFirstResult(t *testing.T) {
	s := New()
	first := s.Apply(addWorkspace("a", 0, "mlyn"))
	s.Apply(addWorkspace("b", 1, "hrad"))
	later := addWorkspace("a", 0, "mlyn")
	later.AtMillis = 99
	assert.DeepEqual(t, s.Apply(later), first)
	conflict := s.Apply(addWorkspace("late", 0, "x"))
	assert.DeepEqual(t, s.Apply(addWorkspace("late", 0, "x")), conflict)
	other := s.Apply(addWorkspace("a", 0, "other"))
	assert.Equal(t, other.Outcome, OutcomeInvalid, "the change id is already in use")
}

func TestKeysDoNotConflictWithPlans(t *testing.T) {
	s := New()
	s.Apply(addWorkspace("a", 0, "mlyn"))
	digest := ident.DigestKey("secret")
	mustAccept(t, s.Apply(GrantKey{Metadata: metadata("k"), Digest: digest, Workspace: "mlyn"}), 2)
	mustAccept(t, s.Apply(addWorkspace("b", 1, "hrad")), 3)
	mustAccept(t, s.Apply(WithdrawKey{Metadata: metadata("w"), Key: ident.PublicID(digest)}), 4)
	assert.Equal(t, len(s.Keys), 0)
}

func TestRemovedWorkspaceLosesItsKeys(t *testing.T) {
	s := New()
	s.Apply(addWorkspace("a", 0, "mlyn"))
	s.Apply(GrantKey{Metadata: metadata("k"), Digest: ident.DigestKey("secret"), Workspace: "mlyn"})
	remove := Confirm{Metadata: metadata("r"), Base: 1, Patch: intent.Patch{Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{"mlyn": nil}}}
	mustAccept(t, s.Apply(remove), 3)
	assert.Equal(t, len(s.Keys), 0)
}

func TestReplicaGroupChangesOneMemberAtATime(t *testing.T) {
	assign := func(id string, baseEpoch ident.Revision, vms ...ident.VM) AssignGroup {
		return AssignGroup{Metadata: metadata(id), DataCentre: "dc", Index: 3, BaseEpoch: baseEpoch, Members: vms}
	}
	s := New()
	mustAccept(t, s.Apply(assign("1", 0, "a", "b", "c")), 1)
	assert.Equal(t, s.Apply(assign("2", 1, "a", "d", "e")).Outcome, OutcomeInvalid)
	assert.Equal(t, s.Apply(assign("3", 0, "a", "b", "d")).Outcome, OutcomeConflict)
	mustAccept(t, s.Apply(assign("4", 1, "a", "b", "d")), 2)
	assert.DeepEqual(t, s.ReplicaGroups["dc"][3], ReplicaGroup{Epoch: 2, Members: []ident.VM{"a", "b", "d"}, PreviousMembers: []ident.VM{"a", "b", "c"}})
}

// A daemon that applies the accepted commands in their encoded form must have the
// same digest as the control daemon, and so must one that received a snapshot.
func TestApplyAcceptedYieldsSameDigest(t *testing.T) {
	control, follower := New(), New()
	for i := range 50 {
		cmd := addWorkspace(fmt.Sprint(i), control.ConfirmedAt, ident.Workspace(fmt.Sprintf("w%d", i)))
		data, err := Encode(cmd)
		assert.NilError(t, err)
		control.Apply(cmd)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		follower.ApplyAccepted(decoded)
		assert.Equal(t, follower.Digest(), control.Digest())
	}
	data, err := json.Marshal(control.WithoutHistory())
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, json.Unmarshal(data, restored))
	assert.Equal(t, restored.Digest(), control.Digest())
}

func TestCloneIsIndependent(t *testing.T) {
	s := New()
	s.Apply(addWorkspace("a", 0, "mlyn"))
	before := s.Clone()
	s.Apply(addWorkspace("b", 1, "hrad"))
	s.Apply(GrantKey{Metadata: metadata("k"), Digest: ident.DigestKey("secret"), Workspace: "mlyn"})
	assert.Equal(t, len(before.Intent.Workspaces), 1)
	assert.Equal(t, len(before.Keys), 0)
	assert.Equal(t, before.Revision, ident.Revision(1))
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(addWorkspace("a", 0, "mlyn"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"kind":"withdraw_key","body":{}}`))
	f.Add([]byte(`{"kind":"set_evacuation","body":{"change_id":"e","data_centre":"east","evacuating":true,"base":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if cmd, err := Decode(data); err == nil {
			New().Apply(cmd) // must not panic
		}
	})
}
