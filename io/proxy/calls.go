package proxy

import (
	"sync"
	"time"

	"chicorymast/core/retry"
	"chicorymast/io/header"
)

// servedCall is a call that runs at the upstream on this VM. It is the parent of
// the nested calls that the upstream makes for it, which carry its token in the
// tracestate header.
type servedCall struct {
	call     header.Call
	deadline time.Time

	mu       sync.Mutex
	budget   retry.Budget
	children int
	since    time.Time
	// away is the time during which at least one nested call was running.
	away time.Duration
	// deeper is set if a nested call failed.
	deeper bool
}

func (s *servedCall) lend(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.children == 0 {
		s.since = now
	}
	s.children++
	return s.budget.Lend()
}

func (s *servedCall) settle(now time.Time, lent, unspent int, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Settle(lent, unspent)
	s.deeper = s.deeper || failed
	s.children--
	if s.children == 0 {
		s.away += now.Sub(s.since)
	}
}

func (s *servedCall) summary(now time.Time) (unspent int, away time.Duration, deeper bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	away = s.away
	if s.children > 0 {
		away += now.Sub(s.since)
	}
	return s.budget.Remaining(), away, s.deeper
}

// deadlineMatch is the tolerance when the deadline of a nested call is compared
// with that of its parent. The remaining time is sent in whole milliseconds and
// is reduced by the transfer.
const deadlineMatch = 15 * time.Millisecond

// byDeadline finds the probable parent of a nested call where upstreams do not
// propagate a trace context: upstreams give nested calls the deadline of the
// parent.
func (t *callTable) byDeadline(deadline time.Time) *servedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *servedCall
	nearest := deadlineMatch
	for _, c := range t.calls {
		if off := c.deadline.Sub(deadline).Abs(); off < nearest {
			best, nearest = c, off
		}
	}
	return best
}

// callTable holds the calls that run at the upstream on this VM, by token.
type callTable struct {
	mu    sync.Mutex
	calls map[string]*servedCall
}

func newCallTable() *callTable {
	return &callTable{calls: map[string]*servedCall{}}
}

func (t *callTable) add(token string, c *servedCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[token] = c
}

func (t *callTable) remove(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, token)
}

func (t *callTable) find(token string) *servedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[token]
}
