package agent

import (
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/member"
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
	announced := func(drained, evacuated bool) member.Entry {
		b.Upstream.Write(&board.Upstream{
			Upstream: member.Upstream{Service: "shop", ID: "a", Slots: 3, Phase: member.PhaseUp}, Drained: drained, Evacuated: evacuated,
		})
		return a.Entry()
	}
	up := announced(false, false)
	evacuated := announced(true, true)
	assert.Equal(t, evacuated.Upstream.Phase, member.PhaseUp)
	assert.Equal(t, evacuated.Version, up.Version)
	assert.Equal(t, announced(true, false).Upstream.Phase, member.PhaseDraining, "drained as well")
	assert.Equal(t, announced(false, false).Upstream.Phase, member.PhaseUp)
}
