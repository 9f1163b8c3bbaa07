package ctrl

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

// outbox sends Raft messages through one queue for each address, so that an
// unresponsive peer does not delay messages to the others. Messages that do not
// fit into a queue are dropped; Raft sends them again.
type outbox struct {
	pool      *wire.Pool
	self      string
	mu        sync.Mutex
	queues    map[string]chan raft.Message
	addresses map[ident.Node]string
	done      chan struct{}
}

const (
	outboxLength = 64
	sendTimeout  = time.Second
)

func newOutbox(pool *wire.Pool, self string) *outbox {
	return &outbox{pool: pool, self: self, queues: map[string]chan raft.Message{}, addresses: map[ident.Node]string{}, done: make(chan struct{})}
}

func (o *outbox) send(address string, m raft.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		q = make(chan raft.Message, outboxLength)
		o.queues[address] = q
		go o.sendLoop(address, q)
	}
	select {
	case q <- m:
	default:
	}
}

func (o *outbox) sendLoop(address string, q <-chan raft.Message) {
	for {
		select {
		case <-o.done:
			return
		case m := <-q:
			o.deliver(address, m)
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
