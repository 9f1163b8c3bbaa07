package ctrl

import (
	"context"
	"net"
	"testing"
	"time"

	"chicorymast/core/raft"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// Guards against heartbeats that wait behind an unresponsive peer and then make its old
// configuration look fresh.
func TestOldMessagesAreNotDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	received, proceed := make(chan uint64, outboxLength), make(chan struct{})
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodRaft, func(_ context.Context, env wire.RaftEnvelope) (struct{}, error) {
		received <- env.Message.Round
		<-proceed
		return struct{}{}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	pool := wire.NewPool(wire.PlainDialer(time.Second))
	clock := timer.NewManual(time.Unix(1000, 0))
	o := newOutbox(pool, clock, "self")
	t.Cleanup(func() {
		o.close()
		pool.Close()
		_ = ln.Close()
		srv.Close()
	})
	send := func(round uint64) { o.send(ln.Addr().String(), raft.Message{Kind: raft.KindAppend, Round: round}) }
	send(1)
	assert.Equal(t, <-received, uint64(1))
	send(2) // waits until the first one is answered
	clock.Advance(maxQueued)
	send(3)
	close(proceed)
	assert.Equal(t, <-received, uint64(3))
}
