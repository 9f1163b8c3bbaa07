package daemon

import (
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/notice"
	"chicorymast/core/state"
	"chicorymast/core/tenure"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

func newTestRegistry() (*upstreamRegistry, *timer.Manual) {
	clock := timer.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	r := newUpstreamRegistry("vm", "east", clock, board.New(), event.Discard(), defaultUpstreamLease)
	r.board.RelayContact.Write(&board.RelayContact{At: clock.Now().Add(time.Hour)}) // no departure waits for a relay
	return r, clock
}

func announcement(u ident.Upstream, startedMs int64, sequence uint64) proxy.Announcement {
	return proxy.Announcement{Service: "s", Upstream: u, Address: "127.0.0.1:1", Slots: 3, StartedMs: startedMs, Sequence: sequence}
}

func (r *upstreamRegistry) mustBeInPhase(t *testing.T, u ident.Upstream, p member.Phase) {
	t.Helper()
	s := r.board.Upstream.Read()
	assert.Equal(t, s.ID, u)
	assert.Equal(t, s.Phase, p)
}

// Guards against a cold upstream whose later announcements do not reach the admission: the
// board keeps only the first time of a process.
func TestEachAnnouncementTellsHowLongTheUpstreamStaysCold(t *testing.T) {
	r, _ := newTestRegistry()
	var told []time.Duration
	r.onAnnounced = func(p notice.Process, cold time.Duration) {
		assert.Equal(t, p, r.board.Upstream.Read().Process(), "it is on the board before")
		told = append(told, cold)
	}
	cold := func(sequence uint64, ms int64) proxy.Announcement {
		a := announcement("a", 1, sequence)
		a.WarmupMs = ms
		return a
	}
	for _, a := range []proxy.Announcement{cold(1, 3000), cold(3, 0), cold(2, 1500), cold(4, 2000)} {
		_, err := r.Announce(a)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, told, []time.Duration{3 * time.Second, 0, 2 * time.Second})
}

func TestOutdatedAnnouncements(t *testing.T) {
	draining := func(u ident.Upstream, startedMs int64, sequence uint64) proxy.Announcement {
		a := announcement(u, startedMs, sequence)
		a.Draining = true
		return a
	}
	for name, c := range map[string]struct {
		steps    []proxy.Announcement
		upstream ident.Upstream
		phase    member.Phase
	}{
		"an earlier one of the same process":     {[]proxy.Announcement{draining("a", 1, 6), announcement("a", 1, 5)}, "a", member.PhaseDraining},
		"a duplicate":                            {[]proxy.Announcement{announcement("a", 1, 5), announcement("a", 1, 5)}, "a", member.PhaseUp},
		"a drain is not ended by a renewal":      {[]proxy.Announcement{draining("a", 1, 5), announcement("a", 1, 6)}, "a", member.PhaseDraining},
		"a new process with the same id":         {[]proxy.Announcement{draining("a", 1, 90), announcement("a", 2, 1)}, "a", member.PhaseUp},
		"another upstream at the same address":   {[]proxy.Announcement{announcement("a", 1, 9), announcement("b", 2, 1)}, "b", member.PhaseUp},
		"a delayed one of the former upstream":   {[]proxy.Announcement{announcement("a", 1, 9), announcement("b", 2, 1), announcement("a", 1, 10)}, "b", member.PhaseUp},
		"an earlier process with the same id":    {[]proxy.Announcement{announcement("a", 2, 1), draining("a", 1, 50)}, "a", member.PhaseUp},
		"without sequence numbers the last wins": {[]proxy.Announcement{announcement("a", 0, 0), announcement("b", 0, 0), announcement("a", 0, 0)}, "a", member.PhaseUp},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestRegistry()
			for _, a := range c.steps {
				_, err := r.Announce(a)
				assert.NilError(t, err)
			}
			r.mustBeInPhase(t, c.upstream, c.phase)
		})
	}
}

