package ramp

import (
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

const (
	testSlots = 50
	usualTime = 20 * time.Millisecond
)

// server is a model of an upstream. Its calls take longer, or fail, as more run at once
// than its capacity.
type server struct {
	rng *rand.Rand
	// capacity is the concurrency that it bears.
	capacity float64
	// faulty is the share of calls that fail at any concurrency, slow the factor of the self
	// time at any concurrency.
	faulty, slow float64
	calls        int
	flooded      int
}

func newServer(capacity float64) *server {
	return &server{rng: rand.New(rand.NewPCG(1, 1)), capacity: capacity, slow: 1}
}

// serve lets a number of rounds of calls run at the limit, or at a lower concurrency.
func (s *server) serve(r *Ramp, rounds, demand int) {
	for range rounds {
		running := min(r.Limit(), demand)
		for i := range running {
			s.calls++
			overload := max(1, float64(running)/s.capacity)
			if overload > 2 {
				s.flooded++
			}
			selfTime := time.Duration((0.7 + 0.6*s.rng.Float64()) * s.slow * overload * float64(usualTime))
			failed := s.rng.Float64() < s.faulty || (overload > 2 && s.rng.Float64() < 0.5)
			r.Observe("r", Call{SelfTime: selfTime, Failed: failed}, running-1-i)
		}
	}
}

// newUsed returns a ramp that knows the usual time of the route and has just begun.
func newUsed(t *testing.T) *Ramp {
	t.Helper()
	r := New(testSlots)
	newServer(testSlots).serve(r, 10, testSlots)
	assert.Equal(t, r.Limit(), testSlots)
	r.Begin()
	assert.Equal(t, r.Limit(), testSlots/10)
	return r
}

// Guards against a calm upstream that is left idle.
func TestCalmUpstreamIsSoonAtFullPace(t *testing.T) {
	for name, demand := range map[string]int{"under full load": testSlots, "with one call at a time": 1} {
		t.Run(name, func(t *testing.T) {
			r, s := newUsed(t), newServer(testSlots)
			s.serve(r, 80, demand)
			assert.Assert(t, !r.Active())
		})
	}
	t.Run("after twice as many rounds as windows", func(t *testing.T) {
		r, s := newUsed(t), newServer(testSlots)
		s.serve(r, 10, testSlots)
		assert.Assert(t, !r.Active())
	})
	t.Run("beside a daemon that knows no usual time", func(t *testing.T) {
		r, s := New(testSlots), newServer(testSlots)
		r.Begin()
		s.serve(r, 10, testSlots)
		assert.Assert(t, !r.Active())
	})
	t.Run("also with one slot", func(t *testing.T) {
		r := New(1)
		r.Begin()
		assert.Assert(t, !r.Active())
		assert.Equal(t, r.Limit(), 1)
	})
	t.Run("if its self times are unknown", func(t *testing.T) {
		r := newUsed(t)
		for range 80 {
			r.Observe("r", Call{}, 0)
		}
		assert.Assert(t, !r.Active())
	})
}

// Guards against a server that is flooded while it starts: its capacity grows with the calls
// that it has served.
func TestServerThatStartsSlowly(t *testing.T) {
	r, s := newUsed(t), newServer(6)
	for s.calls < 4000 && r.Active() {
		s.capacity = 6 + float64(s.calls)/10
		s.serve(r, 1, testSlots)
	}
	assert.Assert(t, !r.Active(), "it was left at %d", r.Limit())
	assert.Assert(t, float64(s.flooded) <= 0.1*float64(s.calls), "%d of %d calls met twice its capacity", s.flooded, s.calls)
}

// Guards against a server that bears few calls and crashes again under all of them.
func TestServerThatDoesNotRecoverYet(t *testing.T) {
	r, s := newUsed(t), newServer(5)
	s.serve(r, 200, testSlots)
	assert.Assert(t, float64(s.flooded) <= 0.3*float64(s.calls), "%d of %d calls met twice its capacity", s.flooded, s.calls)
	t.Run("and is used in full once it has", func(t *testing.T) {
		s.capacity = testSlots
		s.serve(r, 20, testSlots)
		assert.Assert(t, !r.Active())
	})
}

// Guards against a ramp that goes on from where the former process was.
func TestFlap(t *testing.T) {
	r, s := newUsed(t), newServer(testSlots)
	for range 5 {
		s.serve(r, 2, testSlots)
		assert.Assert(t, r.Active() && r.Limit() > testSlots/10)
		r.Begin()
		assert.Equal(t, r.Limit(), testSlots/10)
	}
}

// Guards against an upstream that is left at the lowest limit for faults that do not depend
// on it.
func TestFaultsThatDoNotDependOnTheLimit(t *testing.T) {
	for name, change := range map[string]func(s *server){
		"rejects most calls":       func(s *server) { s.faulty = 0.55 },
		"rejects all calls":        func(s *server) { s.faulty = 1 },
		"rejects a few calls":      func(s *server) { s.faulty = 0.1 },
		"is three times as slow":   func(s *server) { s.slow = 3 },
		"is nearly twice as slow":  func(s *server) { s.slow = 1.9 },
		"is slow and rejects some": func(s *server) { s.slow, s.faulty = 3, 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			r, s := newUsed(t), newServer(testSlots)
			change(s)
			s.serve(r, 100, testSlots)
			assert.Assert(t, !r.Active(), "the limit is %d", r.Limit())
		})
	}
}

// Guards against a rise between windows without evidence, or against it.
func TestRiseBetweenWindows(t *testing.T) {
	at := time.Unix(1000, 0)
	rise := func(r *Ramp, nestedCalls int) int {
		for range 10 {
			r.Progress(at, nestedCalls)
			at = at.Add(riseInterval)
		}
		return r.Limit()
	}
	t.Run("no calls", func(t *testing.T) {
		assert.Equal(t, rise(newUsed(t), 0), testSlots/10)
	})
	t.Run("nested calls before the first answer", func(t *testing.T) {
		assert.Equal(t, rise(newUsed(t), 1), testSlots/2)
	})
	t.Run("after an answer", func(t *testing.T) {
		r := newUsed(t)
		r.Observe("r", Call{SelfTime: usualTime}, 0)
		assert.Equal(t, rise(r, 1), testSlots)
	})
	t.Run("after a slow answer", func(t *testing.T) {
		r := newUsed(t)
		r.Observe("r", Call{SelfTime: 3 * usualTime}, 0)
		assert.Equal(t, rise(r, 1), testSlots/10)
	})
	t.Run("after a rejected call", func(t *testing.T) {
		r := newUsed(t)
		r.Observe("r", Call{Failed: true}, 0)
		assert.Equal(t, rise(r, 1), testSlots/10)
	})
	t.Run("calls of the former process show nothing", func(t *testing.T) {
		r := newUsed(t)
		r.IgnoreRunning(1)
		r.Observe("r", Call{Failed: true}, 0)
		assert.Equal(t, rise(r, 1), testSlots/2)
	})
}

// Guards against memory that callers fill with routes.
func TestRoutesAreBounded(t *testing.T) {
	r := New(testSlots)
	for n := range 2 * maxRoutes {
		r.Observe(ident.Route(rune(n)), Call{SelfTime: usualTime}, 0)
	}
	assert.Equal(t, len(r.usual), maxRoutes)
}
