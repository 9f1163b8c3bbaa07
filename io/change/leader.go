package change

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chicorymast/io/wire"
)

// ErrOutcomeUnknown is returned when no control daemon gave an outcome in time. What
// was asked for may still happen.
var ErrOutcomeUnknown = errors.New("no control daemon gave an outcome in time")

const (
	// patience is how long one control daemon may take before the next one is
	// asked: a decision needs two round trips and a synced write, far less.
	patience = 700 * time.Millisecond
	// pause stands between two attempts while nobody leads.
	pause = 50 * time.Millisecond
)

// LeaderClient finds the control daemon that leads, and remembers it.
type LeaderClient struct {
	pool     *wire.Pool
	controls func() []string

	mu   sync.Mutex
	last string
}

// NewLeaderClient returns one that knows the control daemons by a list.
func NewLeaderClient(pool *wire.Pool, controls func() []string) *LeaderClient {
	return &LeaderClient{pool: pool, controls: controls}
}

// reply is what a control daemon answers: an outcome, or who leads.
type reply interface {
	Outcome() (done bool, leader string)
}

// CallLeader asks the control daemons until one gives an outcome: the one that
// answered last, then the one named as leader, then all in turn. It must be
// safe to ask again.
func CallLeader[A reply](ctx context.Context, l *LeaderClient, m wire.Method, q any) (A, error) {
	hint := l.remembered()
	for n := 0; ctx.Err() == nil; n++ {
		address, ok := hint, hint != ""
		if !ok {
			address, ok = l.turn(n)
		}
		if !ok {
			break
		}
		a, err := askOne[A](ctx, l.pool, address, m, q)
		var done bool
		hint = ""
		if err == nil {
			done, hint = a.Outcome()
		}
		if done {
			l.remember(address)
			return a, nil
		}
		if hint == "" || hint == address {
			hint = ""
			wait(ctx, pause)
		}
	}
	var none A
	return none, ErrOutcomeUnknown
}

func askOne[A any](ctx context.Context, pool *wire.Pool, address string, m wire.Method, q any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return wire.Call[A](ctx, pool, address, m, q)
}

func (l *LeaderClient) turn(n int) (address string, ok bool) {
	controls := l.controls()
	if len(controls) == 0 {
		return "", false
	}
	return controls[n%len(controls)], true
}

func (l *LeaderClient) remembered() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.controls(), l.last) {
		return ""
	}
	return l.last
}

func (l *LeaderClient) remember(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = address
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
