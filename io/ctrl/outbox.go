package ctrl

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

// outbox sends the agreement's messages, one queue for each address, so that
// a silent peer delays nobody else. What does not fit is dropped: the
// agreement sends again.
type outbox struct {
	pool   *wire.Pool
	self   string
	mu     sync.Mutex
	queues map[string]chan raft.Message
	known  map[ident.Node]string
	done   chan struct{}
}

const (
	outboxLength = 64
	sendTimeout  = time.Second
)

func newOutbox(pool *wire.Pool, self string) *outbox {
	return &outbox{pool: pool, self: self, queues: map[string]chan raft.Message{}, known: map[ident.Node]string{}, done: make(chan struct{})}
}

func (o *outbox) send(address string, m raft.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		q = make(chan raft.Message, outboxLength)
		o.queues[address] = q
		go o.drain(address, q)
	}
	select {
	case q <- m:
	default:
	}
}

func (o *outbox) drain(address string, q <-chan raft.Message) {
	for {
		select {
		case <-o.done:
			return
		case m := <-q:
			o.sendOne(address, m)
		}
	}
}

// sendOne waits for the empty answer, so that a connection that swallows
// everything is found and replaced.
func (o *outbox) sendOne(address string, m raft.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_, _ = wire.Call[struct{}](ctx, o.pool, address, wire.MethodRaft, wire.RaftEnvelope{Address: o.self, Message: m})
}

func (o *outbox) learn(n ident.Node, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[n] = address
}

func (o *outbox) addressOf(n ident.Node) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[n]
}

func (o *outbox) close() {
	close(o.done)
}
