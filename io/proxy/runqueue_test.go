package proxy

import (
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/io/event"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// Guards against a limit that entries follow for good after it was turned off.
func TestProcessorLimitEndsWithItsSetting(t *testing.T) {
	cfg, clock := config.Default(), timer.NewManual(time.Unix(1000, 0))
	cfg.Admission.RunQueueTarget = 5 * time.Millisecond
	a := newAdmission(Options{Config: func() *config.Config { return &cfg }, Clock: clock, Log: event.Discard()})
	observe := func() {
		for range 20 {
			clock.Advance(10 * time.Millisecond)
			a.observeRunQueue(clock.Now().Add(-50 * time.Millisecond))
		}
	}
	observe()
	limit, _ := a.runQueueState()
	assert.Assert(t, limit > 0)
	cfg.Admission.RunQueueTarget = 0
	observe()
	limit, _ = a.runQueueState()
	assert.Equal(t, limit, 0.0)
}
