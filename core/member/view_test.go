package member

import (
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

func versions(v *View) map[ident.VM]uint64 {
	out := map[ident.VM]uint64{}
	for _, e := range v.Entries() {
		out[e.VM] = e.Version
	}
	return out
}

func entryOf(vm ident.VM, version uint64, phase Phase) Entry {
	return Entry{VM: vm, Version: version, Phase: phase}
}

func TestViewKeepsEntriesMissingAtNewRelay(t *testing.T) {
	now := time.Unix(100, 0)
	v := NewView(3 * time.Second)
	v.Update(now, true, []Entry{entryOf("a", 5, PhaseUp), entryOf("b", 7, PhaseUp), entryOf("c", 1, PhaseUp)})
	// The next relay has just started: its entry of b is older and a is missing.
	assert.Assert(t, v.Update(now, true, []Entry{entryOf("b", 6, PhaseDraining), entryOf("c", 1, PhaseUp)}))
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"a": 5, "b": 7, "c": 1})
	assert.Equal(t, len(v.Entries()), 3)
	// It receives b's new entry but never a's.
	v.Update(now.Add(time.Second), false, []Entry{entryOf("b", 8, PhaseUp)})
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"a": 5, "b": 8, "c": 1})
	assert.Assert(t, !v.Update(now.Add(3*time.Second), false, nil))
	assert.Assert(t, v.Update(now.Add(3*time.Second+1), false, nil), "the lease of the former relay's entry is over")
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"b": 8, "c": 1})
}

func TestViewRemovesGoneMember(t *testing.T) {
	now := time.Unix(100, 0)
	v := NewView(3 * time.Second)
	v.Update(now, true, []Entry{entryOf("a", 5, PhaseUp), entryOf("b", 5, PhaseUp)})
	// Version 4 of b is gone; that does not concern version 5.
	v.Update(now, true, []Entry{entryOf("a", 5, PhaseGone), entryOf("b", 4, PhaseGone)})
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"b": 5})
	v.Update(now, false, []Entry{entryOf("a", 6, PhaseUp)})
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"a": 6, "b": 5})
	v.Update(now.Add(4*time.Second), false, nil)
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"a": 6})
}

// Each change of relay keeps entries for one lease. Repeated changes must not
// keep a VM that no relay lists any more.
func TestViewExpiresEntriesDespiteRelayChanges(t *testing.T) {
	now := time.Unix(100, 0)
	v := NewView(3 * time.Second)
	v.Update(now, true, []Entry{entryOf("a", 5, PhaseUp)})
	for i := range 20 {
		v.Update(now.Add(time.Duration(i)*time.Second), true, []Entry{entryOf("b", 1, PhaseUp)})
	}
	assert.DeepEqual(t, versions(v), map[ident.VM]uint64{"b": 1})
}
