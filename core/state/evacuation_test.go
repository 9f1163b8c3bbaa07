package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

func evacuate(id string, dc ident.DataCentre, evacuating bool) SetEvacuation {
	return SetEvacuation{Metadata: metadata(id), DataCentre: dc, Evacuating: evacuating}
}

// restored returns the state that a daemon has after it received a snapshot of s.
func restored(t testing.TB, s *State) *State {
	t.Helper()
	data, err := json.Marshal(s.WithoutHistory())
	assert.NilError(t, err)
	next := New()
	assert.NilError(t, json.Unmarshal(data, next))
	return next
}

// earlierRelease is a state that commands of the release before evacuations build.
func earlierRelease() *State {
	s := New()
	s.Apply(addWorkspace("a", 0, "mlyn"))
	s.Apply(SetDrain{Metadata: metadata("d"), VM: "vm-1", Draining: true})
	s.Apply(GrantKey{Metadata: metadata("k"), Digest: ident.DigestKey("secret"), Workspace: "mlyn"})
	s.Apply(AssignGroup{Metadata: metadata("g"), DataCentre: "east", Index: 3, Members: []ident.VM{"vm-1"}})
	return s
}

// Guards against daemons of two releases that fetch whole snapshots from each other,
// because their digests of the same configuration differ. The literals were computed by
// commit 12936c8.
func TestDigestAndSnapshotOfAnEarlierRelease(t *testing.T) {
	const (
		digest = "13a6cc53d435aae3248e315dae5a6425"
		empty  = "342de399e418a9a00b4a8270a33aa3b1"
		// snapshot is the SHA-256 of the snapshot.
		snapshot = "5a116c47f62be71320c29e1a59377819efd0889205dcb983367e1deb928e4b12"
	)
	mustEqual := func(t *testing.T, s *State) {
		t.Helper()
		assert.Equal(t, s.Digest(), digest)
		data, err := json.Marshal(s.WithoutHistory())
		assert.NilError(t, err)
		assert.Equal(t, DocumentDigest(string(data)), snapshot, "%s", data)
	}
	assert.Equal(t, New().Digest(), empty)
	t.Run("never evacuated", func(t *testing.T) { mustEqual(t, earlierRelease()) })
	t.Run("from a snapshot", func(t *testing.T) { mustEqual(t, restored(t, earlierRelease())) })
	t.Run("undone", func(t *testing.T) {
		s := earlierRelease()
		before := s.Revision
		mustAccept(t, s.Apply(evacuate("1", "east", true)), before+1)
		assert.Assert(t, s.Digest() != digest)
		mustAccept(t, s.Apply(evacuate("2", "east", false)), before+2)
		s.Revision = before // the only trace of it
		mustEqual(t, s)
	})
}

// Guards against an accepted order that is refused, or gets another outcome, when its
// acknowledgement was lost and it is sent again.
func TestResentEvacuation(t *testing.T) {
	s := earlierRelease()
	order := evacuate("order", "east", true)
	order.Base = s.ConfirmedAt
	first := s.Apply(order)
	mustAccept(t, first, 5)
	t.Run("under its change id", func(t *testing.T) {
		order.AtMillis = 99
		assert.DeepEqual(t, s.Apply(order), first)
	})
	t.Run("planned again on a later confirmation", func(t *testing.T) {
		mustAccept(t, s.Apply(addWorkspace("b", s.ConfirmedAt, "hrad")), 6)
		order.Base = s.ConfirmedAt
		assert.DeepEqual(t, s.Apply(order), first)
		assert.Assert(t, SameChange(order, evacuate("order", "east", true)))
	})
	t.Run("as a change of its own", func(t *testing.T) {
		mustAccept(t, s.Apply(evacuate("again", "east", true)), 7)
		mustAccept(t, s.Apply(evacuate("undo", "east", false)), 8)
		mustAccept(t, s.Apply(evacuate("undo again", "east", false)), 9)
		assert.Equal(t, len(s.Evacuations), 0)
	})
	t.Run("the id of one order for another", func(t *testing.T) {
		assert.Equal(t, s.Apply(evacuate("order", "west", true)).Outcome, OutcomeInvalid)
		assert.Equal(t, s.Apply(evacuate("order", "east", false)).Outcome, OutcomeInvalid)
	})
}

