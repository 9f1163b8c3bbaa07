package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"chicorymast/core/board"
	"chicorymast/core/fresh"
	"chicorymast/core/member"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// swallowingRelay accepts syncs and answers none. It calls received for each.
func swallowingRelay(t *testing.T, received func(wire.SyncRequest)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodSync, func(_ context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
		received(q)
		<-t.Context().Done()
		return wire.SyncReply{}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	return ln.Addr().String()
}

// Guards against a silent relay that is never left because announcements interrupt each sync.
func TestSilentRelayIsLeftWhileTheVMAnnouncesChanges(t *testing.T) {
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	slots := 1
	var held atomic.Int64
	a.relay = swallowingRelay(t, func(q wire.SyncRequest) {
		held.Add(q.WaitMs)
		slots++
		clock.Advance(fresh.SyncHold)
		a.opt.Board.Upstream.Write(&board.Upstream{Upstream: member.Upstream{Service: "katalog", Slots: slots}})
	})
	a.cursor = wire.Cursor{Epoch: "relay/1"}
	a.opt.RelayAddresses = func() []string { return nil }
	const attempts = 3
	for range attempts {
		if a.syncOnce(t.Context()); a.failed {
			break
		}
	}
	assert.Assert(t, a.failed, "%d syncs were interrupted", attempts)
	assert.Equal(t, held.Load(), fresh.SyncHold.Milliseconds(), "a sync that announces a change must not be held")
}
