package admit

import (
	"testing"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// askedToRefuse plays 1,000 calls per second of 20 ms on an upstream with 100 slots, whose
// daemon carries so many calls per second. It returns the share that entries should refuse.
func askedToRefuse(t *testing.T, throughput float64) float64 {
	t.Helper()
	c := New(Config{Slots: 100, QueueLimit: 100})
	now := time.Unix(1000, 0)
	type running struct {
		ticket Ticket
		end    time.Time
	}
	var calls []running
	for n := range 5000 {
		now = now.Add(time.Millisecond)
		c.SetThroughput(throughput)
		for len(calls) > 0 && !now.Before(calls[0].end) {
			c.Finish(now, calls[0].ticket, Sample{SelfTime: 20 * time.Millisecond})
			calls = calls[1:]
		}
		ticket := Ticket(n + 1)
		effects := c.Arrive(now, Request{Ticket: ticket, Route: ident.Route("r"), Deadline: now.Add(time.Second), AdmittedShare: 1})
		for _, e := range effects {
			_, refused := e.(Refuse)
			assert.Assert(t, !refused, "refused for %s", fault.ReasonOverload)
			calls = append(calls, running{ticket, now.Add(20 * time.Millisecond)})
		}
	}
	return c.RefuseShare(now)
}

// An upstream with free slots must not hide that the daemon beside it is full.
func TestEntriesRefuseWhatTheDaemonCannotCarry(t *testing.T) {
	for name, c := range map[string]struct{ throughput, low, high float64 }{
		"no limit":            {0, 0, 0},
		"a limit above":       {5000, 0, 0},
		"half of what comes":  {500, 0.4, 0.6},
		"a limit of nearly 0": {1, 0.8, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			share := askedToRefuse(t, c.throughput)
			assert.Assert(t, share >= c.low && share <= c.high, "%.3f", share)
		})
	}
}
