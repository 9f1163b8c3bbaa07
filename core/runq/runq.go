// Package runq learns how many calls per second a daemon can carry when its own processor
// time, not the upstream, is the bottleneck.
//
// # Usage
//
//	l := runq.NewLimiter(target)
//	l.Observe(now, delay, callsPerSecond)   // at each periodic tick; delay is its lateness
//	perSecond, limited := l.Limit()
//
// The load that this answers: a service with few upstreams gets thousands of calls per
// second, and the daemon beside each has part of a core. Calls then wait for the processor,
// in socket buffers and in the queue of runnable goroutines, where admission control sees
// neither them nor their deadlines.
//
// A periodic tick waits in the same queue, so its lateness is the delay that each step of a
// call has. While the smallest delay of an interval is above the target, the queue is a
// standing one (as in CoDel, RFC 8289), and the limit falls below the rate that was carried
// meanwhile; else it rises, until it is far above that rate and ends. A Limiter is not
// safe for concurrent use.
package runq

import "time"

const (
	// interval is the time over which the smallest delay is taken. It holds several ticks, so
	// that one late tick alone, for instance after a garbage collection, is no overload.
	interval = 100 * time.Millisecond
	// minTicks is the smallest number of ticks that an interval is judged by.
	minTicks = 3
	// drainShare is the part of the carried rate that is let in while a queue stands, so
	// that it empties.
	drainShare = 0.9
	// growth is the factor by which the limit rises in each interval without a queue. A call
	// tree takes several intervals, so the effect of a rise shows before the next doubling.
	growth = 1.02
	// endFactor ends the limit once it is so far above the carried rate that it does not bind.
	endFactor = 2.0
	// minLimit keeps calls coming, in calls per second, so that the limit can rise again.
	minLimit = 20.0
	// maxPause is the longest delay that counts as one of the queue: after a longer one the
	// process has not run at all, which no lower rate of calls would change.
	maxPause = time.Second
)

// Limiter learns the limit of one daemon.
type Limiter struct {
	target time.Duration
	began  time.Time
	ticks  int
	lowest time.Duration
	// carried is the rate of the interval's last observation.
	carried float64
	// limit is in calls per second, zero for none.
	limit float64
	// delay is the smallest delay of the last interval, for metrics.
	delay time.Duration
}

// NewLimiter returns a limiter without a limit. A target of zero or less turns it off.
func NewLimiter(target time.Duration) *Limiter {
	return &Limiter{target: target}
}

// SetTarget changes the delay up to which no queue stands.
func (l *Limiter) SetTarget(target time.Duration) {
	if target != l.target {
		*l = Limiter{target: target}
	}
}

// Observe records the lateness of a tick and the rate of calls that start now.
func (l *Limiter) Observe(now time.Time, delay time.Duration, callsPerSecond float64) {
	if l.target <= 0 || delay > maxPause || !(callsPerSecond >= 0) {
		l.ticks = 0
		return
	}
	if l.ticks == 0 {
		l.began, l.lowest = now, delay
	}
	l.ticks++
	l.lowest = min(l.lowest, max(0, delay))
	l.carried = callsPerSecond
	if l.ticks >= minTicks && now.Sub(l.began) >= interval {
		l.adapt()
		l.ticks = 0
	}
}

func (l *Limiter) adapt() {
	l.delay = l.lowest
	switch {
	case l.lowest > l.target:
		reduced := max(minLimit, drainShare*l.carried)
		if l.limit == 0 || reduced < l.limit {
			l.limit = reduced
		}
	case l.limit > 0:
		l.limit *= growth
		if l.limit > endFactor*max(l.carried, minLimit) {
			l.limit = 0
		}
	}
}

// Limit returns the rate of calls that the daemon can carry. It reports false if its
// processor time is no bottleneck.
func (l *Limiter) Limit() (perSecond float64, limited bool) {
	return l.limit, l.limit > 0
}

// Delay returns the smallest delay of the last interval.
func (l *Limiter) Delay() time.Duration {
	return l.delay
}
