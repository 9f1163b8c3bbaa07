// Package timer provides the clock of a daemon and periodic callbacks.
//
// # Usage
//
//	clock := timer.NewClock()
//	stop := clock.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//
// Every runs its callback in a goroutine of its own, so calls of one callback
// never overlap. NewManual returns a clock for tests that changes only by
// Advance, which runs the callbacks that become due before it returns. Sleep waits in
// real time, whatever the clock.
package timer

import (
	"context"
	"sync"
	"time"
)

// Clock returns the time and runs periodic callbacks.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls f once per interval until stop is called.
	Every(interval time.Duration, f func(now time.Time)) (stop func())
}

// Sleep waits for d. It reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewClock returns the system clock.
func NewClock() Clock {
	return systemClock{}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Every(interval time.Duration, f func(time.Time)) (stop func()) {
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
	mu            sync.Mutex
	now           time.Time
	subscriptions map[int]*subscription
	nextID        int
}

type subscription struct {
	interval time.Duration
	due      time.Time
	f        func(time.Time)
}

// NewManual returns a manual clock set to now.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, subscriptions: map[int]*subscription{}}
}

// Now returns the time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls f from Advance once per interval until stop is called.
func (m *Manual) Every(interval time.Duration, f func(time.Time)) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	m.subscriptions[id] = &subscription{interval: interval, due: m.now.Add(interval), f: f}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscriptions, id)
	}
}

// Advance sets the clock forward by d and calls the callbacks that become due, in
// order of time. The clock shows the due time during each call.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for {
		s := m.earliestDue(end)
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

func (m *Manual) earliestDue(end time.Time) *subscription {
	var first *subscription
	for id := range m.nextID {
		s := m.subscriptions[id]
		if s == nil || s.due.After(end) {
			continue
		}
		if first == nil || s.due.Before(first.due) {
			first = s
		}
	}
	return first
}
