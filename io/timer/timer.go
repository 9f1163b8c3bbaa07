// Package timer is the daemon's only source of time: parts subscribe to it.
//
// # Usage
//
//	clock := timer.NewClock()
//	stop := clock.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//
// Every calls its function from one goroutine for each subscription, never
// twice at once. NewManual returns a clock that moves only when a test says
// so, and then runs what is due before Advance returns.
package timer

import (
	"sync"
	"time"
)

// Clock tells the time and wakes subscribers.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Every calls f at each interval until stop is called.
	Every(interval time.Duration, f func(now time.Time)) (stop func())
}

// NewClock returns the clock of the machine.
func NewClock() Clock {
	return wall{}
}

type wall struct{}

func (wall) Now() time.Time { return time.Now() }

func (wall) Every(interval time.Duration, f func(time.Time)) (stop func()) {
	ticker := time.NewTicker(interval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				f(now)
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// Manual is a clock for tests.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	subs map[int]*subscription
	next int
}

type subscription struct {
	interval time.Duration
	due      time.Time
	f        func(time.Time)
}

// NewManual returns a clock that stands at a time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, subs: map[int]*subscription{}}
}

// Now returns where the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every subscribes f.
func (m *Manual) Every(interval time.Duration, f func(time.Time)) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.next
	m.next++
	m.subs[id] = &subscription{interval: interval, due: m.now.Add(interval), f: f}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subs, id)
	}
}

// Advance moves the clock and runs what becomes due, in order of time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for {
		s := m.earliest(end)
		if s == nil {
			break
		}
		m.now = s.due
		s.due = s.due.Add(s.interval)
		now := m.now
		m.mu.Unlock()
		s.f(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

func (m *Manual) earliest(end time.Time) *subscription {
	var found *subscription
	for id := range m.next {
		s := m.subs[id]
		if s == nil || s.due.After(end) {
			continue
		}
		if found == nil || s.due.Before(found.due) {
			found = s
		}
	}
	return found
}
