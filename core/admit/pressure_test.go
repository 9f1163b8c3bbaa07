package admit

import (
	"math"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// load runs a gate of 20 slots for some seconds at a number of calls a second
// that hold a slot for 100 ms. Calls are let in at a share, and counted so.
func load(seconds, perSecond int, share float64) (*Controller, time.Time) {
	g := New(Config{Slots: 20, QueueLimit: 20})
	now, ends := epoch, map[Ticket]time.Time{}
	const held = 100 * time.Millisecond
	step := time.Duration(float64(time.Second) / (float64(perSecond) * share))
	begin := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				ends[s.Ticket] = now.Add(held)
			}
		}
	}
	for n := range int(float64(seconds*perSecond) * share) {
		now = now.Add(step)
		for t, end := range ends {
			if !now.Before(end) {
				delete(ends, t)
				begin(g.Finish(now, t, Sample{SelfTime: held}))
			}
		}
		begin(g.Arrive(now, Request{
			Ticket: Ticket(n + 1), Priority: ident.Priority{Class: ident.ClassNormal}, Route: "r", AdmittedShare: share, Deadline: now.Add(time.Minute),
		}))
	}
	return g, now
}

func TestAskToRefuse(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond int
		share     float64
		want      float64
	}{
		"half of what it can do":            {100, 1, 0},
		"twice what it can do, half let in": {400, 0.5, 0.53},
		"four times, a quarter let in":      {800, 0.25, 0.76},
	} {
		t.Run(name, func(t *testing.T) {
			g, now := load(10, c.perSecond, c.share)
			assert.Assert(t, math.Abs(g.RefuseShare(now)-c.want) < 0.06, "%v", g.RefuseShare(now))
		})
	}
	t.Run("all let in", func(t *testing.T) {
		g, now := load(10, 400, 1)
		assert.Assert(t, g.RefuseShare(now) > 0.5, "%v", g.RefuseShare(now))
		assert.Equal(t, g.RefuseShare(now.Add(20*time.Second)) < 0.5, true, "it is forgotten when nothing comes")
	})
}

// A mix that changes from short to long calls is no slow upstream.
func TestLimitComparesRoutesWithThemselves(t *testing.T) {
	l := newLimiter(20)
	now := epoch
	see := func(r ident.Route, own time.Duration) {
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			l.observe(now, r, Sample{SelfTime: own}, 20)
		}
	}
	see("short", 15*time.Millisecond)
	see("long", 160*time.Millisecond)
	assert.Equal(t, l.current(), 20)
	see("long", 400*time.Millisecond)
	assert.Assert(t, l.current() < 20, "%d", l.current())
}
