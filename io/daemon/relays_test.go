package daemon

import (
	"slices"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/agent"
	"chicorymast/io/timer"

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

// relayFleet is a fleet of three data centres in which only two of the four control
// daemons are seeds.
func relayFleet() (entries []member.Entry, seeds []string) {
	for vm, dc := range map[ident.VM]ident.DataCentre{"control-a": "a", "control-b": "b", "control-c": "c", "control-d": "c"} {
		entries = append(entries, member.Entry{
			VM: vm, DataCentre: dc, Addresses: member.Addresses{Control: string(vm)}, Phase: member.PhaseUp, Control: true, Relay: true,
		})
	}
	for _, vm := range []ident.VM{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "c-3", "c-4"} {
		entries = append(entries, member.Entry{
			VM: vm, DataCentre: ident.DataCentre(vm[:1]), Addresses: member.Addresses{Control: string(vm)}, Phase: member.PhaseUp,
		})
	}
	return entries, []string{"control-a", "control-b"}
}

func relayDaemon(e member.Entry, entries []member.Entry, seeds []string) *Daemon {
	d := &Daemon{board: board.New()}
	cfg := config.Config{
		Daemon:  config.Daemon{VM: e.VM, DataCentre: e.DataCentre, Role: config.RoleUpstream},
		Listen:  config.Listen{Control: e.Addresses.Control},
		Control: config.Control{Seeds: seeds},
	}
	if e.Control {
		cfg.Daemon.Role = config.RoleControl
	}
	d.cfg.Store(&cfg)
	d.board.Members.Write(board.NewMembers(entries))
	return d
}

// Two daemons that sync with each other renew lost members for ever and hide their
// data centre from all others.
func TestNoTwoDaemonsSyncWithEachOther(t *testing.T) {
	entries, seeds := relayFleet()
	for name, seeds := range map[string][]string{"with seeds": seeds, "all seeds lost": {"lost-1", "lost-2"}} {
		t.Run(name, func(t *testing.T) {
			uses := map[string][]string{}
			for _, e := range entries {
				relays := relayDaemon(e, entries, seeds).relays()
				uses[e.Addresses.Control] = relays[:len(relays)-1]
			}
			for a, relays := range uses {
				for _, b := range relays {
					assert.Assert(t, !slices.Contains(uses[b], a), "%s and %s sync with each other", a, b)
				}
			}
		})
	}
}

// A control daemon that loses its place among the seeds must notice without a restart.
func TestRootRelayFollowsTheSettings(t *testing.T) {
	entries, seeds := relayFleet()
	d := relayDaemon(entries[0], entries, []string{entries[0].Addresses.Control})
	d.agent = newRelayAgent()
	assert.Assert(t, d.rootRelay())
	cfg := *d.Config()
	cfg.Control.Seeds = slices.DeleteFunc(seeds, func(a string) bool { return a == cfg.Listen.Control })
	d.cfg.Store(&cfg)
	assert.Assert(t, !d.rootRelay())
}

func newRelayAgent() *agent.Agent {
	return agent.New(agent.Options{VM: "vm", Clock: timer.NewManual(time.Unix(1000, 0)), Board: board.New()})
}
