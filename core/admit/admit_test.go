package admit

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func request(n int, class ident.Class) Request {
	return Request{Ticket: Ticket(n), Workspace: "mlyn", Priority: ident.Priority{Class: class}, Rank: Rank(n), Deadline: epoch.Add(time.Hour)}
}

func started(effects []Effect) (tickets []Ticket) {
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			tickets = append(tickets, s.Ticket)
		}
	}
	return tickets
}

func refused(effects []Effect) (tickets []Ticket) {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			tickets = append(tickets, r.Ticket)
		}
	}
	return tickets
}

func mustStart(t testing.TB, effects []Effect, want ...Ticket) {
	t.Helper()
	assert.DeepEqual(t, started(effects), want)
}

func mustRefuse(t testing.TB, effects []Effect, want ...Ticket) {
	t.Helper()
	assert.DeepEqual(t, refused(effects), want)
}

// fullController returns a controller with one slot, taken by ticket 0, and a
// queue limit of three; its queue counts as a standing queue.
func fullController(t testing.TB) *Controller {
	t.Helper()
	c := New(Config{Slots: 1, QueueLimit: 3})
	mustStart(t, c.Arrive(epoch, request(0, ident.ClassNormal)), 0)
	c.queuedSince = epoch.Add(-2 * standingQueueAge)
	return c
}

// enqueue handles an arriving call without resetting the time since which the
// queue has been standing.
func enqueue(t testing.TB, c *Controller, r Request) []Effect {
	t.Helper()
	since := c.queuedSince
	effects := c.Arrive(epoch, r)
	c.queuedSince = since
	return effects
}

func TestStandingQueueHasLowerLimitThanBurst(t *testing.T) {
	c := New(Config{Slots: 1, QueueLimit: 3})
	for i := range 1 + burstQueueFactor*3 {
		assert.Equal(t, len(refused(c.Arrive(epoch, request(i, ident.ClassNormal)))), 0)
	}
	later := epoch.Add(standingQueueAge + time.Millisecond)
	r := request(99, ident.ClassCritical)
	assert.Equal(t, len(refused(c.Arrive(later, r))), burstQueueFactor*3-2, "the queue must be reduced to its limit")
	assert.Equal(t, c.Load(later).Waiting, 3)
}

func TestServiceOrder(t *testing.T) {
	c := fullController(t)
	nested := request(3, ident.ClassNormal)
	nested.Nested = true
	for _, r := range []Request{request(1, ident.ClassLow), request(2, ident.ClassNormal), nested} {
		assert.Equal(t, len(c.Arrive(epoch, r)), 0)
	}
	last := Ticket(0)
	for _, want := range []Ticket{3, 2, 1} {
		mustStart(t, c.Finish(epoch, last, Sample{}), want)
		last = want
	}
}

func TestWorkspacesAreServedRoundRobin(t *testing.T) {
	c := New(Config{Slots: 1, QueueLimit: 100})
	c.Arrive(epoch, request(0, ident.ClassNormal))
	for i := 1; i <= 10; i++ {
		c.Arrive(epoch, request(i, ident.ClassNormal))
	}
	other := request(50, ident.ClassNormal)
	other.Workspace = "skauti"
	c.Arrive(epoch, other)
	mustStart(t, c.Finish(epoch, 0, Sample{}), 1)
	mustStart(t, c.Finish(epoch, 1, Sample{}), 50)
}

// A full queue must shed the least important call, and a critical call only if no
// other is left.
func TestCriticalIsShedLast(t *testing.T) {
	c := fullController(t)
	enqueue(t, c, request(1, ident.ClassLow))
	enqueue(t, c, request(2, ident.ClassNormal))
	enqueue(t, c, request(3, ident.ClassHigh))
	mustRefuse(t, enqueue(t, c, request(4, ident.ClassCritical)), 1)
	mustRefuse(t, enqueue(t, c, request(5, ident.ClassCritical)), 2)
	mustRefuse(t, enqueue(t, c, request(6, ident.ClassLow)), 6)
	mustRefuse(t, enqueue(t, c, request(7, ident.ClassCritical)), 3)
	mustRefuse(t, enqueue(t, c, request(8, ident.ClassCritical)), 8)
}

