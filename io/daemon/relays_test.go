package daemon

import (
	"slices"
	"testing"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"

	"gotest.tools/v3/assert"
)

// A daemon takes its configuration from a control daemon of its data centre,
// also from one that the settings do not name: a stand-in that is cut off from
// the control daemons would hold it back until it is found to be stale.
func TestControlDaemonsGoBeforeStandIns(t *testing.T) {
	entry := func(vm ident.VM, dc ident.DataCentre, control bool) member.Entry {
		return member.Entry{VM: vm, DataCentre: dc, Addresses: member.Addresses{Control: string(vm)}, Phase: member.PhaseUp, Control: control}
	}
	d := &Daemon{board: board.New()}
	cfg := config.Config{
		Daemon:  config.Daemon{VM: "own", DataCentre: "here"},
		Listen:  config.Listen{Control: "own"},
		Control: config.Control{Seeds: []string{"seed-1", "seed-2"}},
	}
	d.cfg.Store(&cfg)
	d.board.Members.Write(board.NewMembers([]member.Entry{
		entry("seed-1", "there", true), entry("seed-2", "elsewhere", true), entry("joined", "here", true),
		entry("own", "here", false), entry("other-1", "here", false), entry("other-2", "here", false),
	}))
	relays := d.relays()
	assert.Equal(t, relays[0], "joined", "%v", relays)
	assert.Equal(t, relays[len(relays)-1], "own", "itself at last: %v", relays)

	// Without one there, the seeds stay, and itself comes at last.
	d.board.Members.Write(board.NewMembers([]member.Entry{
		entry("seed-1", "there", true), entry("own", "here", false), entry("other-1", "here", false),
	}))
	relays = d.relays()
	assert.Assert(t, slices.Contains(relays, "seed-1") && slices.Contains(relays, "seed-2"), "%v", relays)
	assert.Equal(t, relays[len(relays)-1], "own", "%v", relays)
}
