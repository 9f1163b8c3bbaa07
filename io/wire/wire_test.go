package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type ping struct {
	N int `json:"n"`
}

func serve(t testing.TB, register func(*Server)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer()
	register(s)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		s.Close()
	})
	return ln.Addr().String()
}

func newPool(t testing.TB) *Pool {
	t.Helper()
	p := NewPool(PlainDialer(time.Second))
	t.Cleanup(p.Close)
	return p
}

func echo(s *Server) {
	Handle(s, "echo", func(_ context.Context, q ping) (ping, error) { return q, nil })
}

func mustEcho(t testing.TB, p *Pool, address string, n int) {
	t.Helper()
	got, err := Call[ping](context.Background(), p, address, "echo", ping{n})
	assert.NilError(t, err)
	assert.Equal(t, got.N, n)
}

func TestCall(t *testing.T) {
	p, address := newPool(t), serve(t, echo)
	mustEcho(t, p, address, 7)
	t.Run("unknown method", func(t *testing.T) {
		_, err := Call[ping](context.Background(), p, address, "nothing", ping{})
		assert.ErrorContains(t, err, "no method")
	})
	t.Run("invalid params", func(t *testing.T) {
		_, err := Call[ping](context.Background(), p, address, "echo", "text")
		assert.ErrorContains(t, err, "params of echo")
	})
	mustEcho(t, p, address, 8)
}

// A connection that stops delivering data is closed when a call times out, and
// the next call opens a new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	target := serve(t, echo)
	proxy := newBlackholeProxy(t, target)
	p := newPool(t)
	mustEcho(t, p, proxy.address, 1)
	proxy.blackhole()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := Call[ping](ctx, p, proxy.address, "echo", ping{2})
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	mustEcho(t, p, proxy.address, 3)
	assert.Equal(t, p.Replaced.Load(), int64(1))
}

func TestTooLargeObjectIsRefused(t *testing.T) {
	prefix := binary.AppendUvarint(nil, MaxMessageBytes+1)
	var v any
	assert.ErrorIs(t, codec{}.ReadObject(bufio.NewReader(bytes.NewReader(prefix)), &v), ErrTooLarge)
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var v any
		_ = codec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v) // must not panic
	})
}

func BenchmarkCall(b *testing.B) {
	p, address := newPool(b), serve(b, echo)
	b.ReportAllocs()
	for b.Loop() {
		mustEcho(b, p, address, 1)
	}
}

func TestAfterReply(t *testing.T) {
	called := false
	AfterReply(t.Context(), func() { called = true })
	assert.Assert(t, called, "outside a handler")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	replied, after := make(chan struct{}), make(chan struct{})
	srv := NewServer()
	Handle(srv, MethodRead, func(ctx context.Context, _ ReadRequest) (ReadReply, error) {
		AfterReply(ctx, func() {
			<-replied
			close(after)
		})
		return ReadReply{Done: true}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	pool := NewPool(PlainDialer(time.Second))
	t.Cleanup(func() {
		pool.Close()
		_ = ln.Close()
		srv.Close()
	})
	reply, err := Call[ReadReply](t.Context(), pool, ln.Addr().String(), MethodRead, ReadRequest{})
	assert.NilError(t, err)
	assert.Assert(t, reply.Done)
	close(replied)
	<-after
}

// dripping is a connection whose bytes arrive in pieces, with a pause before each.
type dripping struct {
	net.Conn
	piece int
	pause time.Duration
}

func (d dripping) Read(p []byte) (int, error) {
	time.Sleep(d.pause)
	return d.Conn.Read(p[:min(len(p), d.piece)])
}

// Guards against a large reply that is given up while it arrives, and made again for nobody.
func TestLargeReplyIsNotGivenUpWhileItArrives(t *testing.T) {
	const idle, pause, pieces = time.Second, 50 * time.Millisecond, 30
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := NewServer()
	Handle(srv, MethodRead, func(context.Context, ReadRequest) (ReadReply, error) {
		return ReadReply{Leader: strings.Repeat("x", pieces<<10), Done: true}, nil
	})
	silent := make(chan struct{})
	Handle(srv, MethodProbe, func(context.Context, ProbeRequest) (ProbeReply, error) {
		<-silent
		return ProbeReply{}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	dial := PlainDialer(time.Second)
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return dripping{Conn: conn, piece: 1 << 10, pause: pause}, err
	})
	t.Cleanup(func() {
		close(silent)
		pool.Close()
		_ = ln.Close()
		srv.Close()
	})
	reply, err := CallLarge[ReadReply](t.Context(), pool, ln.Addr().String(), MethodRead, ReadRequest{}, idle)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Leader), pieces<<10)
	_, err = CallLarge[ProbeReply](t.Context(), pool, ln.Addr().String(), MethodProbe, ProbeRequest{}, idle)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
