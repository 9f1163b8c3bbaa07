package ctrl

import (
	"context"
	"testing"
	"time"

	"chicorymast/core/raft"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// Guards against messages that are acknowledged when they are queued: their senders send
// more, and nothing bounds the bytes that wait.
func TestRaftMessageIsAcknowledgedWhenHandled(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	c := &Control{queue: make(chan func(), queueLength), done: make(chan struct{}), outbox: newOutbox(nil, clock, "self"), opt: Options{Clock: clock}}
	answered := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, err := c.handleRaft(ctx, wire.RaftEnvelope{Address: "other", Message: raft.Message{Kind: raft.KindAppend}})
		answered <- err
	}()
	f := <-c.queue
	select {
	case err := <-answered:
		t.Fatal("acknowledged before it was handled", err)
	default:
	}
	f()
	assert.NilError(t, <-answered)
	cancel()
}
