package agent

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fresh"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/relay"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// drains returns a configuration after n accepted commands; equal numbers give equal ones.
func drains(t *testing.T, n int) *board.Config {
	t.Helper()
	st := state.New()
	var recent []board.AcceptedCommand
	for i := range n {
		cmd := state.SetDrain{Metadata: state.Metadata{ChangeID: ident.ChangeID(fmt.Sprint(i))}, VM: ident.VM(fmt.Sprint("vm-", i)), Draining: true}
		st.ApplyAccepted(cmd)
		data, err := state.Encode(cmd)
		assert.NilError(t, err)
		recent = append(recent, board.AcceptedCommand{Revision: st.Revision, Command: data})
	}
	return board.NewConfig(st, recent)
}

// serveRelay serves a relay with the given configuration, confirmed at the given time.
func serveRelay(t *testing.T, a *Agent, c *board.Config, asOf time.Time) (address string) {
	t.Helper()
	b := board.New()
	b.Config.Write(c)
	b.Freshness.Write(&board.Freshness{AsOf: asOf, Source: "control"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := wire.NewServer()
	relay.New(relay.Options{
		VM: "relay", Clock: a.opt.Clock, Board: b, Pool: a.opt.Pool, Source: func() string { return "" },
		OtherRelays: func() []string { return nil }, Root: func() bool { return true },
	}).Register(srv)
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	return ln.Addr().String()
}

func mustHaveRevision(t *testing.T, a *Agent, want ident.Revision) {
	t.Helper()
	assert.Equal(t, a.opt.Board.Config.Read().State.Revision, want)
}

// Guards against a change that is in force only after the first sync with another relay.
func TestSearchReturnsTheConfiguration(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{unresponsive: true})
	a.opt.Board.Config.Write(drains(t, 1))
	a.opt.RelayAddresses = func() []string { return []string{serveRelay(t, a, drains(t, 3), clock.Now()), "self"} }
	a.failed = true
	a.selectRelay(t.Context())
	mustHaveRevision(t, a, 3)
	assert.Equal(t, a.opt.Board.Freshness.Read().AsOf, clock.Now())
	assert.Equal(t, a.opt.Board.Config.Read().Digest(), drains(t, 3).Digest())
}

// A snapshot of a large configuration must not be returned by each relay that is probed.
func TestProbeReturnsNoSnapshot(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{unresponsive: true})
	forgotten := board.NewConfig(drains(t, 3).State, nil)
	a.opt.RelayAddresses = func() []string { return []string{serveRelay(t, a, forgotten, clock.Now()), "self"} }
	a.failed = true
	a.selectRelay(t.Context())
	mustHaveRevision(t, a, 0)
	assert.Assert(t, a.opt.Board.Freshness.Read().AsOf.IsZero(), "an older configuration is not confirmed")
}

// Guards against an old configuration that passes for confirmed since a reply to it came.
func TestUnreadableConfigurationConfirmsNothing(t *testing.T) {
	for name, d := range map[string]wire.ConfigDelta{
		"command that can't be read":  {Revision: 2, Commands: []json.RawMessage{json.RawMessage("{}")}, Digest: "other"},
		"another digest":              {Revision: 2, Snapshot: drains(t, 2).Snapshot(), Digest: "other"},
		"snapshot that can't be read": {Revision: 2, Snapshot: json.RawMessage("[]"), Digest: drains(t, 2).Digest()},
		"delta of another revision":   {Revision: 9, Digest: drains(t, 9).Digest()},
	} {
		t.Run(name, func(t *testing.T) {
			a, clock, _ := newSearcher(t, 0, fakeRelay{})
			a.opt.Board.Config.Write(drains(t, 1))
			a.confirm(a.request(0), clock.Now(), wire.SyncReply{Revision: d.Revision, Config: &d, AgeMs: 10})
			mustHaveRevision(t, a, 1)
			assert.Assert(t, a.opt.Board.Freshness.Read().AsOf.IsZero())
		})
	}
}

// Guards against a reply that was long on its way and makes an old configuration look fresh.
func TestReplyThatWaitedConfirmsThePast(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	sent := clock.Now()
	clock.Advance(5 * time.Second)
	a.confirm(a.request(0), sent, wire.SyncReply{AgeMs: 100, HeldMs: fresh.SyncHold.Milliseconds()})
	assert.Equal(t, a.opt.Board.Freshness.Read().Age(clock.Now()), 4100*time.Millisecond)
}

func TestDaemonThatIsAheadIsConfirmed(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	a.opt.Board.Config.Write(drains(t, 3))
	a.confirm(a.request(0), clock.Now(), wire.SyncReply{Revision: 2, AgeMs: 100})
	assert.Equal(t, a.opt.Board.Freshness.Read().Age(clock.Now()), 100*time.Millisecond)
}

// Guards against a daemon that goes back to an older configuration with an older relay.
func TestOlderRelayTakesNothingBack(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	a.opt.Board.Config.Write(drains(t, 3))
	older := serveRelay(t, a, drains(t, 1), clock.Now())
	a.opt.RelayAddresses = func() []string { return nil }
	a.switchTo(older, reasonFirst)
	a.syncOnce(t.Context())
	assert.Assert(t, !a.failed)
	mustHaveRevision(t, a, 3)
	assert.Equal(t, a.opt.Board.Config.Read().Digest(), drains(t, 3).Digest())
}
