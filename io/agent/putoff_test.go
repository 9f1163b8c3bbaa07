package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"chicorymast/core/fresh"
	"chicorymast/core/member"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that asks again and again for what a relay has put off, and one
// that gets no changes meanwhile.
func TestLargeReplyIsAskedForWhenTheRelayWants(t *testing.T) {
	const later = 3 * time.Second
	a, clock, _ := newSearcher(t, 0, fakeRelay{})
	var asked []wire.SyncRequest
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodSync, func(_ context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
		asked = append(asked, q)
		reply := wire.SyncReply{Revision: 1, Config: nil, AgeMs: 10}
		switch {
		case len(asked) == 1:
			reply.RetryMs, reply.Reserved = later.Milliseconds(), true
		case q.Small:
			reply.HeldMs = q.WaitMs
			clock.Advance(time.Duration(q.WaitMs) * time.Millisecond)
		default:
			reply.Directory.Epoch, reply.Full = "epoch", true
			reply.Members = []member.Entry{{VM: "other", Phase: member.PhaseUp}}
		}
		return reply, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	a.opt.RelayAddresses = func() []string { return nil }
	a.switchTo(ln.Addr().String(), reasonFirst)
	a.opt.Board.Config.Write(drains(t, 1))
	for range 10 {
		a.syncOnce(t.Context())
		if a.cursor.Epoch != "" {
			break
		}
	}
	assert.Equal(t, a.cursor.Epoch, "epoch")
	assert.Equal(t, len(asked), 2+int(later/fresh.SyncHold))
	for _, q := range asked[1 : len(asked)-1] {
		assert.Assert(t, q.Small && q.WaitMs == fresh.SyncHold.Milliseconds())
	}
	assert.Assert(t, asked[len(asked)-1].Reserved)
	assert.Assert(t, a.opt.Board.Freshness.Read().Age(clock.Now()) < fresh.StaleAfter, "changes come meanwhile")
}
