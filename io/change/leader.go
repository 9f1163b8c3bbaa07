package change

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

// ErrOutcomeUnknown is returned when no control daemon returned an outcome before
// the deadline. The requested change may still be committed.
var ErrOutcomeUnknown = errors.New("no control daemon gave an outcome in time")

const (
	// attemptTimeout is how long one control daemon may take before the next one is
	// asked. A commit takes far less: two round trips and a synced write.
	attemptTimeout = 700 * time.Millisecond
	// leaderlessPause is the time between two attempts while there is no leader.
	leaderlessPause = 50 * time.Millisecond
)

// LeaderClient sends requests to the leader and remembers its address.
type LeaderClient struct {
	pool             *wire.Pool
	controlAddresses func() []string

	mu   sync.Mutex
	last string
}

// NewLeaderClient returns a client that looks for the leader among the control
// daemons.
func NewLeaderClient(pool *wire.Pool, controlAddresses func() []string) *LeaderClient {
	return &LeaderClient{pool: pool, controlAddresses: controlAddresses}
}

// reply is the reply of a control daemon: an outcome, or the leader's address.
type reply interface {
	Outcome() (done bool, leader string)
}

// CallLeader sends a request to the control daemons until one returns an outcome:
// first to the one that answered last, then to the one named as leader, then to
// all in turn. The request must be safe to repeat. One that did not answer is not asked
// again right after that, nor first by the next request: a lost machine takes the whole
// time of an attempt, and two of these are more than some callers have.
func CallLeader[A reply](ctx context.Context, l *LeaderClient, m wire.Method, q any) (A, error) {
	hint, failed := l.lastLeader(), ""
	for n := 0; ctx.Err() == nil; n++ {
		address, ok := hint, hint != ""
		if !ok {
			address, ok = l.controlAddress(n)
		}
		if !ok {
			break
		}
		if address == failed && l.hasOther(failed) {
			hint, failed = "", ""
			continue
		}
		a, err := callOnce[A](ctx, l.pool, address, m, q)
		var done bool
		hint, failed = "", ""
		if err == nil {
			done, hint = a.Outcome()
		} else {
			failed = address
			l.forget(address)
		}
		if done {
			l.setLastLeader(address)
			return a, nil
		}
		if hint == "" || hint == address {
			hint = ""
			timer.Sleep(ctx, leaderlessPause)
		}
	}
	var zero A
	return zero, ErrOutcomeUnknown
}

func callOnce[A any](ctx context.Context, pool *wire.Pool, address string, m wire.Method, q any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return wire.Call[A](ctx, pool, address, m, q)
}

func (l *LeaderClient) controlAddress(n int) (address string, ok bool) {
	controlAddresses := l.controlAddresses()
	if len(controlAddresses) == 0 {
		return "", false
	}
	return controlAddresses[n%len(controlAddresses)], true
}

func (l *LeaderClient) lastLeader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.controlAddresses(), l.last) {
		return ""
	}
	return l.last
}

// hasOther reports whether another control daemon than the one at an address is known.
func (l *LeaderClient) hasOther(address string) bool {
	return slices.ContainsFunc(l.controlAddresses(), func(a string) bool { return a != address })
}

// forget makes the next request begin with another control daemon.
func (l *LeaderClient) forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == address {
		l.last = ""
	}
}

func (l *LeaderClient) setLastLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = address
}
