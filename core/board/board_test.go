package board

import (
	"fmt"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/match"
	"chicorymast/core/member"
	"chicorymast/core/state"

	"gotest.tools/v3/assert"
)

func TestWriteClosesChanged(t *testing.T) {
	s := NewSection(&Lifecycle{Phase: PhaseStarting})
	changed := s.Changed()
	s.Write(&Lifecycle{Phase: PhaseRunning})
	<-changed
	assert.Equal(t, s.Read().Phase, PhaseRunning)
}

func withRoutes(n int) *state.State {
	st := state.New()
	patch := intent.Patch{
		Services: map[ident.Service]*intent.ServiceSpec{"s": {}},
		Routes:   map[ident.Route]*intent.RouteSpec{},
	}
	for i := range n {
		patch.Routes[ident.Route(fmt.Sprintf("r%d", i))] = &intent.RouteSpec{
			Method: "GET", Path: fmt.Sprintf("/r%d/{id}", i), Service: "s", Class: ident.ClassNormal,
		}
	}
	st.Apply(state.Confirm{Metadata: state.Metadata{ChangeID: "routes"}, Patch: patch})
	return st
}

// Next reuses the route table if the routes are unchanged and rebuilds it otherwise.
func TestNextRebuildsChangedRoutes(t *testing.T) {
	st := withRoutes(3)
	first := NewConfig(st.Clone(), nil)
	st.Apply(state.SetDrain{Metadata: state.Metadata{ChangeID: "d"}, VM: "vm", Draining: true})
	same := first.Next(st.Clone(), nil)
	assert.Assert(t, same.Table == first.Table)
	route := &intent.RouteSpec{Method: "GET", Path: "/new", Service: "s", Class: ident.ClassNormal}
	r := st.Apply(state.Confirm{
		Metadata: state.Metadata{ChangeID: "n"}, Base: st.ConfirmedAt, Patch: intent.Patch{Routes: map[ident.Route]*intent.RouteSpec{"new": route}},
	})
	assert.Equal(t, r.Outcome, state.OutcomeAccepted, "%s", r.Detail)
	next := same.Next(st.Clone(), nil)
	_, ok := next.Table.Find(match.Call{Method: "GET", Path: "/new"})
	assert.Assert(t, ok)
	assert.Equal(t, next.Digest(), NewConfig(st.Clone(), nil).Digest())
}

func TestSinceReturnsKeptCommands(t *testing.T) {
	st := state.New()
	var commands []AcceptedCommand
	for i := range 5 {
		st.Apply(state.SetDrain{Metadata: state.Metadata{ChangeID: ident.ChangeID(fmt.Sprint(i))}, VM: "vm", Draining: i%2 == 0})
		commands = append(commands, AcceptedCommand{Revision: st.Revision})
	}
	c := NewConfig(st, commands[2:])
	since, ok := c.Since(3)
	assert.Assert(t, ok)
	assert.Equal(t, len(since), 2)
	_, ok = c.Since(0)
	assert.Assert(t, !ok, "commands that are no longer kept need a snapshot")
}

func BenchmarkNewMembers37000(b *testing.B) {
	entries := make([]member.Entry, 37_000)
	for i := range entries {
		entries[i] = member.Entry{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i%19)), Phase: member.PhaseUp,
			Upstream: &member.Upstream{Service: ident.Service(fmt.Sprintf("s-%d", i/6)), Phase: member.PhaseUp},
		}
	}
	for b.Loop() {
		NewMembers(entries)
	}
}

func BenchmarkNextWith31000Routes(b *testing.B) {
	st := withRoutes(31_000)
	c := NewConfig(st, nil)
	for b.Loop() {
		c.Next(st.Clone(), nil)
	}
}

func BenchmarkRebuild31000Routes(b *testing.B) {
	st := withRoutes(31_000)
	for b.Loop() {
		NewConfig(st, nil)
	}
}

// ByService lists only upstreams that accept new calls. Those whose daemon is
// stopping are listed separately, for calls that no other upstream can take.
func TestMembersByPhase(t *testing.T) {
	entry := func(vm ident.VM, daemon, upstream member.Phase) member.Entry {
		return member.Entry{VM: vm, Phase: daemon, Upstream: &member.Upstream{Service: "s", Phase: upstream}}
	}
	m := NewMembers([]member.Entry{
		entry("up", member.PhaseUp, member.PhaseUp),
		entry("stopping", member.PhaseDraining, member.PhaseUp),
		entry("drained", member.PhaseUp, member.PhaseDraining),
		entry("both", member.PhaseDraining, member.PhaseDraining),
		entry("gone", member.PhaseGone, member.PhaseUp),
		{VM: "none", Phase: member.PhaseUp},
	})
	assert.Equal(t, len(m.ByService["s"]), 1)
	assert.Equal(t, m.ByService["s"][0].VM, ident.VM("up"))
	assert.Equal(t, len(m.StoppingByService["s"]), 1)
	assert.Equal(t, m.StoppingByService["s"][0].VM, ident.VM("stopping"))
}

func TestWorkspaceTier(t *testing.T) {
	workspaces := func(classes map[ident.Workspace]ident.Class) *state.State {
		st := state.New()
		patch := intent.Patch{Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{}}
		for w, c := range classes {
			patch.Workspaces[w] = &intent.WorkspaceSpec{Class: c}
		}
		st.Apply(state.Confirm{Metadata: state.Metadata{ChangeID: "w"}, Patch: patch})
		return st
	}
	sameClass := NewConfig(workspaces(map[ident.Workspace]ident.Class{"a": "", "b": ident.ClassNormal}), nil)
	assert.Equal(t, sameClass.WorkspaceTier("a"), 0)
	assert.Equal(t, sameClass.WorkspaceTier("b"), 0)
	c := sameClass.Next(workspaces(map[ident.Workspace]ident.Class{"a": "", "b": ident.ClassHigh, "c": ident.ClassLow}), nil)
	assert.Equal(t, c.WorkspaceTier("b"), 0)
	assert.Equal(t, c.WorkspaceTier("a"), 1)
	assert.Equal(t, c.WorkspaceTier("c"), 2)
	assert.Equal(t, c.WorkspaceTier(""), 0, "a call without a workspace")
	assert.Equal(t, c.Next(c.State.Clone(), nil).WorkspaceTier("c"), 2)
}

// An entry that a faulty writer has left must not draw all calls of its service.
func TestMembersLeaveUnusableUpstreamsOut(t *testing.T) {
	entry := func(vm ident.VM, slots int) member.Entry {
		return member.Entry{VM: vm, Phase: member.PhaseUp, Upstream: &member.Upstream{Service: "s", Slots: slots, Phase: member.PhaseUp}}
	}
	m := NewMembers([]member.Entry{entry("a", 8), entry("b", 1<<62), entry("c", -1), entry("d", member.MaxSlots)})
	var vms []ident.VM
	for _, e := range m.ByService["s"] {
		vms = append(vms, e.VM)
	}
	assert.DeepEqual(t, vms, []ident.VM{"a", "d"})
}
