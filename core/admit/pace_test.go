package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

const paceWindow = 4 * time.Second

// mostStarted returns the most calls that started within any paceWindow.
func mostStarted(times []time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= paceWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Upstreams allow one and a half times the limit in a window, and five calls.
func mustKeepLimit(t *testing.T, times []time.Time, limit float64) {
	t.Helper()
	allowed := 1.5*limit*paceWindow.Seconds() + 5
	assert.Assert(t, float64(mostStarted(times)) <= allowed, "%d of %.0f", mostStarted(times), allowed)
}

func TestLimitedUpstreamIsUsedUpToItsLimit(t *testing.T) {
	for _, limit := range []float64{1, 2.5, 8.9, 50, 150} {
		for _, load := range []float64{1.2, 2, 10} {
			t.Run(fmt.Sprintf("%v a second, %v times as many arrive", limit, load), func(t *testing.T) {
				ctl, now := New(Config{Slots: 20, QueueLimit: 80}), epoch
				e := entries{perSecond: load * limit, delay: 300 * time.Millisecond}
				ctl.SetRate(now, ident.Rate(limit))
				e.run(ctl, &now, 10*time.Second)
				before := len(e.started)
				const measured = 20
				e.run(ctl, &now, measured*time.Second)
				mustKeepLimit(t, e.started, limit)
				served := float64(len(e.started) - before)
				assert.Assert(t, served >= 0.9*limit*measured-1, "%v of %v calls", served, limit*measured)
			})
		}
	}
}

func TestEntriesRefuseWhatALimitedUpstreamDoesNotTake(t *testing.T) {
	const limit = 50
	ctl, now := New(Config{Slots: 20, QueueLimit: 80}), epoch
	e := entries{perSecond: 4 * limit, delay: 300 * time.Millisecond}
	ctl.SetRate(now, limit)
	e.run(ctl, &now, 10*time.Second)
	assert.Assert(t, math.Abs(ctl.RefuseShare(now)-0.75) < 0.06, "%v", ctl.RefuseShare(now))
	t.Run("but not once the limit has ended", func(t *testing.T) {
		ctl.SetRate(now, 0)
		e.perSecond = 150
		e.run(ctl, &now, 3*time.Second)
		assert.Assert(t, ctl.RefuseShare(now) <= 0.1, "%v", ctl.RefuseShare(now))
	})
}

func TestLimitThatRisesAndFallsIsFollowed(t *testing.T) {
	ctl, now := New(Config{Slots: 20, QueueLimit: 80}), epoch
	e := entries{perSecond: 180, delay: 300 * time.Millisecond}
	for round := range 20 {
		limit := 30.0
		if round%2 == 1 {
			limit = 120
		}
		ctl.SetRate(now, ident.Rate(limit))
		e.run(ctl, &now, time.Second) // the responses that tell of the limit
		before := len(e.started)
		e.run(ctl, &now, paceWindow)
		mustKeepLimit(t, e.started[before:], limit)
		served := float64(len(e.started)-before) / paceWindow.Seconds()
		assert.Assert(t, served >= 0.8*limit, "%v a second at a limit of %v", served, limit)
	}
}

// A limited upstream must not hold calls that another one could serve.
func TestCallsDoNotQueueForALimitedUpstream(t *testing.T) {
	ctl := New(Config{Slots: 20, QueueLimit: 80})
	ctl.SetRate(epoch, 20)
	waiting, refusedCalls := 0, 0
	for n := range 100 {
		refusedCalls += len(refused(ctl.Arrive(epoch, request(n, ident.ClassNormal))))
		waiting = max(waiting, ctl.Load(epoch).Waiting)
	}
	assert.Equal(t, waiting, int(20*maxPaceWait.Seconds()))
	assert.Equal(t, refusedCalls, 100-waiting)
	assert.Assert(t, ctl.Load(epoch).RateUse > 0)
	t.Run("unless the limit is beyond any rate", func(t *testing.T) {
		high := New(Config{Slots: 1, QueueLimit: 3})
		high.SetRate(epoch, 1e24)
		for n := range 4 {
			assert.Equal(t, len(refused(high.Arrive(epoch, request(n, ident.ClassNormal)))), 0)
		}
	})
	t.Run("the most important first", func(t *testing.T) {
		nested := request(200, ident.ClassHigh)
		nested.Nested = true
		ctl.Arrive(epoch, nested)
		mustStart(t, ctl.Tick(epoch.Add(50*time.Millisecond)), 200)
	})
	t.Run("a call whose turn comes after its deadline is refused at once", func(t *testing.T) {
		r := request(300, ident.ClassCritical)
		r.Deadline = epoch.Add(60 * time.Millisecond)
		mustRefuse(t, ctl.Arrive(epoch.Add(50*time.Millisecond), r), 300)
	})
}
