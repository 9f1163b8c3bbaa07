package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fresh"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

func TestPickRelay(t *testing.T) {
	const young, old, ancient = 100 * time.Millisecond, 5 * time.Second, time.Hour
	for _, tc := range []struct {
		name       string
		replies    []probeResult
		responsive bool
		age        time.Duration
		want       int
		ok         bool
	}{
		{name: "no relay answers", responsive: false, age: old},
		{
			name:    "first fresh relay in the list",
			replies: []probeResult{{rank: 3, age: young}, {rank: 1, age: 2 * young}, {rank: 0, age: old}}, responsive: true, age: old, want: 1, ok: true,
		},
		{name: "relay before the current one", replies: []probeResult{{rank: 0, age: young}}, responsive: true, age: young, want: 0, ok: true},
		{name: "all relays are stale", replies: []probeResult{{rank: 0, age: old}, {rank: 1, age: old}}, responsive: true, age: old},
		{name: "current relay is older by far", replies: []probeResult{{rank: 0, age: ancient}, {rank: 1, age: old}}, responsive: true, age: ancient, want: 1, ok: true},
		{name: "stale relay replaces an unresponsive one", replies: []probeResult{{rank: 0, age: ancient}, {rank: 1, age: old}}, responsive: false, want: 1, ok: true},
		{name: "no relay has a configuration", replies: []probeResult{{rank: 2, age: 1<<63 - 1}}, responsive: true, age: 1<<63 - 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rank, ok := pickRelay(tc.replies, tc.responsive, tc.age)
			assert.Equal(t, ok, tc.ok)
			assert.Assert(t, !ok || rank == tc.want, "%d", rank)
		})
	}
}

// fakeRelay answers probes with a fixed age of its configuration.
type fakeRelay struct {
	age          time.Duration
	unresponsive bool
}

func (r fakeRelay) serve(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodSync, func(_ context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
		if r.unresponsive {
			<-t.Context().Done()
		}
		assert.Check(t, q.Probe, "a probe must not announce the VM")
		return wire.SyncReply{AgeMs: r.age.Milliseconds()}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	return ln.Addr().String()
}

// newSearcher returns an agent whose current relay has the given rank; the
// last of the relays is the agent's own daemon.
func newSearcher(t *testing.T, current int, relays ...fakeRelay) (a *Agent, clock *timer.Manual, addresses []string) {
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
	a.switchTo(addresses[current], reasonFirst)
	a.age = relays[current].age
	return a, clock, addresses
}

func TestLeavesStaleRelayAtOnce(t *testing.T) {
	a, _, addresses := newSearcher(t, 1, fakeRelay{unresponsive: true}, fakeRelay{age: time.Minute}, fakeRelay{age: 20 * time.Millisecond}, fakeRelay{age: time.Minute})
	assert.Assert(t, a.selectRelay(t.Context()))
	assert.Equal(t, a.relay, addresses[2])
}

// A daemon that was cut off and uses itself as its relay must leave it once
// another relay can be reached again.
func TestLeavesOwnRelayAtOnce(t *testing.T) {
	a, _, addresses := newSearcher(t, 2, fakeRelay{unresponsive: true}, fakeRelay{age: 20 * time.Millisecond}, fakeRelay{age: time.Minute})
	assert.Assert(t, a.selectRelay(t.Context()))
	assert.Equal(t, a.relay, addresses[1])
}

func TestKeepsRelayWhileAllAreStale(t *testing.T) {
	a, clock, addresses := newSearcher(t, 0, fakeRelay{age: time.Minute}, fakeRelay{age: time.Minute}, fakeRelay{age: time.Minute})
	for range 5 {
		clock.Advance(searchPause)
		assert.Assert(t, a.selectRelay(t.Context()))
		assert.Equal(t, a.relay, addresses[0])
	}
}

func TestUsesOwnRelayWhenNoOtherAnswers(t *testing.T) {
	a, _, addresses := newSearcher(t, 0, fakeRelay{unresponsive: true}, fakeRelay{unresponsive: true}, fakeRelay{})
	a.failed = true
	assert.Assert(t, !a.selectRelay(t.Context()))
	assert.Equal(t, a.relay, addresses[2])
}

func TestReturnsToPreferredRelay(t *testing.T) {
	a, clock, addresses := newSearcher(t, 1, fakeRelay{}, fakeRelay{}, fakeRelay{})
	a.searchedAt = clock.Now()
	assert.Assert(t, a.selectRelay(t.Context()))
	assert.Equal(t, a.relay, addresses[1], "the preferred relay may have been left just now")
	clock.Advance(preferredPause)
	assert.Assert(t, a.selectRelay(t.Context()))
	assert.Equal(t, a.relay, addresses[0])
}

// Each relay must be probed eventually, however long the list is.
func TestSearchProbesEveryRelay(t *testing.T) {
	for n := 1; n <= 40; n++ {
		a, clock, _ := newSearcher(t, 0, fakeRelay{})
		probed := map[int]bool{}
		for range (n + searchWidth - 1) / searchWidth {
			clock.Advance(searchPause)
			for _, rank := range a.candidates(n, -1) {
				probed[rank] = true
			}
		}
		assert.Equal(t, len(probed), n)
	}
}

// Guards against a search in which all relays that are probed fail by one fault.
func TestSearchProbesRelaysThatFailApart(t *testing.T) {
	const relays, remote = 40, 4 // the last ones are in other data centres
	for search := range 2 {
		far, seen := 0, map[int]bool{}
		for _, rank := range searchRanks(relays, search) {
			assert.Assert(t, rank >= 0 && rank < relays && !seen[rank])
			seen[rank] = true
			if rank >= relays-remote {
				far++
			}
		}
		assert.Assert(t, far > 0)
		assert.Equal(t, len(seen), searchWidth)
	}
}

func TestSearchIntervalWithFreshRelay(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	clock.Advance(time.Hour)
	assert.Equal(t, len(a.candidates(9, 0)), 0, "no relay precedes the first one")
	assert.DeepEqual(t, a.candidates(9, 2), []int{0, 1})
	a.searchedAt = clock.Now()
	clock.Advance(preferredPause - time.Millisecond)
	assert.Equal(t, len(a.candidates(9, 2)), 0)
	a.age = 2 * fresh.StaleAfter
	for _, rank := range a.candidates(9, 2) {
		assert.Assert(t, rank != 2, "the current relay is synced with anyway")
	}
}

// A relay that has no configuration yet must not make this daemon treat its own
// empty configuration as confirmed.
func TestNoFreshnessFromRelayWithoutConfig(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	never := a.opt.Board.Freshness.Read().Age(clock.Now())
	a.applyReply(a.request(0), clock.Now(), wire.SyncReply{AgeMs: never.Milliseconds()})
	assert.Assert(t, a.opt.Board.Freshness.Read().AsOf.IsZero())
	a.applyReply(a.request(0), clock.Now(), wire.SyncReply{AgeMs: time.Hour.Milliseconds()})
	assert.Equal(t, a.opt.Board.Freshness.Read().AsOf, clock.Now().Add(-time.Hour))
}
