package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playCalls lets calls arrive and end at a rate; rejects says which the upstream rejects.
func playCalls(ctl *Controller, now *time.Time, perSecond, calls int, rejects func(n int) bool) {
	for n := range calls {
		*now = now.Add(time.Second / time.Duration(perSecond))
		t := Ticket(now.UnixNano())
		ctl.Arrive(*now, Request{Ticket: t, Route: "r", Deadline: now.Add(time.Minute)})
		ctl.Finish(*now, t, Sample{SelfTime: time.Millisecond, HoldTime: time.Millisecond, Rejected: rejects(n)})
	}
}

func mustAccept(t *testing.T, ctl *Controller, now time.Time, lowest, highest float64) {
	t.Helper()
	share := ctl.AcceptedShare(now)
	assert.Assert(t, share >= lowest && share <= highest, "accepted share %.3f", share)
}

// Entries must learn soon that an upstream rejects a share of its calls, and that it no
// longer does, but not from a handful of calls.
func TestAcceptedShare(t *testing.T) {
	none := func(int) bool { return false }
	most := func(n int) bool { return n%20 < 11 }
	newController := func() (*Controller, time.Time) { return New(Config{Slots: 10, QueueLimit: 10}), epoch }
	t.Run("nothing is known without calls", func(t *testing.T) {
		ctl, now := newController()
		mustAccept(t, ctl, now, 1, 1)
	})
	t.Run("follows the upstream within a second", func(t *testing.T) {
		ctl, now := newController()
		playCalls(ctl, &now, 200, 400, none)
		mustAccept(t, ctl, now, 1, 1)
		playCalls(ctl, &now, 200, 200, most)
		mustAccept(t, ctl, now, 0.4, 0.6)
		playCalls(ctl, &now, 200, 200, none)
		mustAccept(t, ctl, now, 0.9, 1)
		playCalls(ctl, &now, 200, 400, none)
		mustAccept(t, ctl, now, 1, 1)
	})
	t.Run("a few calls show nothing", func(t *testing.T) {
		ctl, now := newController()
		playCalls(ctl, &now, 5, 20, most)
		mustAccept(t, ctl, now, 1, 1)
	})
	t.Run("never zero", func(t *testing.T) {
		ctl, now := newController()
		playCalls(ctl, &now, 200, 400, func(int) bool { return true })
		mustAccept(t, ctl, now, minAcceptedShare, 0.02)
	})
	t.Run("calls that were not sent show nothing", func(t *testing.T) {
		ctl, now := newController()
		playCalls(ctl, &now, 200, 100, func(int) bool { return true })
		for n := range 500 {
			ctl.Arrive(now, Request{Ticket: Ticket(n + 1), Route: "r", Deadline: now.Add(time.Minute)})
			ctl.Finish(now, Ticket(n+1), Sample{})
		}
		mustAccept(t, ctl, now, minAcceptedShare, 0.02)
	})
	t.Run("forgotten without calls", func(t *testing.T) {
		ctl, now := newController()
		playCalls(ctl, &now, 200, 400, most)
		mustAccept(t, ctl, now.Add(3*time.Second), 1, 1)
	})
}
