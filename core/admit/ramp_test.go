package admit

import (
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// rampRound lets as many calls run as start at once, of many that ask, and end.
func rampRound(ctl *Controller, now *time.Time, ticket *int, s Sample) (ran int) {
	var running []Ticket
	for range 40 {
		*ticket++
		r := request(*ticket, ident.ClassNormal)
		if t := started(ctl.Arrive(*now, r)); len(t) > 0 {
			running = append(running, t...)
		} else {
			ctl.Cancel(r.Ticket)
		}
	}
	*now = now.Add(20 * time.Millisecond)
	for _, t := range running {
		ctl.Finish(*now, t, s)
	}
	return len(running)
}

// Guards against an upstream that gets the calls of all its slots at once when it has just
// started, and against one that is not used in full after that.
func TestConcurrencyBeginsLowAfterAStart(t *testing.T) {
	const slots = 20
	good := Sample{SelfTime: 20 * time.Millisecond}
	ctl, now, ticket := New(Config{Slots: slots, QueueLimit: slots, Ramp: true}), epoch, 0
	assert.Equal(t, rampRound(ctl, &now, &ticket, good), slots, "no ramp has begun")
	assert.Assert(t, !ctl.Load(now).Ramp)
	ctl.BeginRamp(now)
	assert.Equal(t, ctl.Load(now).Limit, slots/10)
	assert.Assert(t, ctl.Load(now).Ramp, "entries need no slow start of their own")
	assert.Equal(t, rampRound(ctl, &now, &ticket, Sample{Failed: true}), slots/10)
	for range 10 {
		rampRound(ctl, &now, &ticket, Sample{Failed: true})
	}
	assert.Assert(t, rampRound(ctl, &now, &ticket, Sample{Failed: true}) <= slots/4, "it fails and gets more calls")
	for range 30 {
		rampRound(ctl, &now, &ticket, good)
	}
	assert.Equal(t, rampRound(ctl, &now, &ticket, good), slots)
	assert.Assert(t, !ctl.RampActive())
	assert.Assert(t, !ctl.Load(now.Add(rampReportTime)).Ramp)
	t.Run("not without the setting", func(t *testing.T) {
		off := New(Config{Slots: slots, QueueLimit: slots})
		off.BeginRamp(now)
		assert.Equal(t, off.Load(now).Limit, slots)
		assert.Assert(t, !off.Load(now).Ramp)
	})
	t.Run("calls that were not sent show nothing", func(t *testing.T) {
		ctl.BeginRamp(now)
		for range 100 {
			rampRound(ctl, &now, &ticket, Sample{SelfTime: time.Microsecond, NotSent: true})
		}
		assert.Equal(t, ctl.Load(now).Limit, slots/10)
	})
}

// Guards against calls that entries refuse for a service because one of its upstreams has
// just started, while others have room.
func TestRampDoesNotShowALackOfCapacity(t *testing.T) {
	const slots = 20
	ctl, now, ticket := New(Config{Slots: slots, QueueLimit: slots, Ramp: true}), epoch, 0
	rampRound(ctl, &now, &ticket, Sample{SelfTime: 100 * time.Millisecond})
	ctl.BeginRamp(now)
	for n := range 2000 {
		now = now.Add(5 * time.Millisecond)
		r := request(n+ticket+1, ident.ClassNormal)
		r.RoomElsewhere = true
		ctl.Arrive(now, r)
	}
	assert.Assert(t, ctl.RefuseShare(now) < 0.05, "%v", ctl.RefuseShare(now))
}