func TestWorkspaceWithLongestQueueIsShedFirst(t *testing.T) {
	c := fullController(t)
	for i := 1; i <= 3; i++ {
		enqueue(t, c, request(i, ident.ClassNormal))
	}
	other := request(200, ident.ClassNormal)
	other.Workspace = "skauti"
	mustRefuse(t, enqueue(t, c, other), 3)
}

func TestAllControllersShedTheSameRank(t *testing.T) {
	// Two controllers must shed the same of two actions, whichever arrives first.
	for name, first := range map[string]int{"call 1 arrives first": 1, "call 2 arrives first": 2} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Slots: 1, QueueLimit: 1})
			c.Arrive(epoch, request(0, ident.ClassNormal))
			c.queuedSince = epoch.Add(-2 * standingQueueAge)
			second := 3 - first
			effects := append(enqueue(t, c, request(first, ident.ClassNormal)),
				enqueue(t, c, request(second, ident.ClassNormal))...)
			mustRefuse(t, effects, 2)
		})
	}
}

func TestDeadlines(t *testing.T) {
	t.Run("a call that can't finish in time is refused on arrival", func(t *testing.T) {
		c := New(Config{Slots: 1, QueueLimit: 3})
		mustStart(t, c.Arrive(epoch, request(0, ident.ClassNormal)), 0)
		c.Finish(epoch, 0, Sample{SelfTime: 100 * time.Millisecond})
		late := request(1, ident.ClassNormal)
		late.Deadline = epoch.Add(50 * time.Millisecond)
		effects := c.Arrive(epoch, late)
		mustRefuse(t, effects, 1)
		assert.Equal(t, effects[0].(Refuse).Reason, fault.ReasonDeadline)
	})
	t.Run("a call whose deadline passes in the queue is refused", func(t *testing.T) {
		c := fullController(t)
		late := request(1, ident.ClassNormal)
		late.Deadline = epoch.Add(50 * time.Millisecond)
		assert.Equal(t, len(c.Arrive(epoch, late)), 0)
		mustRefuse(t, c.Tick(epoch.Add(51*time.Millisecond)), 1)
		assert.Equal(t, c.Load(epoch).Waiting, 0)
	})
}

func TestCancelRemovesTheCallFromTheQueue(t *testing.T) {
	c := fullController(t)
	c.Arrive(epoch, request(1, ident.ClassNormal))
	assert.Assert(t, c.Cancel(1))
	assert.Assert(t, !c.Cancel(1))
	mustStart(t, c.Finish(epoch, 0, Sample{}))
}

func TestShedLevelIsReportedAndExpires(t *testing.T) {
	c := New(Config{Slots: 1, QueueLimit: 1})
	c.Arrive(epoch, request(0, ident.ClassNormal))
	assert.Equal(t, c.Load(epoch).ShedLevel, ShedLevelNone)
	c.queuedSince = epoch.Add(-2 * standingQueueAge)
	enqueue(t, c, request(1, ident.ClassLow))
	enqueue(t, c, request(2, ident.ClassNormal))
	assert.Equal(t, c.Load(epoch).ShedLevel, PriorityLevel(ident.Priority{Class: ident.ClassLow}, false))
	assert.Equal(t, c.Load(epoch.Add(time.Second)).ShedLevel, ShedLevelNone)
}

