package admit

import (
	"math"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// simulate runs a controller with 20 slots for a number of seconds. The demand is
// perSecond calls that hold a slot for 100 ms each, of which admittedShare is
// admitted.
func simulate(seconds, perSecond int, admittedShare float64) (*Controller, time.Time) {
	ctl := New(Config{Slots: 20, QueueLimit: 20})
	now, ends := epoch, map[Ticket]time.Time{}
	const holdTime = 100 * time.Millisecond
	interval := time.Duration(float64(time.Second) / (float64(perSecond) * admittedShare))
	startCalls := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				ends[s.Ticket] = now.Add(holdTime)
			}
		}
	}
	for n := range int(float64(seconds*perSecond) * admittedShare) {
		now = now.Add(interval)
		for t, end := range ends {
			if !now.Before(end) {
				delete(ends, t)
				startCalls(ctl.Finish(now, t, Sample{SelfTime: holdTime}))
			}
		}
		startCalls(ctl.Arrive(now, Request{
			Ticket: Ticket(n + 1), Priority: ident.Priority{Class: ident.ClassNormal}, Route: "r",
			AdmittedShare: admittedShare, Deadline: now.Add(time.Minute),
		}))
	}
	return ctl, now
}

func TestRefuseShare(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond     int
		admittedShare float64
		want          float64
	}{
		"half of the capacity":                        {100, 1, 0},
		"twice the capacity, half admitted":           {400, 0.5, 0.53},
		"four times the capacity, a quarter admitted": {800, 0.25, 0.76},
	} {
		t.Run(name, func(t *testing.T) {
			ctl, now := simulate(10, c.perSecond, c.admittedShare)
			assert.Assert(t, math.Abs(ctl.RefuseShare(now)-c.want) < 0.06, "%v", ctl.RefuseShare(now))
		})
	}
	t.Run("all admitted", func(t *testing.T) {
		ctl, now := simulate(10, 400, 1)
		assert.Assert(t, ctl.RefuseShare(now) > 0.5, "%v", ctl.RefuseShare(now))
		assert.Equal(t, ctl.RefuseShare(now.Add(20*time.Second)) < 0.5, true, "the estimate must decay without calls")
	})
}

// A change in the mix from short to long calls must not count as a slow upstream;
// the limiter compares each route with its own baseline.
func TestLimiterComparesRoutesWithTheirOwnBaseline(t *testing.T) {
	l := newLimiter(20)
	now := epoch
	observeCalls := func(r ident.Route, selfTime time.Duration) {
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			l.observe(now, r, Sample{SelfTime: selfTime}, 20)
		}
	}
	observeCalls("short", 15*time.Millisecond)
	observeCalls("long", 160*time.Millisecond)
	assert.Equal(t, l.current(), 20)
	observeCalls("long", 400*time.Millisecond)
	assert.Assert(t, l.current() < 20, "%d", l.current())
}
