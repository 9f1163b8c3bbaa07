package ctrl

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

// outbox sends Raft messages through one queue for each address, so that an
// unresponsive peer does not delay messages to the others. Messages that do not
// fit into a queue, or wait in it for maxQueued, are dropped; Raft sends them again. A
// heartbeat that is delivered late would make an old configuration look fresh.
type outbox struct {
	pool      *wire.Pool
	clock     timer.Clock
	self      string
	mu        sync.Mutex
	queues    map[string]chan queuedMessage
	addresses map[ident.Node]string
	done      chan struct{}
}

type queuedMessage struct {
	message raft.Message
	at      time.Time
}

const (
	outboxLength = 64
	sendTimeout  = time.Second
	// maxQueued is some heartbeats long.
	maxQueued = 300 * time.Millisecond
)

func newOutbox(pool *wire.Pool, clock timer.Clock, self string) *outbox {
	return &outbox{pool: pool, clock: clock, self: self, queues: map[string]chan queuedMessage{}, addresses: map[ident.Node]string{}, done: make(chan struct{})}
}

func (o *outbox) send(address string, m raft.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		q = make(chan queuedMessage, outboxLength)
		o.queues[address] = q
		go o.sendLoop(address, q)
	}
	select {
	case q <- queuedMessage{message: m, at: o.clock.Now()}:
	default:
	}
}

func (o *outbox) sendLoop(address string, q <-chan queuedMessage) {
	for {
		select {
		case <-o.done:
			return
		case m := <-q:
			if o.clock.Now().Sub(m.at) < maxQueued {
				o.deliver(address, m.message)
			}
		}
	}
}

// deliver waits for the empty reply, so that the pool notices and replaces a
// connection that has stopped delivering data.
func (o *outbox) deliver(address string, m raft.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_, _ = wire.Call[struct{}](ctx, o.pool, address, wire.MethodRaft, wire.RaftEnvelope{Address: o.self, Message: m})
}

func (o *outbox) setAddress(n ident.Node, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[n] = address
}

func (o *outbox) addressOf(n ident.Node) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addresses[n]
}

func (o *outbox) close() {
	close(o.done)
}
