// Package simul is what the random tests of core/ share: events that happen
// later, on a time of their own, and a fixed seed.
//
// # Usage
//
//	func TestMain(m *testing.M) { simul.Main(m) }
//
//	line := simul.NewTimeline(epoch)
//	line.After(5*time.Millisecond, func() { ... })
//	line.Advance(time.Second)        // runs what is due, in order of time
//
// Nothing here is part of the product.
package simul

import (
	"flag"
	"testing"
	"time"
)

// Clock is a time that moves only when a test says so.
type Clock struct {
	now   time.Time
	later []event
}

type event struct {
	at time.Time
	do func()
}

// NewClock returns a timeline that stands at a time.
func NewClock(now time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns where the timeline stands.
func (l *Clock) Now() time.Time {
	return l.now
}

// AfterFunc lets something happen later.
func (l *Clock) AfterFunc(d time.Duration, do func()) {
	l.later = append(l.later, event{at: l.now.Add(d), do: do})
}

// Advance moves on and lets happen what becomes due, in order of time.
func (l *Clock) Advance(d time.Duration) {
	end := l.now.Add(d)
	for {
		i := l.first(end)
		if i < 0 {
			break
		}
		e := l.later[i]
		l.later = append(l.later[:i], l.later[i+1:]...)
		if e.at.After(l.now) {
			l.now = e.at
		}
		e.do()
	}
	l.now = end
}

// first finds the earliest event that is due by a time.
func (l *Clock) first(end time.Time) int {
	found := -1
	for i, e := range l.later {
		if !e.at.After(end) && (found < 0 || e.at.Before(l.later[found].at)) {
			found = i
		}
	}
	return found
}

// Main runs a package's tests with a fixed seed for the random ones;
// -rapid.seed overrides it.
func Main(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1") // a number is a valid seed
	}
	flag.Parse()
	m.Run()
}
