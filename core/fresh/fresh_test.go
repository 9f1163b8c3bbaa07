package fresh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func TestStagesFitIntoTheGuarantee(t *testing.T) {
	assert.Assert(t, LagBound < InForce, "%s", LagBound)
	assert.Assert(t, MaxCertainAge < InForce)
	assert.Assert(t, MaxCertainAge > SyncHold+SyncSlack, "a daemon in touch must be certain between two syncs")
}

// silentAfter simulates a relay that answers nothing, with a change of the VM's own
// announcement at an interval, and returns when the relay counts as silent.
func silentAfter(interval time.Duration) time.Duration {
	var s Silence
	now, hold := start, SyncHold
	for now.Sub(start) < time.Minute {
		timeout := s.Begin(now, hold)
		if interval == 0 || hold == 0 || timeout <= interval {
			return now.Add(timeout).Sub(start)
		}
		now, hold = now.Add(interval), 0
	}
	return time.Minute
}

// Guards against a relay that is never left because announcements interrupt each sync.
func TestAnnouncementsDoNotExtendTheWaitForASilentRelay(t *testing.T) {
	for _, interval := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, time.Second, 1399 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			assert.Assert(t, silentAfter(interval) <= SyncHold+SyncSlack, "%s", silentAfter(interval))
		})
	}
}

// Guards against a relay that ends held syncs though its configuration is confirmed meanwhile.
func TestHold(t *testing.T) {
	for _, tc := range []struct {
		name      string
		left, age time.Duration
		wasFresh  bool
		check     time.Duration
		ok        bool
	}{
		{"looks again when the configuration would be stale", SyncHold, 100 * time.Millisecond, true, StaleAfter - 100*time.Millisecond, true},
		{"goes on if it was confirmed meanwhile", 300 * time.Millisecond, 100 * time.Millisecond, true, 300 * time.Millisecond, true},
		{"ends when it is stale", 300 * time.Millisecond, StaleAfter, true, 0, false},
		{"goes on if it was stale from the start", 200 * time.Millisecond, time.Minute, false, 200 * time.Millisecond, true},
		{"ends when no time is left", 0, 0, true, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check, ok := Hold(tc.left, tc.age, tc.wasFresh)
			assert.Equal(t, ok, tc.ok)
			assert.Assert(t, !ok || check == tc.check, "%s", check)
		})
	}
}

func TestReplyEndsTheSilence(t *testing.T) {
	var s Silence
	s.Begin(start, SyncHold)
	s.End()
	assert.Equal(t, s.Begin(start.Add(time.Second), SyncHold), SyncHold+SyncSlack)
}

// Guards against a reply that waited on its way and passes for younger than it is.
func TestTimeOnTheWayCountsAsAge(t *testing.T) {
	received := start.Add(5 * time.Second)
	asOf := AsOf(start, time.Second, 100*time.Millisecond)
	assert.Equal(t, received.Sub(asOf), 4100*time.Millisecond)
}

func TestCertainty(t *testing.T) {
	const left = 5 * time.Second
	for _, tc := range []struct {
		name   string
		age    time.Duration
		left   time.Duration
		waited bool
		want   Verdict
	}{
		{"confirmed", SyncHold + SyncSlack, left, false, Certain{}},
		{"lags", InForce, left, false, Recheck{Within: recheckWait}},
		{"lags, little time left", InForce, 400 * time.Millisecond, false, Recheck{Within: 100 * time.Millisecond}},
		{"still lags", InForce, left, true, Uncertain{}},
		{"confirmed after the wait", time.Second, left, true, Certain{}},
		{"cut off", time.Minute, left, false, Uncertain{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, Judge(tc.age, tc.left, tc.waited), tc.want)
		})
	}
}
