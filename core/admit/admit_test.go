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

func request(n int, c ident.Class) Request {
	return Request{Ticket: Ticket(n), Workspace: "mlyn", Priority: ident.Priority{Class: c}, Rank: Rank(n), Deadline: epoch.Add(time.Hour)}
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

// fullGate has one slot, taken by ticket 0, and room for three that wait: its
// queue counts as standing.
func fullGate(t testing.TB) *Controller {
	t.Helper()
	g := New(Config{Slots: 1, QueueLimit: 3})
	mustStart(t, g.Arrive(epoch, request(0, ident.ClassNormal)), 0)
	g.queuedSince = epoch.Add(-2 * standingTime)
	return g
}

// waitAt lets a call join a queue that has stood since before.
func waitAt(t testing.TB, g *Controller, r Request) []Effect {
	t.Helper()
	since := g.queuedSince
	effects := g.Arrive(epoch, r)
	g.queuedSince = since
	return effects
}

func TestShortBurstMayWaitStandingQueueMayNot(t *testing.T) {
	g := New(Config{Slots: 1, QueueLimit: 3})
	for i := range 1 + burstQueue*3 {
		assert.Equal(t, len(refused(g.Arrive(epoch, request(i, ident.ClassNormal)))), 0)
	}
	late := epoch.Add(standingTime + time.Millisecond)
	r := request(99, ident.ClassCritical)
	assert.Equal(t, len(refused(g.Arrive(late, r))), burstQueue*3-2, "the queue is cut down to its short length")
	assert.Equal(t, g.Load(late).Waiting, 3)
}

func TestOrderOfService(t *testing.T) {
	g := fullGate(t)
	inner := request(3, ident.ClassNormal)
	inner.Nested = true
	for _, r := range []Request{request(1, ident.ClassLow), request(2, ident.ClassNormal), inner} {
		assert.Equal(t, len(g.Arrive(epoch, r)), 0)
	}
	last := Ticket(0)
	for _, want := range []Ticket{3, 2, 1} {
		mustStart(t, g.Finish(epoch, last, Sample{}), want)
		last = want
	}
}

func TestWorkspacesTakeTurns(t *testing.T) {
	g := New(Config{Slots: 1, QueueLimit: 100})
	g.Arrive(epoch, request(0, ident.ClassNormal))
	for i := 1; i <= 10; i++ {
		g.Arrive(epoch, request(i, ident.ClassNormal))
	}
	small := request(50, ident.ClassNormal)
	small.Workspace = "skauti"
	g.Arrive(epoch, small)
	mustStart(t, g.Finish(epoch, 0, Sample{}), 1)
	mustStart(t, g.Finish(epoch, 1, Sample{}), 50)
}

// A full queue sheds the least important call; a critical one goes only when
// nothing else is left.
func TestCriticalIsShedLast(t *testing.T) {
	g := fullGate(t)
	waitAt(t, g, request(1, ident.ClassLow))
	waitAt(t, g, request(2, ident.ClassNormal))
	waitAt(t, g, request(3, ident.ClassHigh))
	mustRefuse(t, waitAt(t, g, request(4, ident.ClassCritical)), 1)
	mustRefuse(t, waitAt(t, g, request(5, ident.ClassCritical)), 2)
	mustRefuse(t, waitAt(t, g, request(6, ident.ClassLow)), 6)
	mustRefuse(t, waitAt(t, g, request(7, ident.ClassCritical)), 3)
	mustRefuse(t, waitAt(t, g, request(8, ident.ClassCritical)), 8)
}

func TestLongestQueueIsShedFirst(t *testing.T) {
	g := fullGate(t)
	for i := 1; i <= 3; i++ {
		waitAt(t, g, request(i, ident.ClassNormal))
	}
	small := request(200, ident.ClassNormal)
	small.Workspace = "skauti"
	mustRefuse(t, waitAt(t, g, small), 3)
}

func TestSameRankIsShedAtEveryGate(t *testing.T) {
	// Two gates with other work in them shed the same of two actions.
	for name, first := range map[string]int{"one": 1, "other": 2} {
		t.Run(name, func(t *testing.T) {
			g := New(Config{Slots: 1, QueueLimit: 1})
			g.Arrive(epoch, request(0, ident.ClassNormal))
			g.queuedSince = epoch.Add(-2 * standingTime)
			second := 3 - first
			effects := append(waitAt(t, g, request(first, ident.ClassNormal)), waitAt(t, g, request(second, ident.ClassNormal))...)
			mustRefuse(t, effects, 2)
		})
	}
}

func TestDeadlines(t *testing.T) {
	t.Run("a call that can't finish in time is refused at once", func(t *testing.T) {
		g := New(Config{Slots: 1, QueueLimit: 3})
		mustStart(t, g.Arrive(epoch, request(0, ident.ClassNormal)), 0)
		g.Finish(epoch, 0, Sample{SelfTime: 100 * time.Millisecond})
		late := request(1, ident.ClassNormal)
		late.Deadline = epoch.Add(50 * time.Millisecond)
		effects := g.Arrive(epoch, late)
		mustRefuse(t, effects, 1)
		assert.Equal(t, effects[0].(Refuse).Reason, fault.ReasonDeadline)
	})
	t.Run("a call whose time ends in the queue is refused", func(t *testing.T) {
		g := fullGate(t)
		late := request(1, ident.ClassNormal)
		late.Deadline = epoch.Add(50 * time.Millisecond)
		assert.Equal(t, len(g.Arrive(epoch, late)), 0)
		mustRefuse(t, g.Tick(epoch.Add(51*time.Millisecond)), 1)
		assert.Equal(t, g.Load(epoch).Waiting, 0)
	})
}

func TestCancelledCallLeavesTheQueue(t *testing.T) {
	g := fullGate(t)
	g.Arrive(epoch, request(1, ident.ClassNormal))
	assert.Assert(t, g.Cancel(1))
	assert.Assert(t, !g.Cancel(1))
	mustStart(t, g.Finish(epoch, 0, Sample{}))
}

func TestLevelTellsWhatIsShed(t *testing.T) {
	g := New(Config{Slots: 1, QueueLimit: 1})
	g.Arrive(epoch, request(0, ident.ClassNormal))
	assert.Equal(t, g.Load(epoch).ShedLevel, ShedLevelNone)
	g.queuedSince = epoch.Add(-2 * standingTime)
	waitAt(t, g, request(1, ident.ClassLow))
	waitAt(t, g, request(2, ident.ClassNormal))
	assert.Equal(t, g.Load(epoch).ShedLevel, PriorityLevel(ident.Priority{Class: ident.ClassLow}, false))
	assert.Equal(t, g.Load(epoch.Add(time.Second)).ShedLevel, ShedLevelNone)
}

func TestLimitFollowsLatency(t *testing.T) {
	g := New(Config{Slots: 20, QueueLimit: 1000})
	now, next := epoch, 0
	running := []Ticket{}
	spin := func(own time.Duration, shed bool, rounds int) {
		for range rounds {
			for len(running) < g.Load(now).Limit {
				g.Arrive(now, request(next, ident.ClassNormal))
				running = append(running, Ticket(next))
				next++
			}
			now = now.Add(own)
			for _, ticket := range running {
				g.Finish(now, ticket, Sample{SelfTime: own, Shed: shed})
			}
			running = running[:0]
		}
	}
	spin(20*time.Millisecond, false, 50)
	assert.Equal(t, g.Load(now).Limit, 20)
	spin(200*time.Millisecond, false, 10)
	slow := g.Load(now).Limit
	assert.Assert(t, slow < 20 && slow >= 10, "%d", slow)
	spin(20*time.Millisecond, true, 200)
	assert.Equal(t, g.Load(now).Limit, 1)
	spin(20*time.Millisecond, false, 400)
	assert.Equal(t, g.Load(now).Limit, 20, "never above the slots, and back to them")
}

func BenchmarkGate(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			g := New(Config{Slots: 50, QueueLimit: 1000})
			n := 0
			for ; n < 50+waiting; n++ {
				g.Arrive(epoch, request(n, ident.ClassNormal))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.Arrive(epoch, request(n, ident.ClassNormal))
				n++
				g.Finish(epoch, Ticket(i), Sample{SelfTime: time.Millisecond})
			}
		})
	}
}