func TestDeregister(t *testing.T) {
	r, _ := newTestRegistry()
	_, err := r.Announce(announcement("b", 2, 1))
	assert.NilError(t, err)
	r.Deregister("a")
	r.mustBeInPhase(t, "b", member.PhaseUp)
	r.Deregister("b")
	r.mustBeInPhase(t, "b", member.PhaseGone)
	for _, late := range []proxy.Announcement{announcement("b", 2, 1), announcement("b", 2, 9)} {
		_, err = r.Announce(late)
		assert.NilError(t, err)
		r.mustBeInPhase(t, "b", member.PhaseGone)
	}
	_, err = r.Announce(announcement("b", 3, 1))
	assert.NilError(t, err)
	r.mustBeInPhase(t, "b", member.PhaseUp)
}

// An upstream may deregister at a daemon that has restarted and not heard of it yet. An
// announcement that was delayed must not register it then.
func TestLateAnnouncementAfterADeregistrationByAnUnknownUpstream(t *testing.T) {
	r, clock := newTestRegistry()
	started := clock.Now().Add(-time.Minute).UnixMilli()
	r.Deregister("a")
	for sequence := range uint64(3) {
		clock.Advance(time.Second)
		_, err := r.Announce(announcement("a", started, 20+sequence))
		assert.NilError(t, err)
		assert.Assert(t, !r.board.Upstream.Read().Present())
	}
	t.Run("a later process with its id is registered", func(t *testing.T) {
		_, err := r.Announce(announcement("a", clock.Now().UnixMilli(), 1))
		assert.NilError(t, err)
		r.mustBeInPhase(t, "a", member.PhaseUp)
	})
	t.Run("another upstream is registered", func(t *testing.T) {
		_, err := r.Announce(announcement("b", clock.Now().UnixMilli()+1, 1))
		assert.NilError(t, err)
		r.mustBeInPhase(t, "b", member.PhaseUp)
	})
}

func TestAnnouncementExpires(t *testing.T) {
	r, clock := newTestRegistry()
	_, err := r.Announce(announcement("a", 1, 1))
	assert.NilError(t, err)
	clock.Advance(defaultUpstreamLease)
	r.tick(clock.Now())
	r.mustBeInPhase(t, "a", member.PhaseUp)
	clock.Advance(time.Second)
	r.tick(clock.Now())
	r.mustBeInPhase(t, "a", member.PhaseGone)
	_, err = r.Announce(announcement("a", 1, 2))
	assert.NilError(t, err)
	r.mustBeInPhase(t, "a", member.PhaseUp)
}

// An upstream may say in a response that it leaves while its announcements are late or
// its lease has just expired.
func TestLeavingUpstreamIsNotAnnouncedAgain(t *testing.T) {
	leaving := func(t *testing.T) (*upstreamRegistry, *timer.Manual) {
		t.Helper()
		r, clock := newTestRegistry()
		_, err := r.Announce(announcement("a", 1, 1))
		assert.NilError(t, err)
		r.Leave(notice.Process{Upstream: "a", StartedMs: 1})
		r.mustBeInPhase(t, "a", member.PhaseDraining)
		return r, clock
	}
	announce := func(t *testing.T, r *upstreamRegistry, a proxy.Announcement, p member.Phase) {
		t.Helper()
		_, err := r.Announce(a)
		assert.NilError(t, err)
		r.mustBeInPhase(t, a.Upstream, p)
	}
	t.Run("by a late announcement", func(t *testing.T) {
		r, _ := leaving(t)
		announce(t, r, announcement("a", 1, 2), member.PhaseDraining)
	})
	t.Run("after its lease has expired", func(t *testing.T) {
		r, clock := leaving(t)
		clock.Advance(2 * defaultUpstreamLease)
		r.tick(clock.Now())
		r.mustBeInPhase(t, "a", member.PhaseGone)
		announce(t, r, announcement("a", 1, 3), member.PhaseDraining)
	})
	t.Run("unless as a new process", func(t *testing.T) {
		r, _ := leaving(t)
		announce(t, r, announcement("a", 2, 1), member.PhaseUp)
	})
	t.Run("a process that was replaced does not drain its successor", func(t *testing.T) {
		r, _ := newTestRegistry()
		announce(t, r, announcement("b", 2, 1), member.PhaseUp)
		r.Leave(notice.Process{Upstream: "a", StartedMs: 1})
		r.mustBeInPhase(t, "b", member.PhaseUp)
	})
}

