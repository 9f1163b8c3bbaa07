package warm

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/notice"

	"gotest.tools/v3/assert"
)

var firstProcess = notice.Process{Upstream: "u", StartedMs: 1}

// newWarm returns a tracker of an upstream that is warm and serves, and the time.
func newWarm(t *testing.T) (*Tracker, time.Time) {
	t.Helper()
	tr, now := New(), epoch
	tr.SetSpec(now, coldSpec)
	tr.SetCheckable(true)
	tr.Serve(now, firstProcess, true)
	mustBe(t, tr, now, PhaseUncertain)
	tr.Checked(now, now, Stated{})
	mustBe(t, tr, now, PhaseWarm)
	// Calls that were sent before no longer count.
	now = now.Add(2 * sendWindow)
	tr.Send(now)
	tr.Answered(now, now)
	return tr, now
}

func mustBe(t *testing.T, tr *Tracker, now time.Time, want Phase) {
	t.Helper()
	pace := tr.Pace(now)
	assert.Equal(t, tr.Phase(), want)
	assert.Equal(t, pace.Rate == 0, want == PhaseWarm)
}

// Guards against an upstream that is flooded because the daemon does not notice that it may
// be cold.
func TestUpstreamMayBeCold(t *testing.T) {
	const quietTime = 2 * time.Second
	for name, happen := range map[string]func(tr *Tracker, now time.Time){
		"another process is there": func(tr *Tracker, now time.Time) {
			tr.Serve(now, notice.Process{Upstream: "u", StartedMs: 2}, true)
		},
		"another process says that it is warm": func(tr *Tracker, now time.Time) {
			tr.Announced(now, notice.Process{Upstream: "u", StartedMs: 2}, 0)
		},
		"an evacuation is undone": func(tr *Tracker, now time.Time) {
			tr.Serve(now, firstProcess, false)
			tr.Serve(now, firstProcess, true)
		},
		"a connection ends": func(tr *Tracker, now time.Time) { tr.Doubt(now) },
		"calls begin again": func(tr *Tracker, now time.Time) { tr.Arriving(now) },
		"no call is answered": func(tr *Tracker, now time.Time) {
			tr.Send(now.Add(-quietTime))
			tr.Tick(now)
		},
		"the configuration begins to say so": func(tr *Tracker, now time.Time) {
			tr.SetSpec(now, Spec{})
			tr.SetSpec(now, coldSpec)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr, now := newWarm(t)
			now = now.Add(quietTime)
			mustBe(t, tr, now, PhaseWarm)
			happen(tr, now)
			mustBe(t, tr, now, PhaseUncertain)
		})
	}
}

// Guards against an old statement that is taken for the state after a doubt.
func TestStatementsFromBeforeADoubtDoNotEndIt(t *testing.T) {
	tr, now := newWarm(t)
	tr.StartCheck(now)
	tr.Doubt(now.Add(time.Millisecond))
	now = now.Add(2 * time.Millisecond)
	tr.Checked(now, now.Add(-2*time.Millisecond), Stated{})
	mustBe(t, tr, now, PhaseUncertain)
	tr.Announced(now, firstProcess, 0)
	mustBe(t, tr, now, PhaseUncertain)
	tr.Announced(now, firstProcess, 10*time.Millisecond)
	now = now.Add(20 * time.Millisecond)
	mustBe(t, tr, now, PhaseUncertain)
	t.Run("nor do answers to earlier calls", func(t *testing.T) {
		tr.Answered(now, now.Add(-time.Second))
		mustBe(t, tr, now.Add(coldSpec.Time), PhaseUncertain)
	})
	t.Run("but an announcement that must be younger does", func(t *testing.T) {
		tr.Announced(now.Add(announcementDelay), firstProcess, 0)
		mustBe(t, tr, now.Add(announcementDelay), PhaseWarm)
	})
}

// Guards against upstreams that are left idle by statements that are wrong, or missing.
func TestDoubtsEnd(t *testing.T) {
	t.Run("at the latest after the warm-up of a process that answers", func(t *testing.T) {
		tr, now := newWarm(t)
		tr.Doubt(now)
		tr.Checked(now, now, Unanswered{})
		assert.Assert(t, tr.Send(now))
		tr.Answered(now, now)
		mustBe(t, tr, now.Add(coldSpec.Time-1), PhaseUncertain)
		mustBe(t, tr, now.Add(coldSpec.Time), PhaseWarm)
	})
	for name, left := range map[string]time.Duration{"years": 1 << 60, "the warm-up": coldSpec.Time} {
		t.Run("an announcement of "+name, func(t *testing.T) {
			tr, now := newWarm(t)
			tr.SetCheckable(false)
			tr.Announced(now, firstProcess, left)
			mustBe(t, tr, now.Add(coldSpec.Time-1), PhaseCold)
			mustBe(t, tr, now.Add(coldSpec.Time), PhaseWarm)
		})
		t.Run("a health check of "+name, func(t *testing.T) {
			tr, now := newWarm(t)
			tr.Checked(now, now, Stated{Left: left})
			now = now.Add(coldSpec.Time)
			mustBe(t, tr, now, PhaseCold)
			assert.Assert(t, tr.WantsCheck(now, false), "the end is confirmed")
			mustBe(t, tr, now.Add(confirmTime), PhaseWarm)
		})
	}
	t.Run("an announcement that contradicts an earlier health check", func(t *testing.T) {
		tr, now := newWarm(t)
		long := coldSpec
		long.Time = time.Minute
		tr.SetSpec(now, long)
		now = now.Add(time.Second)
		tr.Checked(now, now, Stated{Left: 30 * time.Second})
		tr.Announced(now.Add(2*announcementDelay), firstProcess, 0)
		mustBe(t, tr, now.Add(2*announcementDelay), PhaseCold)
		mustBe(t, tr, now.Add(30*time.Second+confirmTime), PhaseWarm)
	})
	t.Run("a cold time below zero", func(t *testing.T) {
		tr, now := newWarm(t)
		tr.Announced(now, firstProcess, -1)
		mustBe(t, tr, now, PhaseWarm)
	})
}

