package proxy

import (
	"net/http"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/place"
	"chicorymast/core/route"
	"chicorymast/core/state"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

func placementFixture(t *testing.T, on bool) (*Proxy, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	p := newUpstreamProxyAt(t, clock, "127.0.0.1:1", member.Upstream{Service: "shop", ID: "i-1", Phase: member.PhaseUp, Slots: 4})
	cfg := config.Default()
	cfg.Daemon.DataCentre = "a"
	cfg.Calls.PlaceTrees = on
	p.opt.Config = func() *config.Config { return &cfg }
	p.placement = newPlacement(p.opt, func() float64 { return 0 })
	p.router = newRouter(p.opt, p.notices, p.rng)
	p.opt.Board.Config.Write(board.NewConfig(state.New(), nil))
	var entries []member.Entry
	for _, dc := range []ident.DataCentre{"a", "b"} {
		entries = append(entries, member.Entry{
			VM: ident.VM("vm-" + dc), DataCentre: dc, Addresses: member.Addresses{Peer: "127.0.0.1:1"}, Phase: member.PhaseUp,
			Upstream: &member.Upstream{Service: "shop", Slots: 4, Phase: member.PhaseUp},
		})
	}
	p.opt.Board.Members.Write(board.NewMembers(entries))
	return p, clock
}

// reportCrossings lets responses from the own data centre report crossings for a while.
func reportCrossings(p *Proxy, clock *timer.Manual) {
	o := &outboundCall{call: header.Call{Route: "browse", Service: "shop"}}
	for range 200 {
		clock.Advance(20 * time.Millisecond)
		p.placement.record(o, route.Candidate{VM: "vm-a", DataCentre: "a"}, header.Result{Crossings: &place.Crossings{PerRun: 4, Fanout: 4}})
	}
}

func preferredDataCentre(p *Proxy) ident.DataCentre {
	return p.placement.choose("browse", func() []place.Room { return p.router.rooms("shop") })
}

// Without the setting, reports of other daemons must change nothing.
func TestTreesArePlacedOnlyIfAsked(t *testing.T) {
	for name, c := range map[string]struct {
		on   bool
		want ident.DataCentre
	}{"on": {true, "b"}, "off": {false, ""}} {
		t.Run(name, func(t *testing.T) {
			p, clock := placementFixture(t, c.on)
			reportCrossings(p, clock)
			assert.Equal(t, preferredDataCentre(p), c.want)
		})
	}
}

// A data centre that does not answer must get no trees, and calls must not fail for it.
func TestTreesAvoidASilentDataCentre(t *testing.T) {
	p, clock := placementFixture(t, true)
	reportCrossings(p, clock)
	p.router.suspected.Store(true)
	for _, vm := range []ident.VM{"vm-b", "vm-b2", "vm-b3", "vm-b4"} {
		p.router.recordSilent(route.Candidate{VM: vm, DataCentre: "b"})
	}
	assert.Equal(t, preferredDataCentre(p), ident.DataCentre(""))
	vm, _, ok := p.pick(header.Call{Service: "shop"}, nil, "b")
	assert.Assert(t, ok)
	assert.Equal(t, vm.DataCentre, ident.DataCentre("a"))
}

// The report must survive the way between two daemons, and cost nothing in calm.
func TestCrossingsTravelWithResponses(t *testing.T) {
	p, clock := placementFixture(t, true)
	assert.Assert(t, p.placement.report("browse") == nil)
	nested := &outboundCall{call: header.Call{Route: "lookup", Service: "deep"}, served: &servedCall{call: header.Call{Route: "browse"}}}
	for range 10 {
		clock.Advance(10 * time.Millisecond)
		p.placement.recordRun("browse")
		p.placement.record(nested, route.Candidate{DataCentre: "b"}, header.Result{})
		p.placement.record(nested, route.Candidate{DataCentre: "a"}, header.Result{})
	}
	h := http.Header{}
	header.SetResult(h, header.Result{Crossings: p.placement.report("browse")})
	result, ok := header.GetResult(h)
	assert.Assert(t, ok && result.Crossings != nil)
	assert.Assert(t, result.Crossings.PerRun > 0.9 && result.Crossings.PerRun < 1.1, "%+v", result.Crossings)
	assert.Assert(t, result.Crossings.Fanout > 1.9 && result.Crossings.Fanout < 2.1, "%+v", result.Crossings)
}
