package wire

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blackholeProxy forwards connections. After blackhole it reads from the open
// ones without forwarding anything, while new connections work.
type blackholeProxy struct {
	address string
	target  string
	mu      sync.Mutex
	open    []chan struct{}
}

func newBlackholeProxy(t testing.TB, target string) *blackholeProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &blackholeProxy{address: ln.Addr().String(), target: target}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.forward(conn)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(conn net.Conn) {
	backend, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	blackholed := make(chan struct{})
	p.mu.Lock()
	p.open = append(p.open, blackholed)
	p.mu.Unlock()
	go copyUntil(backend, conn, blackholed)
	go copyUntil(conn, backend, blackholed)
}

func copyUntil(dst io.WriteCloser, src io.Reader, blackholed <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		select {
		case <-blackholed: // keep reading, forward nothing
		default:
			_, _ = dst.Write(buf[:n])
		}
	}
}

func (p *blackholeProxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		close(c)
	}
	p.open = nil
}

// Guards against a slow call that closes the connection under all other calls.
func TestSlowCallDoesNotDisturbOthers(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	address := serve(t, func(s *Server) {
		echo(s)
		Handle(s, "slow", func(context.Context, ping) (ping, error) {
			close(started)
			<-finish
			return ping{}, nil
		})
	})
	defer close(finish)
	p := newPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := Call[ping](ctx, p, address, "slow", ping{})
		result <- err
	}()
	<-started
	mustEcho(t, p, address, 1)
	conn := p.open(address)
	assert.ErrorIs(t, <-result, context.DeadlineExceeded)
	assert.Equal(t, p.open(address), conn)
	assert.Equal(t, p.Replaced.Load(), int64(0))
}

// Guards against a call that no deadline ends since the peer reads nothing.
func TestPeerThatReadsNothingEndsTheCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := newPool(t)
	const payloadBytes = 16 << 20 // above the buffers of both sockets
	_, err = Call[ping](t.Context(), p, ln.Addr().String(), "echo", strings.Repeat("x", payloadBytes))
	assert.Assert(t, err != nil)
	assert.Assert(t, p.open(ln.Addr().String()) == nil)
}