// Guards against an order whose plan showed other services than those in force, and
// against bad input that makes the state grow without limit.
func TestRefusedEvacuations(t *testing.T) {
	s := earlierRelease()
	late := evacuate("late", "east", true)
	late.Base = s.ConfirmedAt
	s.Apply(addWorkspace("b", s.ConfirmedAt, "hrad"))
	before := s.Digest()
	r := s.Apply(late)
	assert.Equal(t, r.Outcome, OutcomeConflict)
	assert.Equal(t, r.ConflictsWith, ident.ChangeID("b"))
	for i, dc := range []ident.DataCentre{"", ident.DataCentre(strings.Repeat("d", maxDataCentreName+1))} {
		assert.Equal(t, s.Apply(evacuate(fmt.Sprint(i), dc, true)).Outcome, OutcomeInvalid)
		assert.Equal(t, s.Apply(evacuate(fmt.Sprint("undo", i), dc, false)).Outcome, OutcomeInvalid)
	}
	assert.Equal(t, s.Digest(), before)
	for i := range maxEvacuations {
		dc := ident.DataCentre(fmt.Sprint("dc-", i))
		assert.Equal(t, s.Apply(evacuate(string(dc), dc, true)).Outcome, OutcomeAccepted)
	}
	assert.Equal(t, s.Apply(evacuate("one more", "east", true)).Outcome, OutcomeInvalid)
	assert.Equal(t, s.Apply(evacuate("again", "dc-7", true)).Outcome, OutcomeAccepted)
	assert.Equal(t, s.Apply(evacuate("undo", "dc-7", false)).Outcome, OutcomeAccepted)
	assert.Equal(t, s.Apply(evacuate("one more now", "east", true)).Outcome, OutcomeAccepted)
}

// Guards against daemons that disagree about what is evacuated: by deltas, by snapshots,
// and by both in turn they must get the state of the control daemons.
func TestEvacuationsReachEveryDaemonAlike(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	control, follower := earlierRelease(), restored(t, earlierRelease())
	late := New()
	late.Evacuations = nil // decoded from a snapshot of an earlier release
	assert.NilError(t, json.Unmarshal([]byte(mustMarshal(t, earlierRelease().WithoutHistory())), late))
	for i := range 300 {
		var cmd Command = evacuate(fmt.Sprint("e", i), ident.DataCentre(fmt.Sprint("dc-", rng.IntN(4))), rng.IntN(2) == 0)
		if rng.IntN(4) == 0 {
			cmd = SetDrain{Metadata: metadata(fmt.Sprint("d", i)), VM: ident.VM(fmt.Sprint("dc-", rng.IntN(4))), Draining: rng.IntN(2) == 0}
		}
		published := control.Clone()
		want := published.Digest()
		data, err := Encode(cmd)
		assert.NilError(t, err)
		assert.Equal(t, control.Apply(cmd).Outcome, OutcomeAccepted)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, cmd)
		for _, s := range []*State{follower, late} {
			s.ApplyAccepted(decoded)
			assert.Equal(t, s.Digest(), control.Digest())
			assert.Assert(t, maps.Equal(s.Evacuations, control.Evacuations))
		}
		assert.Equal(t, restored(t, control).Digest(), control.Digest())
		assert.Equal(t, restored(t, published).Digest(), want, "a published state was changed")
		if rng.IntN(10) == 0 {
			follower = restored(t, control)
		}
	}
}

func mustMarshal(t testing.TB, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(data)
}

// Guards against a command that cannot be read being taken for another one.
func TestUnreadableEvacuations(t *testing.T) {
	for name, text := range map[string]string{
		"data centre as number": `{"kind":"set_evacuation","body":{"change_id":"a","data_centre":7,"evacuating":true}}`,
		"evacuating as text":    `{"kind":"set_evacuation","body":{"change_id":"a","data_centre":"east","evacuating":"yes"}}`,
		"negative base":         `{"kind":"set_evacuation","body":{"change_id":"a","data_centre":"east","base":-1}}`,
		"body as list":          `{"kind":"set_evacuation","body":[]}`,
		"no body":               `{"kind":"set_evacuation"}`,
		"unknown kind":          `{"kind":"evacuate","body":{"data_centre":"east","evacuating":true}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(text))
			assert.ErrorIs(t, err, ErrCommand)
		})
	}
}

func TestTakesCalls(t *testing.T) {
	s := earlierRelease()
	s.Apply(evacuate("e", "west", true))
	for _, c := range []struct {
		vm   ident.VM
		dc   ident.DataCentre
		want bool
	}{{"vm-1", "east", false}, {"vm-2", "east", true}, {"vm-2", "west", false}, {"west", "east", true}} {
		assert.Equal(t, s.TakesCalls(c.vm, c.dc), c.want, "%s in %s", c.vm, c.dc)
	}
}
