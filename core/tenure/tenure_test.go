package tenure

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/notice"

	"gotest.tools/v3/assert"
)

const testLease = 6 * time.Second

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// process returns a process that started some time before the tests.
func process(u ident.Upstream, before time.Duration) notice.Process {
	return notice.Process{Upstream: u, StartedMs: testStart.Add(-before).UnixMilli()}
}

func at(d time.Duration) time.Time { return testStart.Add(d) }

// restarted returns the Tenure of a daemon that has restarted and recalled the departures
// of the one before.
func restarted(now time.Time, before *Tenure) *Tenure {
	t := New(now, testLease)
	t.Recall(now, before.Departures())
	return t
}

// What was acknowledged must hold after a restart, whatever late announcement comes first.
func TestDeparturesHoldAfterARestart(t *testing.T) {
	a := process("a", time.Minute)
	known := func(t *testing.T) *Tenure {
		t.Helper()
		before := New(at(0), testLease)
		assert.Equal(t, before.Announce(at(0), a, 40), Current)
		return before
	}
	t.Run("deregistered", func(t *testing.T) {
		before := known(t)
		before.Deregister(at(time.Second), "a")
		after := restarted(at(2*time.Second), before)
		for s := range lateness / time.Second {
			assert.Equal(t, after.Announce(at(2*time.Second+s*time.Second), a, uint64(41+s)), Outdated)
		}
		assert.Equal(t, after.Announce(at(50*time.Second), a, 45), Outdated, "a late one for a second time")
	})
	t.Run("deregistered with an empty id", func(t *testing.T) {
		before := known(t)
		before.Deregister(at(time.Second), "")
		assert.Equal(t, restarted(at(2*time.Second), before).Announce(at(3*time.Second), a, 41), Outdated)
	})
	t.Run("draining", func(t *testing.T) {
		before := known(t)
		before.Depart(at(time.Second), a, Draining)
		assert.Equal(t, restarted(at(2*time.Second), before).Announce(at(3*time.Second), a, 39), Leaving)
	})
	t.Run("draining, then deregistered", func(t *testing.T) {
		before := known(t)
		before.Depart(at(time.Second), a, Draining)
		before.Deregister(at(2*time.Second), "a")
		before.Depart(at(3*time.Second), a, Draining)
		assert.Equal(t, restarted(at(4*time.Second), before).Announce(at(5*time.Second), a, 41), Outdated)
	})
	t.Run("over two restarts", func(t *testing.T) {
		before := known(t)
		before.Deregister(at(time.Second), "a")
		again := restarted(at(3*time.Second), restarted(at(2*time.Second), before))
		assert.Equal(t, again.Announce(at(4*time.Second), a, 41), Outdated)
	})
	t.Run("unknown to the daemon that acknowledged", func(t *testing.T) {
		before := New(at(0), testLease)
		before.Deregister(at(0), "a")
		before.Deregister(at(11*time.Second), "b")
		assert.Equal(t, before.Announce(at(12*time.Second), a, 41), Outdated)
		assert.Equal(t, restarted(at(13*time.Second), before).Announce(at(14*time.Second), a, 42), Outdated)
	})
}

// A sound upstream must not be kept out by the departure of another process.
func TestSoundUpstreamsAreCurrent(t *testing.T) {
	departed := func() *Tenure {
		before := New(at(0), testLease)
		before.Announce(at(0), process("a", time.Minute), 40)
		before.Deregister(at(time.Second), "a")
		before.Deregister(at(time.Second), "stranger")
		return restarted(at(2*time.Second), before)
	}
	for name, p := range map[string]notice.Process{
		"another id":                  process("b", time.Hour),
		"a later process, same id":    process("a", -time.Second),
		"a later process, unknown id": process("stranger", -2*time.Second),
		"without a start time":        {Upstream: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, departed().Announce(at(3*time.Second), p, 1), Current)
		})
	}
	t.Run("once departures are old, their number is bounded", func(t *testing.T) {
		tenure := departed()
		for i := range 3 * maxDepartures {
			tenure.Deregister(at(time.Hour), ident.Upstream(fmt.Sprint("u", i)))
		}
		assert.Assert(t, len(tenure.Departures()) <= maxDepartures)
	})
}

