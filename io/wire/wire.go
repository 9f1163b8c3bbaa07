// Package wire is the RPC between daemons: JSON-RPC 2.0 over TCP with
// length-prefixed messages.
//
// # Usage
//
//	srv := wire.NewServer()
//	wire.Handle(srv, wire.MethodSync, func(ctx context.Context, req wire.SyncRequest) (wire.SyncReply, error) { ... })
//	go srv.Serve(listener)
//
//	pool := wire.NewPool(wire.PlainDialer(time.Second))
//	reply, err := wire.Call[wire.SyncReply](ctx, pool, address, wire.MethodSync, req)
//
// A pool keeps one connection to each address. If nothing at all arrives on it while a
// call waits until its deadline, the connection is closed, so that the next call replaces
// one that has stopped delivering data; a call that is merely slow does not disturb the
// others. A connection that accepts no data for writeTimeout is closed, too. A message
// above MaxMessageBytes ends the connection.
package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/core/fault"

	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes is the size of the largest message.
const MaxMessageBytes = 64 << 20

// ErrTooLarge is returned for a message above MaxMessageBytes.
var ErrTooLarge = errors.New("message is too large")

// Method is the name of an RPC method.
type Method string

type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject reads one message; it returns ErrTooLarge for one above
// MaxMessageBytes.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > MaxMessageBytes {
		return ErrTooLarge
	}
	return json.NewDecoder(io.LimitReader(stream, int64(n))).Decode(v)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, codec{})
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server handles calls.
type Server struct {
	methods map[Method]handler
	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]struct{}
	closed  bool
	// Received and Sent count the bytes on all connections.
	Received, Sent atomic.Int64
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{methods: map[Method]handler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle registers the handler of a method. It must be called before Serve.
func Handle[Q, R any](s *Server, m Method, f func(context.Context, Q) (R, error)) {
	s.methods[m] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var q Q
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, fmt.Errorf("params of %s: %w", m, err)
		}
		return f(ctx, q)
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		s.accept(conn)
	}
}

func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	h := &limitedHandler{inner: jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed()}
	counting := &countingConn{Conn: conn, in: &s.Received, out: &s.Sent}
	rpc := jsonrpc2.NewConn(context.Background(), newStream(counting), h)
	s.conns[rpc] = struct{}{}
	go func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, rpc)
	}()
}

// maxConcurrent is the number of requests of one connection that are handled at once.
const maxConcurrent = 1024

// limitedHandler handles each request in a goroutine of its own, up to maxConcurrent.
type limitedHandler struct {
	inner   jsonrpc2.Handler
	running atomic.Int64
}

func (h *limitedHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if h.running.Add(1) > maxConcurrent {
		h.running.Add(-1)
		if !r.Notif {
			busy := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many requests on this connection"}
			_ = c.ReplyWithError(ctx, r.ID, busy) // fails only if the connection is closed
		}
		return
	}
	go func() {
		defer h.running.Add(-1)
		after := &afterReply{}
		defer after.run()
		h.inner.Handle(context.WithValue(ctx, afterReplyKey{}, after), c, r)
	}()
}

type afterReplyKey struct{}

// afterReply holds what a handler wants to be called after its reply.
type afterReply struct{ calls []func() }

func (a *afterReply) run() {
	for _, f := range a.calls {
		f()
	}
}

// AfterReply calls f when the reply of the handler with this context has been written, or
// could not be. Outside a handler it calls f at once.
func AfterReply(ctx context.Context, f func()) {
	if after, ok := ctx.Value(afterReplyKey{}).(*afterReply); ok {
		after.calls = append(after.calls, f)
		return
	}
	f()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h := s.methods[Method(r.Method)]
	if h == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + r.Method}
	}
	return h(ctx, *r.Params)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

const (
	// writeTimeout is how long a connection may accept no bytes. Writers of a connection
	// wait for each other, and the context of a call does not end a write.
	writeTimeout = time.Second
	// writeChunk is the number of bytes that have to be accepted within writeTimeout.
	writeChunk = 64 << 10
)

// countingConn counts bytes, and closes the connection if the other side accepts none.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
	// received counts the bytes of this connection only.
	received atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		chunk := p[written:min(len(p), written+writeChunk)]
		var n int
		if err = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err == nil {
			n, err = c.Conn.Write(chunk)
		}
		written += n
	}
	c.out.Add(int64(written))
	if err != nil {
		_ = c.Conn.Close() // a part of a message may have been sent
	}
	return written, err
}

