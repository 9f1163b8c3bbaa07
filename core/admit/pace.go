package admit

import (
	"math"
	"time"

	"chicorymast/core/ident"
)

// pacer starts calls at no more than a rate, in a token bucket. It answers upstreams
// that name a limit in calls, whatever time a call takes there.
type pacer struct {
	// rate is in calls per second; zero stands for any rate.
	rate float64
	// burst is the least number of tokens that are saved; zero stands for a part of the
	// rate.
	burst   float64
	tokens  float64
	updated time.Time
}

const (
	// paceBurst is the time for which tokens are saved, at most. It is longer than
	// the interval of Tick.
	paceBurst = 100 * time.Millisecond
	// maxPaceWait is the longest time for which calls may wait for their turn. A call
	// that would wait longer is refused at once: another upstream may have room.
	maxPaceWait = 200 * time.Millisecond
)

// set changes the rate. A pacer that had none starts without tokens, since calls have
// just started without it, except for those of a burst.
func (p *pacer) set(now time.Time, rate ident.Rate, burst float64) {
	if p.rate == float64(rate) && p.burst == burst {
		return
	}
	p.refill(now)
	if p.rate == 0 {
		p.tokens = burst
	}
	p.rate, p.burst = float64(rate), burst
	p.tokens = min(p.tokens, p.capacity())
}

func (p *pacer) limited() bool { return p.rate > 0 }

// capacity returns the number of tokens that are saved, at least the one that a call needs.
func (p *pacer) capacity() float64 {
	return max(1, p.burst, p.rate*paceBurst.Seconds())
}

func (p *pacer) refill(now time.Time) {
	if now.After(p.updated) {
		p.tokens = min(p.capacity(), p.tokens+p.rate*now.Sub(p.updated).Seconds())
		p.updated = now
	}
}

// ready reports whether a call may start now.
func (p *pacer) ready(now time.Time) bool {
	if !p.limited() {
		return true
	}
	p.refill(now)
	return p.tokens >= 1
}

// take uses the token of a call that starts.
func (p *pacer) take() {
	if p.limited() {
		p.tokens--
	}
}

// wait returns the time until a call may start that has others ahead of it.
func (p *pacer) wait(now time.Time, ahead int) time.Duration {
	if !p.limited() {
		return 0
	}
	p.refill(now)
	missing := max(0, float64(ahead+1)-p.tokens)
	return time.Duration(missing / p.rate * float64(time.Second))
}

// queueLimit returns how many calls may wait for their turn.
func (p *pacer) queueLimit() int {
	if !p.limited() {
		return math.MaxInt
	}
	return int(min(max(1, p.rate*maxPaceWait.Seconds()), math.MaxInt32))
}

// SetRate sets the rate at which calls may start, zero for any, and starts waiting calls.
func (c *Controller) SetRate(now time.Time, rate ident.Rate) []Effect {
	return c.SetPace(now, rate, 0)
}

// SetPace is SetRate with the number of calls that may start at once.
func (c *Controller) SetPace(now time.Time, rate ident.Rate, burst float64) []Effect {
	if float64(rate) == c.pace.rate && burst == c.pace.burst {
		return nil
	}
	before := c.slotTime(c.meanHold)
	c.pace.set(now, rate, burst)
	if before > 0 {
		c.feedback.rescale(float64(c.slotTime(c.meanHold)) / float64(before))
	}
	effects := c.startWaiting(now)
	c.countRefused(effects)
	return effects
}

// Short reports whether calls wait for the rate, or nearly: less than half of the burst is
// left.
func (c *Controller) Short(now time.Time) bool {
	if !c.pace.limited() {
		return false
	}
	c.pace.refill(now)
	return c.pace.tokens < max(1, c.pace.capacity()/2)
}

// SlowWindows returns how often the calls of a window took twice as long as usual.
func (c *Controller) SlowWindows() uint64 {
	return c.limit.slowWindows
}

// mayStart reports whether the upstream takes another call now.
func (c *Controller) mayStart(now time.Time) bool {
	return len(c.running) < c.concurrency() && c.pace.ready(now)
}

// slotTime returns the time for which a call takes a slot from others: a rate below what
// the slots would allow leaves slots idle that no other call can use.
func (c *Controller) slotTime(hold time.Duration) time.Duration {
	if !c.pace.limited() {
		return hold
	}
	return max(hold, time.Duration(float64(c.concurrency())/c.pace.rate*float64(time.Second)))
}

// rateUse returns the rate of arriving calls relative to a limit, zero without one.
func (c *Controller) rateUse(now time.Time, limit float64) float64 {
	if limit == 0 {
		return 0
	}
	return c.arrivals.Rate(now) / limit
}
