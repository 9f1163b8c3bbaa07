package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/route"
	"chicorymast/core/state"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// While the only daemon of a service restarts, its calls must reach it until its
// listener closes.
func TestStoppingDaemonsServeWithoutOthers(t *testing.T) {
	const service = ident.Service("shop")
	b := board.New()
	b.Config.Write(board.NewConfig(state.New(), nil))
	entry := func(vm ident.VM, phase member.Phase) member.Entry {
		return member.Entry{VM: vm, Phase: phase, Upstream: &member.Upstream{Service: service, Slots: 4, Phase: member.PhaseUp}}
	}
	picked := func(entries ...member.Entry) (vm ident.VM) {
		b.Members.Write(board.NewMembers(entries))
		s := &serviceState{balancer: route.New("east", rand.New(rand.NewPCG(1, 2)))}
		s.refresh(time.Unix(1, 0), b, newNotices(), service)
		c, _ := s.balancer.Pick(time.Unix(1, 0), 0, nil)
		return c.VM
	}
	assert.Equal(t, picked(entry("a", member.PhaseDraining)), ident.VM("a"))
	assert.Equal(t, picked(entry("a", member.PhaseDraining), entry("b", member.PhaseUp)), ident.VM("b"))
	assert.Equal(t, picked(entry("a", member.PhaseGone)), ident.VM(""))
}

// A stopping daemon still accepts calls of peers; one with a draining upstream
// refuses them.
func TestStoppingDaemonAcceptsPeers(t *testing.T) {
	p := &Proxy{opt: Options{Board: board.New()}}
	p.opt.Board.Lifecycle.Write(&board.Lifecycle{Phase: board.PhaseStopping})
	upstream := &board.Upstream{Upstream: member.Upstream{Service: "shop", ID: "i-1", Phase: member.PhaseUp}, Address: "127.0.0.1:1"}
	assert.Assert(t, p.unavailable(upstream, header.Call{Service: "shop"}) == nil)
	upstream.Phase = member.PhaseDraining
	assert.Assert(t, p.unavailable(upstream, header.Call{Service: "shop"}) != nil)
	upstream.Phase, upstream.Drained = member.PhaseUp, true
	assert.Assert(t, p.unavailable(upstream, header.Call{Service: "shop"}) != nil)
}
