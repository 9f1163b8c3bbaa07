package runq

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tick   = 10 * time.Millisecond
	target = 5 * time.Millisecond
	// deadline is how long a caller waits for a call to be carried.
	deadline = 300 * time.Millisecond
)

// processor is a queue of calls in front of a daemon's processor time.
type processor struct {
	now time.Time
	// capacity is in calls per second, backlog in calls.
	capacity, backlog float64
	limiter           *Limiter
}

func newProcessor(capacity float64, target time.Duration) *processor {
	return &processor{now: time.Unix(1000, 0), capacity: capacity, limiter: NewLimiter(target)}
}

// play offers calls for a while. It returns the rate of calls that were carried in time, and
// the longest delay in the last half.
func (p *processor) play(d time.Duration, offered float64) (inTime float64, longest time.Duration) {
	steps := int(d / tick)
	for n := range steps {
		p.now = p.now.Add(tick)
		admitted := offered
		if limit, limited := p.limiter.Limit(); limited {
			admitted = min(admitted, limit)
		}
		p.backlog += admitted * tick.Seconds()
		carried := min(p.backlog, p.capacity*tick.Seconds())
		p.backlog -= carried
		delay := time.Duration(p.backlog / p.capacity * float64(time.Second))
		if delay <= deadline {
			inTime += carried
		}
		if n > steps/2 {
			longest = max(longest, delay)
		}
		p.limiter.Observe(p.now, delay, carried/tick.Seconds())
	}
	return inTime / d.Seconds(), longest
}

// Without the limit, calls wait for the processor longer than their callers do.
func TestCallsAreCarriedInTimeUnderOverload(t *testing.T) {
	for name, factor := range map[string]float64{"1.1": 1.1, "1.5": 1.5, "3": 3} {
		t.Run(name+" times the capacity", func(t *testing.T) {
			without, _ := newProcessor(3000, 0).play(10*time.Second, factor*3000)
			with, longest := newProcessor(3000, target).play(10*time.Second, factor*3000)
			assert.Assert(t, with >= 0.85*3000, "carried in time: %.0f a second, %.0f without", with, without)
			assert.Assert(t, with > without)
			assert.Assert(t, longest <= deadline/4, "delay %s", longest)
		})
	}
}

// A daemon with enough processor time must not refuse anything.
func TestNoLimitBelowTheCapacity(t *testing.T) {
	p := newProcessor(3000, target)
	p.play(10*time.Second, 2900)
	_, limited := p.limiter.Limit()
	assert.Assert(t, !limited)
}

// The limit must not outlast the overload by more than a few seconds.
func TestLimitEndsAfterTheOverload(t *testing.T) {
	p := newProcessor(3000, target)
	p.play(5*time.Second, 6000)
	p.play(6*time.Second, 1000)
	_, limited := p.limiter.Limit()
	assert.Assert(t, !limited)
}

func TestLimitFollowsAFasterProcessor(t *testing.T) {
	p := newProcessor(1000, target)
	p.play(5*time.Second, 4000)
	p.capacity = 3000
	p.play(8*time.Second, 4000)
	inTime, _ := p.play(2*time.Second, 4000)
	assert.Assert(t, inTime >= 0.85*3000, "%.0f", inTime)
}

// A wrong measurement must not refuse everything.
func TestWrongMeasurements(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		rate  float64
	}{
		"the process did not run":     {10 * time.Second, 3000},
		"a clock that steps back":     {-time.Hour, 3000},
		"no calls":                    {50 * time.Millisecond, 0},
		"a rate that is not a number": {50 * time.Millisecond, math.NaN()},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimiter(target)
			now := time.Unix(1000, 0)
			for range 200 {
				now = now.Add(tick)
				l.Observe(now, c.delay, c.rate)
			}
			limit, limited := l.Limit()
			assert.Assert(t, !limited || limit >= minLimit, "%v", limit)
		})
	}
}

// One late tick is no queue: a garbage collection makes one.
func TestSingleLateTicksAreNoOverload(t *testing.T) {
	l := NewLimiter(target)
	now := time.Unix(1000, 0)
	for n := range 500 {
		now = now.Add(tick)
		delay := time.Duration(0)
		if n%5 == 0 {
			delay = 80 * time.Millisecond
		}
		l.Observe(now, delay, 2000)
	}
	_, limited := l.Limit()
	assert.Assert(t, !limited)
}
