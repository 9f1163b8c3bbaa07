package proxy

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/route"
	"chicorymast/core/state"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// evacuating is a configuration in which data centres are evacuated.
func evacuating(dcs ...ident.DataCentre) *board.Config {
	st := state.New()
	for _, dc := range dcs {
		st.Apply(state.SetEvacuation{Metadata: state.Metadata{ChangeID: ident.ChangeID(dc)}, DataCentre: dc, Evacuating: true})
	}
	return board.NewConfig(st, nil)
}

// Guards against calls to an evacuated data centre: by entries that have other upstreams,
// by those that have none, and by the fallback to stopping daemons.
func TestEntriesAvoidEvacuatedDataCentres(t *testing.T) {
	const service = ident.Service("shop")
	b := board.New()
	entry := func(vm ident.VM, dc ident.DataCentre, phase member.Phase) member.Entry {
		return member.Entry{VM: vm, DataCentre: dc, Phase: phase, Upstream: &member.Upstream{Service: service, Slots: 4, Phase: member.PhaseUp}}
	}
	entries := []member.Entry{
		entry("a", "east", member.PhaseUp), entry("b", "east", member.PhaseDraining), entry("c", "west", member.PhaseUp),
		entry("d", "west", member.PhaseDraining),
	}
	s := &serviceState{balancer: route.New("east", rand.New(rand.NewPCG(1, 2)))}
	picked := func(config *board.Config) map[ident.VM]bool {
		b.Config.Write(config)
		vms := map[ident.VM]bool{}
		for i := range 40 {
			now := time.Unix(int64(i), 0)
			s.refresh(now, b, newNotices(), service)
			if c, ok := s.balancer.Pick(now, 0, nil); ok {
				vms[c.VM] = true
				s.balancer.Done(now, c.VM, route.Report{Outcome: route.OutcomeAnswered})
			}
		}
		return vms
	}
	b.Members.Write(board.NewMembers(entries))
	assert.DeepEqual(t, picked(evacuating()), map[ident.VM]bool{"a": true})
	assert.DeepEqual(t, picked(evacuating("east")), map[ident.VM]bool{"c": true})
	assert.DeepEqual(t, picked(evacuating("east", "west")), map[ident.VM]bool{})
	assert.DeepEqual(t, picked(evacuating("elsewhere")), map[ident.VM]bool{"a": true})
	b.Members.Write(board.NewMembers([]member.Entry{entries[1], entries[3]}))
	assert.DeepEqual(t, picked(evacuating("east")), map[ident.VM]bool{"d": true})
	assert.DeepEqual(t, picked(evacuating("east", "west")), map[ident.VM]bool{})
}

// newEvacuatedCalls returns calls to a daemon in the data centre east.
func newEvacuatedCalls(t *testing.T, u *sayingUpstream) *peerCalls {
	t.Helper()
	c := newPeerCalls(t, u.address())
	cfg := *c.p.opt.Config()
	cfg.Daemon.DataCentre = "east"
	*c.p.opt.Config() = cfg
	return c
}

// Guards against calls of an entry that does not know of the evacuation yet, and against a
// refusal that does not say that the call has not run.
func TestDaemonInEvacuatedDataCentreRefusesCalls(t *testing.T) {
	u := newSayingUpstream(t, "")
	c := newEvacuatedCalls(t, u)
	call := func() *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodGet, "/", nil)
		header.SetCall(req.Header, c.call)
		rec := httptest.NewRecorder()
		c.p.PeerHandler().ServeHTTP(rec, req)
		return rec
	}
	c.p.opt.Board.Config.Write(evacuating("west"))
	assert.Equal(t, call().Code, http.StatusOK)
	before := u.requests.Load()
	c.p.opt.Board.Config.Write(evacuating("west", "east"))
	for range 10 {
		got := call()
		result, ok := header.GetResult(got.Header())
		assert.Assert(t, ok)
		assert.Equal(t, got.Code, http.StatusServiceUnavailable)
		assert.Assert(t, result.NotRun)
		assert.Equal(t, result.Reason, fault.ReasonDraining)
	}
	assert.Equal(t, u.requests.Load(), before, "calls reached an evacuated upstream")
	c.p.opt.Board.Config.Write(evacuating("west"))
	assert.Equal(t, call().Code, http.StatusOK)
}

// Guards against calls that wait for a slot when the evacuation begins and reach the
// upstream later than the running calls' drain allows.
func TestWaitingCallsDoNotReachAnEvacuatedUpstreamLate(t *testing.T) {
	const calls, drain = 180, 2 * time.Second // at 100 slots
	release := make(chan struct{})
	u := newSayingUpstream(t, "")
	u.respond = func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("Content-Length", "0")
	}
	c := newEvacuatedCalls(t, u)
	for range calls {
		c.start()
	}
	for c.p.admission.load().Waiting+int(u.requests.Load()) < calls {
		runtime.Gosched()
	}
	assert.Assert(t, c.p.admission.load().Waiting > 0, "no call waits")
	c.p.opt.Board.Config.Write(evacuating("east"))
	for passed := time.Duration(0); passed < drain; passed += 10 * time.Millisecond {
		c.clock.Advance(10 * time.Millisecond)
	}
	before := u.requests.Load()
	close(release)
	for c.done.Load() < int64(calls) {
		c.clock.Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
	assert.Equal(t, u.requests.Load(), before, "waiting calls reached an evacuated upstream")
}