// Guards against health checks that burden an upstream without need.
func TestHealthChecksAreSentWhenTheyMatter(t *testing.T) {
	tr, now := newWarm(t)
	assert.Assert(t, !tr.WantsCheck(now, true), "a warm upstream")
	tr.Doubt(now)
	assert.Assert(t, !tr.WantsCheck(now, false), "no call has to wait")
	assert.Assert(t, tr.WantsCheck(now, true))
	tr.StartCheck(now)
	assert.Assert(t, !tr.WantsCheck(now.Add(time.Second), true), "one at a time")
	now = now.Add(time.Second)
	tr.Checked(now, now.Add(-time.Second), Unanswered{})
	assert.Assert(t, !tr.WantsCheck(now, true), "not again at once")
	now = now.Add(retryInterval)
	assert.Assert(t, tr.WantsCheck(now, true))
	tr.StartCheck(now)
	tr.Checked(now, now, Stated{})
	t.Run("one a second of an upstream that rejects calls", func(t *testing.T) {
		tr.Suspect(now)
		assert.Assert(t, !tr.WantsCheck(now.Add(checkInterval), true), "one was just made")
		now = now.Add(suspectInterval)
		tr.Suspect(now)
		assert.Assert(t, tr.WantsCheck(now, false))
	})
	t.Run("none where the upstream takes no calls or has no health check", func(t *testing.T) {
		tr.Doubt(now)
		tr.SetCheckable(false)
		assert.Assert(t, !tr.WantsCheck(now, true))
		tr.SetCheckable(true)
		tr.Serve(now, firstProcess, false)
		assert.Assert(t, !tr.WantsCheck(now, true))
	})
}

// Guards against calls that were sent before an upstream said that it is cold, and arrived
// at the cold upstream: they count.
func TestCallsFromBeforeTheStatementCount(t *testing.T) {
	tr, now := newWarm(t)
	for range 100 {
		assert.Assert(t, tr.Send(now))
	}
	tr.Announced(now, firstProcess, time.Second)
	assert.Assert(t, !tr.Send(now))
	assert.Assert(t, tr.Send(now.Add(sendWindow+1)))
	t.Run("but not those to the process before a crash", func(t *testing.T) {
		tr, now := newWarm(t)
		for range 100 {
			tr.Send(now)
		}
		now = now.Add(time.Millisecond)
		tr.Doubt(now)
		assert.Assert(t, tr.Send(now))
	})
}

// Guards against a pace above the bound, and against one of zero that never ends.
func TestPaceStaysBelowTheBound(t *testing.T) {
	for _, s := range []Spec{
		coldSpec,
		{Time: time.Second, Rate: 0.1, Overrun: 1, Slack: 0},
		{Time: time.Second, Rate: 1, Overrun: 1, Slack: 0},
		{Time: time.Second, Rate: 50, Overrun: 1, Slack: 0},
		{Time: time.Second, Rate: 50, Overrun: 1, Slack: 100},
		{Time: time.Second, Rate: 1e7, Overrun: 100, Slack: 1e9},
		{Time: time.Second, Rate: 3, Overrun: 1.5, Slack: 2.5},
	} {
		t.Run(fmt.Sprint(s.Rate, s.Overrun, s.Slack), func(t *testing.T) {
			p := s.pace()
			assert.Assert(t, p.Rate > 0 && p.Rate <= max(s.Rate, minPaceRate))
			assert.Assert(t, p.Burst >= 1)
			inASecond := p.Burst + float64(p.Rate)*(time.Second+bunchedTime).Seconds()
			assert.Assert(t, inASecond <= max(s.Bound(), 1+minPaceRate*2), "%v of %v", inASecond, s.Bound())
			assert.Assert(t, s.sendLimit() >= 1 && s.sendLimit() <= maxSendLimit)
		})
	}
	t.Run("and is used as far as the upstream bears it", func(t *testing.T) {
		assert.Equal(t, coldSpec.pace().Rate, ident.Rate(7.2))
	})
	t.Run("none where the settings have no bound", func(t *testing.T) {
		tr := New()
		tr.SetSpec(epoch, Spec{Time: time.Second, Rate: 5})
		assert.Equal(t, tr.Pace(epoch), Pace{})
		for range 100 {
			assert.Assert(t, tr.Send(epoch))
		}
	})
}
