package inflow_test

import (
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// limit lets an upstream name a limit from now on, zero for none.
func (f *fleet) limit(name ident.VM, rate ident.Rate) {
	const tickInterval = 10 * time.Millisecond
	v := f.vms[name]
	ticking := v.limit > 0
	v.limit = rate
	f.apply(v, v.controller.SetRate(f.now, rate))
	var tick func()
	tick = func() {
		f.apply(v, v.controller.Tick(f.now))
		if v.limit > 0 {
			f.after(tickInterval, tick)
		}
	}
	if !ticking {
		f.after(tickInterval, tick)
	}
}

// startRate returns the rate at which an upstream has started calls for a duration.
func (f *fleet) startRate(name ident.VM, d time.Duration) float64 {
	n := 0
	for _, at := range f.vms[name].started {
		if f.now.Sub(at) <= d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// mustKeepLimits checks the limits over a window of 4 s.
func (f *fleet) mustKeepLimits(t *testing.T) {
	t.Helper()
	const window, overrun, slack = 4 * time.Second, 1.5, 5
	for name, v := range f.vms {
		if v.limit > 0 {
			got := f.startRate(name, window) * window.Seconds()
			assert.Assert(t, got <= overrun*float64(v.limit)*window.Seconds()+slack, "%s: %.0f calls", name, got)
		}
	}
}

// mustArriveWithin checks that few calls are sent to limited upstreams in vain.
func (f *fleet) mustArriveWithin(t *testing.T, share float64) {
	t.Helper()
	for name, v := range f.vms {
		use := v.controller.Load(f.now).RateUse
		assert.Assert(t, use <= share, "%s: %.2f times the limit arrives", name, use)
	}
}

func mustFailFew(t *testing.T, o *outcome, share float64) {
	t.Helper()
	assert.Assert(t, float64(o.failed) <= share*float64(o.offered), "%+v", *o)
}

// Upstreams that ask for less must get less, without loss while others have room.
func TestLimitedUpstreams(t *testing.T) {
	const phase = 8 * time.Second
	t.Run("two of three, and the third has room", func(t *testing.T) {
		f := newFleet()
		routes := loadRoutes(0.45)
		f.run(phase, routes...)
		f.limit("deep-a", ident.Rate(f.startRate("deep-a", phase)/2))
		f.limit("deep-b", ident.Rate(f.startRate("deep-b", phase)/2))
		f.run(phase/4, routes...)
		outcomes := f.measure(phase, routes...)
		f.mustKeepLimits(t)
		f.mustArriveWithin(t, 1.2)
		mustComplete(t, outcomes["pay"], 0.97)
		mustComplete(t, outcomes["browse"], 0.97)
	})
	t.Run("all of them", func(t *testing.T) {
		f := newFleet()
		routes := loadRoutes(0.6)
		f.run(phase, routes...)
		allowed := 0.0
		for _, name := range []ident.VM{"deep-a", "deep-b", "deep-c"} {
			f.limit(name, ident.Rate(f.startRate(name, phase)*0.7))
			allowed += float64(f.vms[name].limit)
		}
		f.run(phase, routes...)
		outcomes := f.measure(phase, routes...)
		f.mustKeepLimits(t)
		mustComplete(t, outcomes["pay"], 0.9)
		mustFailFew(t, outcomes["browse"], 0.1)
		useful := float64(outcomes["pay"].done*8+outcomes["browse"].done*4) / phase.Seconds()
		assert.Assert(t, useful >= 0.8*allowed, "%.0f of %.0f calls a second", useful, allowed)
		t.Run("until they name none", func(t *testing.T) {
			for _, name := range []ident.VM{"deep-a", "deep-b", "deep-c"} {
				f.limit(name, 0)
			}
			f.run(phase/2, routes...)
			outcomes := f.measure(phase, routes...)
			mustComplete(t, outcomes["pay"], 0.97)
			mustComplete(t, outcomes["browse"], 0.97)
		})
	})
}
