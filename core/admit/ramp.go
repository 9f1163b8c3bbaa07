package admit

import (
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/ramp"
)

// rampReportTime is how long a ramp is reported after its end. Entries slow down their calls
// to a new VM for that long on their own, unless its daemon reports a ramp.
const rampReportTime = 10 * time.Second

// scarcityWeight is the weight of a call in the share of calls without another upstream to go
// to. Entries send some calls before they know of a ramp.
const scarcityWeight = 0.05

// recentStart is the age up to which a process counts as just started. It covers the seconds
// for which one is slow after its start, also if clocks differ a little; a longer time would
// slow down a whole fleet whose callers come some seconds after it was started.
const recentStart = 5 * time.Second

// BeginRamp lets the concurrency begin low: the upstream has started or recovered.
func (c *Controller) BeginRamp(now time.Time) {
	if c.cfg.Ramp {
		c.ramp.Begin()
		c.ramp.IgnoreRunning(len(c.running))
		c.rampAt, c.scarcity = now, 0
	}
}

// BeginRampIfStartedAt begins a ramp if the process of the upstream started a moment ago, or
// at an unknown time. One that has run for longer than this daemon needs none.
func (c *Controller) BeginRampIfStartedAt(now, started time.Time) {
	if started.IsZero() || now.Sub(started) < recentStart {
		c.BeginRamp(now)
	}
}

// RampProgress lets the concurrency rise between windows of calls. NestedCalls is the number
// of calls that the upstream has made since the last call of RampProgress.
func (c *Controller) RampProgress(now time.Time, nestedCalls int) {
	if c.RampActive() {
		c.ramp.Progress(now, nestedCalls)
	}
}

// RampActive reports whether the concurrency is below the slots by a ramp.
func (c *Controller) RampActive() bool {
	return c.cfg.Ramp && c.ramp.Active()
}

// RunningHold returns the number of running calls and the mean time that calls take.
func (c *Controller) RunningHold() (running int, hold time.Duration) {
	return len(c.running), c.meanHold
}

// concurrency returns the number of calls that may run at once.
func (c *Controller) concurrency() int {
	if !c.RampActive() {
		return c.limit.current()
	}
	return min(c.limit.current(), c.ramp.Limit())
}

// noteScarcity records whether a call that arrives during a ramp has another upstream to go to.
func (c *Controller) noteScarcity(r Request) {
	if !c.RampActive() {
		return
	}
	scarce := 1.0
	if r.RoomElsewhere {
		scarce = 0
	}
	c.scarcity += scarcityWeight * (scarce - c.scarcity)
}

// demandConcurrency returns the concurrency with which the demand for the service is compared.
// Entries refuse calls for the whole service by it, so a ramp lowers it only as far as calls
// have no other upstream to go to.
func (c *Controller) demandConcurrency() float64 {
	if !c.RampActive() {
		return float64(c.concurrency())
	}
	return c.scarcity*float64(c.concurrency()) + (1-c.scarcity)*float64(c.limit.current())
}

// observeRamp passes a call that has ended to the ramp. Those whose callers have left show
// nothing.
func (c *Controller) observeRamp(now time.Time, route ident.Route, s Sample) {
	if !c.cfg.Ramp {
		return
	}
	if c.ramp.Active() {
		c.rampAt = now
	}
	call := ramp.Call{SelfTime: s.SelfTime, Failed: s.Failed || s.Shed}
	if s.SelfTimeUnknown {
		call.SelfTime = 0
	}
	if !s.Abandoned {
		c.ramp.Observe(route, call, len(c.running))
	}
}

func (c *Controller) reportsRamp(now time.Time) bool {
	return c.cfg.Ramp && !c.rampAt.IsZero() && now.Sub(c.rampAt) < rampReportTime
}
