package proxy

import (
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/retry"
	"chicorymast/io/header"
)

// servedCall is a call that runs at the upstream on this VM. It is the parent of
// the nested calls that the upstream makes for it, which carry its token in the
// tracestate header.
type servedCall struct {
	call     header.Call
	deadline time.Time

	mu              sync.Mutex
	budget          retry.Budget
	runningChildren int
	// finishedChildren is the number of nested calls that have ended.
	finishedChildren int
	nestedSince      time.Time
	// nestedTime is the time during which at least one nested call was running.
	nestedTime time.Duration
	// nestedFailure is set if a nested call failed.
	nestedFailure bool
}

// lendRetries records the start of a nested call and returns the number of retries
// lent to it.
func (s *servedCall) lendRetries(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runningChildren == 0 {
		s.nestedSince = now
	}
	s.runningChildren++
	return s.budget.Lend()
}

// settleRetries records the end of a nested call and takes back the retries that
// it has not spent.
func (s *servedCall) settleRetries(now time.Time, lent, unspentRetries int, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Settle(lent, unspentRetries)
	s.nestedFailure = s.nestedFailure || failed
	s.runningChildren--
	s.finishedChildren++
	if s.runningChildren == 0 {
		s.nestedTime += now.Sub(s.nestedSince)
	}
}

// nestedCalls returns the number of nested calls that have ended, and whether one failed.
func (s *servedCall) nestedCalls() (finished int, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishedChildren, s.nestedFailure
}

func (s *servedCall) summary(now time.Time) (unspentRetries int, nestedTime time.Duration, nestedFailure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nestedTime = s.nestedTime
	if s.runningChildren > 0 {
		nestedTime += now.Sub(s.nestedSince)
	}
	return s.budget.Remaining(), nestedTime, s.nestedFailure
}

// deadlineTolerance limits the difference between the deadline of a nested call
// and that of its parent. They differ because the remaining time is sent in whole
// milliseconds, and the deadline is computed from it after the transfer.
const deadlineTolerance = 15 * time.Millisecond

// findByDeadline finds the probable parent of a nested call where upstreams do not
// propagate a trace context: upstreams give nested calls the deadline of the
// parent.
func (t *callTable) findByDeadline(deadline time.Time) *servedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closest *servedCall
	smallest := deadlineTolerance
	for _, c := range t.calls {
		if difference := c.deadline.Sub(deadline).Abs(); difference < smallest {
			closest, smallest = c, difference
		}
	}
	return closest
}

// callTable holds the calls that run at the upstream on this VM, by token.
type callTable struct {
	mu    sync.Mutex
	calls map[string]*servedCall
	// byAction holds the latest call of each action id.
	byAction map[ident.ActionID]*servedCall
}

func newCallTable() *callTable {
	return &callTable{calls: map[string]*servedCall{}, byAction: map[ident.ActionID]*servedCall{}}
}

func (t *callTable) add(token string, c *servedCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[token] = c
	t.byAction[c.call.Action] = c
}

func (t *callTable) remove(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[token]
	delete(t.calls, token)
	if c != nil && t.byAction[c.call.Action] == c {
		delete(t.byAction, c.call.Action)
	}
}

// findByAction returns the running call with an action id, nil if there is none.
func (t *callTable) findByAction(id ident.ActionID) *servedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAction[id]
}

func (t *callTable) find(token string) *servedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[token]
}