func TestLimitFollowsLatency(t *testing.T) {
	c := New(Config{Slots: 20, QueueLimit: 1000})
	now, next := epoch, 0
	running := []Ticket{}
	runCalls := func(selfTime time.Duration, shed bool, rounds int) {
		for range rounds {
			for len(running) < c.Load(now).Limit {
				c.Arrive(now, request(next, ident.ClassNormal))
				running = append(running, Ticket(next))
				next++
			}
			now = now.Add(selfTime)
			for _, ticket := range running {
				c.Finish(now, ticket, Sample{SelfTime: selfTime, Shed: shed})
			}
			running = running[:0]
		}
	}
	runCalls(20*time.Millisecond, false, 50)
	assert.Equal(t, c.Load(now).Limit, 20)
	runCalls(200*time.Millisecond, false, 10)
	slowLimit := c.Load(now).Limit
	assert.Assert(t, slowLimit < 20 && slowLimit >= 10, "%d", slowLimit)
	runCalls(20*time.Millisecond, true, 200)
	assert.Equal(t, c.Load(now).Limit, 1)
	runCalls(20*time.Millisecond, false, 400)
	assert.Equal(t, c.Load(now).Limit, 20, "the limit must return to the slots and not exceed them")
}

// A mean hold time above the timeout of a route must not refuse its calls for good:
// the calls that are refused cannot lower it.
func TestCallsAreServedAgainAfterSlowOnes(t *testing.T) {
	c := New(Config{Slots: 10, QueueLimit: 10})
	now := epoch
	for n := range 50 {
		r := request(n, ident.ClassNormal)
		r.Deadline = now.Add(time.Minute)
		mustStart(t, c.Arrive(now, r), r.Ticket)
		now = now.Add(2 * time.Second)
		c.Finish(now, r.Ticket, Sample{SelfTime: 2 * time.Second})
	}
	served := 0
	for n := range 100 {
		r := request(100+n, ident.ClassNormal)
		r.Deadline = now.Add(time.Second)
		now = now.Add(50 * time.Millisecond)
		if len(started(c.Arrive(now, r))) == 0 {
			continue
		}
		served++
		c.Finish(now.Add(20*time.Millisecond), r.Ticket, Sample{SelfTime: 20 * time.Millisecond})
	}
	assert.Assert(t, served >= 50, "%d of 100", served)
}

func BenchmarkController(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := New(Config{Slots: 50, QueueLimit: 1000})
			n := 0
			for ; n < 50+waiting; n++ {
				c.Arrive(epoch, request(n, ident.ClassNormal))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Arrive(epoch, request(n, ident.ClassNormal))
				n++
				c.Finish(epoch, Ticket(i), Sample{SelfTime: time.Millisecond})
			}
		})
	}
}

// Calls that wait when their upstream leaves must not reach it for as long as they may
// wait, but only until the queue closes.
func TestQueueOfALeavingUpstreamCloses(t *testing.T) {
	closesAt := epoch.Add(time.Second)
	waiting := func(t *testing.T) *Controller {
		t.Helper()
		c := fullController(t)
		for n := range 2 {
			assert.Equal(t, len(enqueue(t, c, request(n+1, ident.ClassNormal))), 0)
		}
		c.CloseAt(closesAt)
		return c
	}
	t.Run("calls start before", func(t *testing.T) {
		c := waiting(t)
		mustRefuse(t, c.Tick(closesAt.Add(-time.Millisecond)))
		mustStart(t, c.Finish(closesAt.Add(-time.Millisecond), 0, Sample{}), 1)
	})
	t.Run("the others are refused then", func(t *testing.T) {
		c := waiting(t)
		effects := c.Tick(closesAt)
		mustRefuse(t, effects, 2, 1)
		assert.Equal(t, effects[0].(Refuse).Reason, fault.ReasonDraining)
		assert.Equal(t, c.Load(closesAt).Waiting, 0)
	})
	t.Run("or when a slot is free", func(t *testing.T) {
		c := waiting(t)
		effects := c.Finish(closesAt, 0, Sample{})
		mustStart(t, effects)
		mustRefuse(t, effects, 1, 2)
	})
	t.Run("unless another process has taken its place", func(t *testing.T) {
		c := waiting(t)
		c.CloseAt(time.Time{})
		mustStart(t, c.Finish(closesAt, 0, Sample{}), 1)
	})
}
