package admit

import (
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/ramp"
)

// rampReportTime is how long a ramp is reported after its end. Entries slow down their calls
// to a new VM for that long on their own, unless its daemon reports a ramp.
const rampReportTime = 10 * time.Second

// BeginRamp lets the concurrency begin low: the upstream has started or recovered.
func (c *Controller) BeginRamp(now time.Time) {
	if c.cfg.Ramp {
		c.ramp.Begin()
		c.rampAt = now
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
