package agent

import (
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// Guards against an evacuation that makes every VM of a data centre announce itself anew to
// the whole fleet, and against a drain that is hidden by an evacuation.
func TestEvacuationIsNotAnnounced(t *testing.T) {
	b := board.New()
	a := New(Options{
		VM: "vm", DataCentre: "east", Clock: timer.NewManual(time.Unix(1000, 0)), Board: b, RelayActive: func() bool { return false },
	})
	st := state.New()
	apply := func(cmd state.Command, drained bool) member.Entry {
		assert.Equal(t, st.Apply(cmd).Outcome, state.OutcomeAccepted)
		b.Config.Write(board.NewConfig(st.Clone(), nil))
		b.Upstream.Write(&board.Upstream{Upstream: member.Upstream{Service: "shop", ID: "a", Slots: 3, Phase: member.PhaseUp}, Drained: drained})
		return a.Entry()
	}
	evacuate := func(id string, on bool) state.Command {
		return state.SetEvacuation{Metadata: state.Metadata{ChangeID: ident.ChangeID(id)}, DataCentre: "east", Evacuating: on}
	}
	drain := func(id string, on bool) state.Command {
		return state.SetDrain{Metadata: state.Metadata{ChangeID: ident.ChangeID(id)}, VM: "vm", Draining: on}
	}
	up := apply(evacuate("nothing", false), false)
	evacuated := apply(evacuate("1", true), true)
	assert.Equal(t, evacuated.Upstream.Phase, member.PhaseUp)
	assert.Equal(t, evacuated.Version, up.Version)
	assert.Equal(t, apply(drain("2", true), true).Upstream.Phase, member.PhaseDraining, "drained as well")
	assert.Equal(t, apply(evacuate("3", false), true).Upstream.Phase, member.PhaseDraining, "still drained")
	assert.Equal(t, apply(drain("4", false), false).Upstream.Phase, member.PhaseUp)
}