// A deregistration that arrives late, when a later process has the id, must not keep that
// one out for good.
func TestALateDeregistrationIsOutlived(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	for name, announced := range map[string]bool{"of an announced process": true, "before its first announcement": false} {
		t.Run(name, func(t *testing.T) {
			a, tenure := process("a", 0), New(at(0), testLease)
			if announced {
				assert.Equal(t, tenure.Announce(at(0), a, 1), Current)
			}
			tenure.Deregister(at(time.Second), "a")
			now, sequence := at(time.Second), uint64(1)
			next := func() Verdict {
				now, sequence = now.Add(heartbeat), sequence+1
				return tenure.Announce(now, a, sequence)
			}
			assert.Equal(t, next(), Outdated)
			for next() == Outdated {
				assert.Assert(t, now.Before(at(20*time.Second)), "still outdated")
			}
			for range 10 {
				assert.Equal(t, next(), Current)
			}
			assert.Equal(t, len(tenure.Departures()), 0)
		})
	}
}

// An announcement with a wrong start time or number must not keep the sound announcements
// of the same upstream out for good.
func TestAWrongAnnouncementIsOutlived(t *testing.T) {
	a := process("a", time.Minute)
	const heartbeat = 1500 * time.Millisecond
	for name, wrong := range map[string]struct {
		process  notice.Process
		sequence uint64
	}{
		"start time":          {process("a", -30*time.Second), 1},
		"number":              {a, 1 << 50},
		"another upstream's":  {process("other", -30*time.Second), 1},
		"stepped clock ahead": {process("before", -4*time.Second), 9},
	} {
		t.Run(name, func(t *testing.T) {
			tenure := New(at(0), testLease)
			tenure.Announce(at(0), a, 1)
			tenure.Announce(at(time.Second), wrong.process, wrong.sequence)
			verdict, now := Outdated, at(time.Second)
			for sequence := uint64(2); verdict == Outdated; sequence++ {
				now = now.Add(heartbeat)
				verdict = tenure.Announce(now, a, sequence)
				assert.Assert(t, now.Before(at(20*time.Second)), "still outdated")
			}
			assert.Equal(t, verdict, Current)
		})
	}
	t.Run("but some late announcements change nothing", func(t *testing.T) {
		tenure := New(at(0), testLease)
		tenure.Announce(at(0), process("b", 0), 1)
		for i := range 5 {
			assert.Equal(t, tenure.Announce(at(time.Duration(i)*time.Second), a, uint64(40+i)), Outdated)
		}
	})
	t.Run("nor repeated ones of the same number", func(t *testing.T) {
		tenure := New(at(0), testLease)
		tenure.Announce(at(0), process("b", 0), 1)
		for i := range 60 {
			assert.Equal(t, tenure.Announce(at(time.Duration(i)*time.Second), a, 40), Outdated)
		}
	})
}

// After a restart of the daemon and of all relays nothing of a departure is known. A single
// late announcement must not bring the upstream back then.
func TestProcessFirstHeardOfLongAfterTheStart(t *testing.T) {
	a := process("a", time.Minute)
	for name, test := range map[string]struct {
		process  notice.Process
		sequence uint64
		at       time.Duration
		want     Verdict
	}{
		"late":                             {a, 40, 4 * time.Second, Outdated},
		"soon after the start":             {a, 40, 2 * time.Second, Current},
		"its first announcement":           {a, 1, 4 * time.Second, Current},
		"started after the daemon":         {process("a", -3*time.Second), 7, 4 * time.Second, Current},
		"an unknown time of its own start": {notice.Process{Upstream: "a"}, 40, 4 * time.Second, Current},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, New(at(0), testLease).Announce(at(test.at), test.process, test.sequence), test.want)
		})
	}
	t.Run("a running process counts with its next announcement", func(t *testing.T) {
		tenure := New(at(0), testLease)
		assert.Equal(t, tenure.Announce(at(4*time.Second), a, 40), Outdated)
		assert.Equal(t, tenure.Announce(at(4*time.Second), a, 40), Outdated)
		assert.Equal(t, tenure.Announce(at(5*time.Second), a, 41), Current)
	})
	t.Run("a process that has been heard of is renewed", func(t *testing.T) {
		tenure := New(at(0), testLease)
		assert.Equal(t, tenure.Announce(at(time.Second), a, 40), Current)
		assert.Equal(t, tenure.Announce(at(time.Minute), a, 80), Current)
	})
}
