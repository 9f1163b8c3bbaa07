package warm

import (
	"time"

	"chicorymast/core/ident"
)

// Spec says how an upstream is to be treated while it is cold.
type Spec struct {
	// Time is how long an upstream is cold after its start, and Rate what it bears
	// meanwhile from all daemons together.
	Time time.Duration
	Rate ident.Rate
	// Overrun and Slack make up the bound of the calls in any second.
	Overrun, Slack float64
}

// Enabled reports whether upstreams of the service can be cold and a bound is set.
func (s Spec) Enabled() bool {
	return s.Time > 0 && s.Rate > 0 && s.Overrun > 0
}

// Bound returns the most calls in any second.
func (s Spec) Bound() float64 {
	return float64(s.Rate)*s.Overrun + s.Slack
}

// Pace is the rate at which calls may start, and how many may start at once. A rate of zero
// stands for any.
type Pace struct {
	Rate  ident.Rate
	Burst float64
}

const (
	// burstShare is the share of the slack that calls may take at once. The rest takes up
	// calls that are bunched on their way, and health checks.
	burstShare = 0.5
	// bunchedTime is how late calls may be on their way to the upstream: those of a longer
	// time than a second may then arrive in a second.
	bunchedTime = 250 * time.Millisecond
	// reserve is the part of the bound that is never used.
	reserve = 1
	// minPaceRate is the lowest rate, in calls per second. Without calls, an upstream
	// would not be seen to recover.
	minPaceRate = 0.2
	// maxSendLimit bounds the memory of a tracker.
	maxSendLimit = 1 << 14
)

// pace returns the rate and the burst that stay below the bound together: the burst and
// the calls of a second, with those that are bunched.
func (s Spec) pace() Pace {
	burst := min(max(1, burstShare*s.Slack), max(1, s.Bound()-reserve))
	most := (s.Bound() - reserve - burst) / (time.Second + bunchedTime).Seconds()
	return Pace{Rate: max(minPaceRate, min(s.Rate, ident.Rate(most))), Burst: burst}
}

// sendLimit returns the most calls that are sent within sendWindow, at least one.
func (s Spec) sendLimit() int {
	return int(min(max(1, s.Bound()-reserve), maxSendLimit))
}

// Pace returns the pace that the upstream needs now.
func (t *Tracker) Pace(now time.Time) Pace {
	if !t.spec.Enabled() {
		return Pace{}
	}
	t.Tick(now)
	if t.phase == PhaseWarm {
		return Pace{}
	}
	return t.spec.pace()
}

// provisionalTime is how long a doubt is kept to this daemon. A health check mostly
// resolves it within that time, and entries take seconds to use an upstream again.
const provisionalTime = 100 * time.Millisecond

// Provisional reports whether the pace may end soon, so that entries need not adapt to it.
func (t *Tracker) Provisional(now time.Time) bool {
	return t.Phase() == PhaseUncertain && now.Sub(t.since) < provisionalTime
}

// sends holds the times of the last calls that were sent, as many as may be sent within
// sendWindow.
type sends struct {
	times []time.Time
	next  int
	// from is the time before which calls don't count.
	from time.Time
}

// sendWindow is longer than the second of the bound, since a call that is sent later than
// another may arrive earlier.
const sendWindow = 1100 * time.Millisecond

// freshShare is the share of the calls that may be sent within sendWindow after a daemon has
// started. The daemon before it may have sent the others just now.
const freshShare = 0.25

// resize changes how many calls are remembered. Most of them are assumed to have been sent
// now, since those before are not known, or not by their order.
func (s *sends) resize(now time.Time, n int) {
	if n == len(s.times) {
		return
	}
	s.times, s.next = make([]time.Time, n), 0
	for i := int(max(1, freshShare*float64(n))); i < n; i++ {
		s.times[i] = now
	}
}

// countFrom leaves calls out that were sent before a time.
func (s *sends) countFrom(at time.Time) {
	s.from = at
}

// room reports whether another call may be sent.
func (s *sends) room(now time.Time) bool {
	if len(s.times) == 0 {
		return true
	}
	oldest := s.times[s.next]
	return oldest.IsZero() || oldest.Before(s.from) || now.Sub(oldest) > sendWindow
}

func (s *sends) add(now time.Time) {
	if len(s.times) == 0 {
		return
	}
	s.times[s.next] = now
	s.next = (s.next + 1) % len(s.times)
}
