package wire

import (
	"io"
	"net"
	"sync"
	"testing"

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
