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

// A daemon must prefer a control daemon of its data centre, even one that the
// settings do not name, to a fallback relay: a fallback relay that is cut off from
// the control daemons delays configuration changes until it is found to be stale.
func TestControlDaemonsPrecedeFallbackRelays(t *testing.T) {
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
	assert.Equal(t, relays[len(relays)-1], "own", "this daemon must be the last: %v", relays)

	// Without a control daemon in this data centre, the seeds stay and this daemon is last.
	d.board.Members.Write(board.NewMembers([]member.Entry{
		entry("seed-1", "there", true), entry("own", "here", false), entry("other-1", "here", false),
	}))
	relays = d.relays()
	assert.Assert(t, slices.Contains(relays, "seed-1") && slices.Contains(relays, "seed-2"), "%v", relays)
	assert.Equal(t, relays[len(relays)-1], "own", "%v", relays)
}
