package daemon

import (
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

func newHost() (*host, *timer.Manual) {
	clock := timer.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	return &host{vm: "vm", clock: clock, board: board.New(), log: event.Discard(), lease: upstreamLease}, clock
}

func said(u ident.Upstream, started int64, sequence uint64) proxy.Announcement {
	return proxy.Announcement{Service: "s", Upstream: u, Address: "127.0.0.1:1", Slots: 3, StartedMs: started, Sequence: sequence}
}

func (h *host) mustBe(t *testing.T, u ident.Upstream, p member.Phase) {
	t.Helper()
	s := h.board.Upstream.Read()
	assert.Equal(t, s.ID, u)
	assert.Equal(t, s.Phase, p)
}

func TestAnnouncementsThatCameLate(t *testing.T) {
	draining := func(u ident.Upstream, started int64, sequence uint64) proxy.Announcement {
		a := said(u, started, sequence)
		a.Draining = true
		return a
	}
	for name, c := range map[string]struct {
		steps []proxy.Announcement
		who   ident.Upstream
		phase member.Phase
	}{
		"a later one of the same life wins":   {[]proxy.Announcement{draining("a", 1, 6), said("a", 1, 5)}, "a", member.PhaseDraining},
		"the same one twice":                  {[]proxy.Announcement{said("a", 1, 5), said("a", 1, 5)}, "a", member.PhaseUp},
		"a drain is not taken back":           {[]proxy.Announcement{draining("a", 1, 5), said("a", 1, 6)}, "a", member.PhaseDraining},
		"a new life under the same name":      {[]proxy.Announcement{draining("a", 1, 90), said("a", 2, 1)}, "a", member.PhaseUp},
		"another upstream at the address":     {[]proxy.Announcement{said("a", 1, 9), said("b", 2, 1)}, "b", member.PhaseUp},
		"the one before it, delayed":          {[]proxy.Announcement{said("a", 1, 9), said("b", 2, 1), said("a", 1, 10)}, "b", member.PhaseUp},
		"the same name, an earlier life":      {[]proxy.Announcement{said("a", 2, 1), draining("a", 1, 50)}, "a", member.PhaseUp},
		"without numbers the last one counts": {[]proxy.Announcement{said("a", 0, 0), said("b", 0, 0), said("a", 0, 0)}, "a", member.PhaseUp},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newHost()
			for _, a := range c.steps {
				_, err := h.Announce(a)
				assert.NilError(t, err)
			}
			h.mustBe(t, c.who, c.phase)
		})
	}
}

func TestLeave(t *testing.T) {
	h, _ := newHost()
	_, err := h.Announce(said("b", 2, 1))
	assert.NilError(t, err)
	h.Deregister("a")
	h.mustBe(t, "b", member.PhaseUp)
	h.Deregister("b")
	h.mustBe(t, "b", member.PhaseGone)
	for _, late := range []proxy.Announcement{said("b", 2, 1), said("b", 2, 9)} {
		_, err = h.Announce(late)
		assert.NilError(t, err)
		h.mustBe(t, "b", member.PhaseGone)
	}
	_, err = h.Announce(said("b", 3, 1))
	assert.NilError(t, err)
	h.mustBe(t, "b", member.PhaseUp)
}

func TestSilentUpstreamIsLost(t *testing.T) {
	h, clock := newHost()
	_, err := h.Announce(said("a", 1, 1))
	assert.NilError(t, err)
	clock.Advance(upstreamLease)
	h.tick(clock.Now())
	h.mustBe(t, "a", member.PhaseUp)
	clock.Advance(time.Second)
	h.tick(clock.Now())
	h.mustBe(t, "a", member.PhaseGone)
	_, err = h.Announce(said("a", 1, 2))
	assert.NilError(t, err)
	h.mustBe(t, "a", member.PhaseUp)
}
