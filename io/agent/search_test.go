package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

func TestPick(t *testing.T) {
	const fresh, old, ancient = 100 * time.Millisecond, 5 * time.Second, time.Hour
	for _, tc := range []struct {
		name    string
		answers []found
		works   bool
		age     time.Duration
		want    int
		ok      bool
	}{
		{name: "nobody answers", works: false, age: old},
		{name: "the first fresh one", answers: []found{{3, fresh}, {1, 2 * fresh}, {0, old}}, works: true, age: old, want: 1, ok: true},
		{name: "one before the present", answers: []found{{0, fresh}}, works: true, age: fresh, want: 0, ok: true},
		{name: "all are cut off", answers: []found{{0, old}, {1, old}}, works: true, age: old},
		{name: "the present one is older by far", answers: []found{{0, ancient}, {1, old}}, works: true, age: ancient, want: 1, ok: true},
		{name: "an old one is better than none", answers: []found{{0, ancient}, {1, old}}, works: false, want: 1, ok: true},
		{name: "none has ever had a configuration", answers: []found{{2, 1<<63 - 1}}, works: true, age: 1<<63 - 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rank, ok := pick(tc.answers, tc.works, tc.age)
			assert.Equal(t, ok, tc.ok)
			assert.Assert(t, !ok || rank == tc.want, "%d", rank)
		})
	}
}

// scripted is a relay that says how old its configuration is.
type scripted struct {
	age    time.Duration
	silent bool
}

func (s scripted) serve(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodSync, func(_ context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
		if s.silent {
			<-t.Context().Done()
		}
		assert.Check(t, q.Probe, "a search must not announce")
		return wire.SyncReply{AgeMs: s.age.Milliseconds()}, nil
	})
	go func() { _ = srv.Serve(ln) }() // ends with the listener
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	return ln.Addr().String()
}

// newSearcher returns an agent that asks the relay in the given place; the last
// of the list is itself.
func newSearcher(t *testing.T, present int, relays ...scripted) (a *Agent, clock *timer.Manual, addresses []string) {
	t.Helper()
	for _, r := range relays {
		addresses = append(addresses, r.serve(t))
	}
	clock = timer.NewManual(time.Unix(1_000_000, 0))
	pool := wire.NewPool(wire.PlainDialer(time.Second))
	t.Cleanup(pool.Close)
	a = New(Options{
		VM: "vm", Clock: clock, Board: board.New(), Pool: pool, Log: event.Discard(),
		RelayAddresses: func() []string { return addresses }, RelayActive: func() bool { return false }, FollowConfig: true,
	})
	a.switchTo(addresses[present])
	a.age = relays[present].age
	return a, clock, addresses
}

func TestLeavesAStaleRelayAtOnce(t *testing.T) {
	a, _, addresses := newSearcher(t, 1, scripted{silent: true}, scripted{age: time.Minute}, scripted{age: 20 * time.Millisecond}, scripted{age: time.Minute})
	assert.Assert(t, a.choose(t.Context()))
	assert.Equal(t, a.relay, addresses[2])
}

// A daemon that was cut off and stands in for itself must not stay there once a
// relay can be reached again.
func TestLeavesItselfAtOnce(t *testing.T) {
	a, _, addresses := newSearcher(t, 2, scripted{silent: true}, scripted{age: 20 * time.Millisecond}, scripted{age: time.Minute})
	assert.Assert(t, a.choose(t.Context()))
	assert.Equal(t, a.relay, addresses[1])
}

func TestStaysWhereAllAreCutOff(t *testing.T) {
	a, clock, addresses := newSearcher(t, 0, scripted{age: time.Minute}, scripted{age: time.Minute}, scripted{age: time.Minute})
	for range 5 {
		clock.Advance(searchPause)
		assert.Assert(t, a.choose(t.Context()))
		assert.Equal(t, a.relay, addresses[0])
	}
}

func TestAsksItselfWhenNobodyAnswers(t *testing.T) {
	a, _, addresses := newSearcher(t, 0, scripted{silent: true}, scripted{silent: true}, scripted{})
	a.failed = true
	assert.Assert(t, !a.choose(t.Context()))
	assert.Equal(t, a.relay, addresses[2])
}

func TestGoesBackToAnEarlierRelay(t *testing.T) {
	a, clock, addresses := newSearcher(t, 1, scripted{}, scripted{}, scripted{})
	a.searchedAt = clock.Now()
	assert.Assert(t, a.choose(t.Context()))
	assert.Equal(t, a.relay, addresses[1], "it may have been left just now")
	clock.Advance(preferredPause)
	assert.Assert(t, a.choose(t.Context()))
	assert.Equal(t, a.relay, addresses[0])
}

// Each relay must be asked sooner or later, however long the list is.
func TestSearchAsksEveryRelay(t *testing.T) {
	for n := 1; n <= 40; n++ {
		a, clock, _ := newSearcher(t, 0, scripted{})
		asked := map[int]bool{}
		for range (n + searchWidth - 1) / searchWidth {
			clock.Advance(searchPause)
			for _, place := range a.candidates(n, -1) {
				asked[place] = true
			}
		}
		assert.Equal(t, len(asked), n)
	}
}

func TestSearchIsRareWhileAllIsWell(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, scripted{})
	clock.Advance(time.Hour)
	assert.Equal(t, len(a.candidates(9, 0)), 0, "none stands before the first")
	assert.DeepEqual(t, a.candidates(9, 2), []int{0, 1})
	a.searchedAt = clock.Now()
	clock.Advance(preferredPause - time.Millisecond)
	assert.Equal(t, len(a.candidates(9, 2)), 0)
	a.age = 2 * staleAfter
	for _, place := range a.candidates(9, 2) {
		assert.Assert(t, place != 2, "the present one is asked anyway")
	}
}

// A relay that has no configuration yet must not make this daemon believe that
// its own, empty one has been confirmed.
func TestNoFreshnessFromARelayWithoutAny(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, scripted{})
	never := a.opt.Board.Freshness.Read().Age(clock.Now())
	a.take(wire.SyncReply{AgeMs: never.Milliseconds()})
	assert.Assert(t, a.opt.Board.Freshness.Read().AsOf.IsZero())
	a.take(wire.SyncReply{AgeMs: time.Hour.Milliseconds()})
	assert.Equal(t, a.opt.Board.Freshness.Read().AsOf, clock.Now().Add(-time.Hour))
}