// DialFunc opens a connection to another daemon.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps connections to other daemons.
type Pool struct {
	dial  DialFunc
	mu    sync.Mutex
	conns map[string]*poolConn
	// Received and Sent count the bytes on all connections.
	Received, Sent atomic.Int64
	// Replaced counts connections that were closed because a call timed out.
	Replaced atomic.Int64
}

// poolConn is a connection of a pool.
type poolConn struct {
	*jsonrpc2.Conn
	bytes *countingConn
}

// NewPool returns a pool that connects with dial.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, conns: map[string]*poolConn{}}
}

// PlainDialer returns a DialFunc without TLS and with the given connect timeout.
func PlainDialer(timeout time.Duration) DialFunc {
	dialer := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Call sends a request and waits for the reply until ctx ends.
func Call[R any](ctx context.Context, p *Pool, address string, m Method, params any) (reply R, err error) {
	return callWithin[R](ctx, p, address, m, params, 0)
}

// CallLarge is Call for a reply that may be large: it also ends, with
// context.DeadlineExceeded, once nothing has arrived from the address for the given time.
func CallLarge[R any](ctx context.Context, p *Pool, address string, m Method, params any, idle time.Duration) (reply R, err error) {
	return callWithin[R](ctx, p, address, m, params, idle)
}

// callWithin is CallLarge, with no limit of the time without bytes if idle is zero.
func callWithin[R any](ctx context.Context, p *Pool, address string, m Method, params any, idle time.Duration) (reply R, err error) {
	defer fault.Note(&err, "%s to %s", m, address)
	conn, err := p.conn(ctx, address)
	if err != nil {
		return reply, err
	}
	if idle > 0 {
		var stop func()
		ctx, stop = withIdleLimit(ctx, &conn.bytes.received, idle)
		defer stop()
	}
	before := conn.bytes.received.Load()
	err = conn.Call(ctx, string(m), params, &reply)
	timedOut := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	var refused *jsonrpc2.Error
	switch {
	case err == nil || errors.As(err, &refused):
		return reply, err
	case timedOut:
		err = context.DeadlineExceeded
		if idle > 0 || conn.bytes.received.Load() == before {
			p.Replaced.Add(1)
			p.discard(address, conn)
		}
	case ctx.Err() == nil:
		p.discard(address, conn)
	}
	return reply, err
}

// withIdleLimit returns a context that ends with context.DeadlineExceeded as its cause once
// the count of received bytes stays the same for the given time, and a function that ends it.
func withIdleLimit(ctx context.Context, received *atomic.Int64, idle time.Duration) (context.Context, func()) {
	limited, cancel := context.WithCancelCause(ctx)
	go func() {
		t := time.NewTicker(idle)
		defer t.Stop()
		for last := received.Load(); ; {
			select {
			case <-limited.Done():
				return
			case <-t.C:
			}
			now := received.Load()
			if now == last {
				cancel(context.DeadlineExceeded)
				return
			}
			last = now
		}
	}()
	return limited, func() { cancel(nil) }
}

// Notify sends a message that has no reply.
func Notify(ctx context.Context, p *Pool, address string, m Method, params any) (err error) {
	defer fault.Note(&err, "%s to %s", m, address)
	conn, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	if err = conn.Notify(ctx, string(m), params); err != nil {
		p.discard(address, conn)
	}
	return err
}

func (p *Pool) conn(ctx context.Context, address string) (*poolConn, error) {
	if c := p.open(address); c != nil {
		return c, nil
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: raw, in: &p.Received, out: &p.Sent}
	c := &poolConn{Conn: jsonrpc2.NewConn(context.Background(), newStream(counting), clientOnly{}), bytes: counting}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.conns[address]; existing != nil && !disconnected(existing) {
		_ = c.Close()
		return existing, nil
	}
	p.conns[address] = c
	return c, nil
}

func (p *Pool) open(address string) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil || disconnected(c) {
		return nil
	}
	return c
}

func disconnected(c *poolConn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Drop closes the connection to an address; the next call dials again.
func (p *Pool) Drop(address string) {
	if c := p.open(address); c != nil {
		p.discard(address, c)
	}
}

func (p *Pool) discard(address string, c *poolConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	_ = c.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		_ = c.Close()
		delete(p.conns, address)
	}
}

// clientOnly refuses requests that arrive on a connection of the pool.
type clientOnly struct{}

func (clientOnly) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	refusal := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only asks"}
	_ = c.ReplyWithError(ctx, r.ID, refusal)
}
