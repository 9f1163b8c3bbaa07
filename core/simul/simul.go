// Package simul supports the randomised tests of core/ with a simulated clock and a
// fixed seed.
//
// # Usage
//
//	func TestMain(m *testing.M) { simul.Main(m) }
//
//	clock := simul.NewClock(epoch)
//	clock.AfterFunc(5*time.Millisecond, func() { ... })
//	clock.Advance(time.Second)       // calls the functions that are due, in order of time
//
// Only tests use this package.
package simul

import (
	"flag"
	"testing"
	"time"
)

// Clock is a simulated clock. It advances only by calls of Advance.
type Clock struct {
	now    time.Time
	events []event
}

type event struct {
	at time.Time
	do func()
}

// NewClock returns a clock set to a time.
func NewClock(now time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns the current simulated time.
func (c *Clock) Now() time.Time {
	return c.now
}

// AfterFunc schedules a call of do after a duration.
func (c *Clock) AfterFunc(d time.Duration, do func()) {
	c.events = append(c.events, event{at: c.now.Add(d), do: do})
}

// Advance advances the clock and calls the functions that become due, in order of
// time. These may schedule more.
func (c *Clock) Advance(d time.Duration) {
	deadline := c.now.Add(d)
	for {
		i := c.firstDue(deadline)
		if i < 0 {
			break
		}
		e := c.events[i]
		c.events = append(c.events[:i], c.events[i+1:]...)
		if e.at.After(c.now) {
			c.now = e.at
		}
		e.do()
	}
	c.now = deadline
}

// firstDue returns the index of the earliest event that is due by deadline, or -1.
func (c *Clock) firstDue(deadline time.Time) int {
	found := -1
	for i, e := range c.events {
		if !e.at.After(deadline) && (found < 0 || e.at.Before(c.events[found].at)) {
			found = i
		}
	}
	return found
}

// Main runs the tests of a package with a fixed seed for package rapid. The flag
// -rapid.seed overrides it.
func Main(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1") // cannot fail: a number is a valid seed
	}
	flag.Parse()
	m.Run()
}