// A start far in the future would make every sound announcement outdated.
func TestAnnouncementFromTheFutureIsRefused(t *testing.T) {
	r, clock := newTestRegistry()
	_, err := r.Announce(announcement("a", clock.Now().UnixMilli(), 1))
	assert.NilError(t, err)
	for _, startedMs := range []int64{9e18, 1 << 53, clock.Now().Add(time.Hour).UnixMilli()} {
		_, err = r.Announce(announcement("a", startedMs, 1))
		assert.ErrorContains(t, err, "from now")
	}
	clock.Advance(time.Second)
	_, err = r.Announce(announcement("a", clock.Now().Add(-time.Second).UnixMilli(), 2))
	assert.NilError(t, err)
	r.mustBeInPhase(t, "a", member.PhaseUp)
	t.Run("a clock that was stepped by seconds is not", func(t *testing.T) {
		_, err := r.Announce(announcement("b", clock.Now().Add(5*time.Second).UnixMilli(), 1))
		assert.NilError(t, err)
		r.mustBeInPhase(t, "b", member.PhaseUp)
	})
}

// A daemon that reaches no relay for some seconds after its start must not keep a running
// upstream out: its announcements are in order when they count at last.
func TestHeldAnnouncementsCountInOrder(t *testing.T) {
	recalling := func() (*upstreamRegistry, *timer.Manual, int64) {
		r, clock := newTestRegistry()
		r.recalling = true
		return r, clock, clock.Now().Add(-time.Hour).UnixMilli()
	}
	announce := func(t *testing.T, r *upstreamRegistry, a proxy.Announcement) {
		t.Helper()
		_, err := r.Announce(a)
		assert.NilError(t, err)
		assert.Assert(t, !r.board.Upstream.Read().Present(), "registered before a relay was reached")
	}
	t.Run("a running upstream", func(t *testing.T) {
		r, clock, started := recalling()
		for sequence := range uint64(3) {
			clock.Advance(1500 * time.Millisecond)
			announce(t, r, announcement("a", started, 40+sequence))
		}
		r.Recall(nil, false)
		r.mustBeInPhase(t, "a", member.PhaseUp)
	})
	t.Run("one that a relay knows as gone", func(t *testing.T) {
		r, clock, started := recalling()
		announce(t, r, announcement("a", started, 40))
		r.Recall([]tenure.Departure{{Process: notice.Process{Upstream: "a", StartedMs: started}, Stage: tenure.Gone, AtMs: clock.Now().UnixMilli()}}, false)
		assert.Assert(t, !r.board.Upstream.Read().Present())
	})
	t.Run("one that deregisters meanwhile", func(t *testing.T) {
		r, _, started := recalling()
		announce(t, r, announcement("a", started, 40))
		r.Deregister("a")
		r.Recall(nil, false)
		assert.Assert(t, !r.board.Upstream.Read().Present())
	})
	t.Run("one that drains meanwhile, then a late announcement", func(t *testing.T) {
		r, _, started := recalling()
		draining := announcement("a", started, 41)
		draining.Draining = true
		announce(t, r, draining)
		assert.Equal(t, len(*r.board.Departures.Read()), 1, "acknowledged, but no relay is told")
		announce(t, r, announcement("a", started, 40))
		r.Recall(nil, false)
		r.mustBeInPhase(t, "a", member.PhaseDraining)
	})
	t.Run("a departure that becomes known late", func(t *testing.T) {
		r, clock, started := recalling()
		announce(t, r, announcement("a", started, 40))
		r.Recall(nil, false)
		r.mustBeInPhase(t, "a", member.PhaseUp)
		r.Recall([]tenure.Departure{{Process: notice.Process{Upstream: "a", StartedMs: started}, Stage: tenure.Draining, AtMs: clock.Now().UnixMilli()}}, false)
		r.mustBeInPhase(t, "a", member.PhaseDraining)
	})
}

func evacuated(dcs ...ident.DataCentre) *board.Config {
	st := state.New()
	st.Revision++ // a configuration without any evacuation
	for _, dc := range dcs {
		st.Apply(state.SetEvacuation{Metadata: state.Metadata{ChangeID: ident.ChangeID(dc)}, DataCentre: dc, Evacuating: true})
	}
	return board.NewConfig(st, nil)
}

// Guards against an upstream that is announced as taking calls in an evacuated data centre,
// also by a daemon that has restarted and has no configuration yet, and against one that
// gets none after the undo.
func TestEvacuatedDataCentreDrainsItsUpstreams(t *testing.T) {
	drained := func(r *upstreamRegistry) bool { return r.board.Upstream.Read().Drained }
	t.Run("while the evacuation lasts", func(t *testing.T) {
		r, clock := newTestRegistry()
		_, err := r.Announce(announcement("a", 1, 1))
		assert.NilError(t, err)
		for _, c := range []struct {
			config *board.Config
			want   bool
		}{{evacuated("west"), false}, {evacuated("west", "east"), true}, {evacuated("west"), false}} {
			r.board.Config.Write(c.config)
			r.tick(clock.Now())
			assert.Equal(t, drained(r), c.want)
		}
		assert.Equal(t, len(*r.board.Departures.Read()), 0, "an evacuated upstream has not left")
		r.mustBeInPhase(t, "a", member.PhaseUp)
	})
	t.Run("from the first announcement after a restart", func(t *testing.T) {
		r, clock := newTestRegistry()
		r.recalling = true
		_, err := r.Announce(announcement("a", clock.Now().UnixMilli(), 1))
		assert.NilError(t, err)
		r.Recall(nil, true)
		r.mustBeInPhase(t, "a", member.PhaseUp)
		assert.Assert(t, drained(r), "drained only once the configuration has arrived")
		r.Recall(nil, false) // another relay, which lags behind
		assert.Assert(t, drained(r))
		r.board.Config.Write(evacuated("east"))
		r.tick(clock.Now())
		assert.Assert(t, drained(r))
	})
	t.Run("until the configuration says otherwise", func(t *testing.T) {
		r, clock := newTestRegistry()
		_, err := r.Announce(announcement("a", 1, 1))
		assert.NilError(t, err)
		r.Recall(nil, true)
		assert.Assert(t, drained(r))
		r.board.Config.Write(evacuated())
		r.tick(clock.Now())
		assert.Assert(t, !drained(r), "a relay's word outlasts the configuration")
	})
}

// Guards against a drain of a VM that is taken for an evacuation, and is then not announced,
// and against an evacuation that is announced as a drain when it ends: all VMs of a data
// centre would announce themselves twice, and entries would avoid them in between.
func TestDrainsAndEvacuationsAreToldApart(t *testing.T) {
	r, clock := newTestRegistry()
	_, err := r.Announce(announcement("a", 1, 1))
	assert.NilError(t, err)
	st := state.New()
	writes := 0
	for i, c := range []struct {
		cmd                state.Command
		drained, evacuated bool
	}{
		{state.SetEvacuation{DataCentre: "east", Evacuating: true}, true, true},
		{state.SetDrain{VM: "vm", Draining: true}, true, false},
		{state.SetEvacuation{DataCentre: "east"}, true, false},
		{state.SetEvacuation{DataCentre: "east", Evacuating: true}, true, false},
		{state.SetDrain{VM: "vm"}, true, true},
		{state.SetEvacuation{DataCentre: "east"}, false, false},
	} {
		before := r.board.Upstream.Read()
		st.ApplyAccepted(c.cmd)
		r.board.Config.Write(board.NewConfig(st.Clone(), nil))
		r.tick(clock.Now())
		after := r.board.Upstream.Read()
		assert.Equal(t, after.Drained, c.drained, "step %d", i)
		assert.Equal(t, after.Evacuated, c.evacuated, "step %d", i)
		if after != before {
			writes++
		}
	}
	assert.Equal(t, writes, 4)
}
