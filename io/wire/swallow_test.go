package wire

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// swallower passes connections on, until those that are open then go silent
// for good, while new ones work.
type swallower struct {
	address string
	target  string
	mu      sync.Mutex
	open    []chan struct{}
}

func newSwallower(t testing.TB, target string) *swallower {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &swallower{address: ln.Addr().String(), target: target}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.pass(conn)
		}
	}()
	return s
}

func (s *swallower) pass(conn net.Conn) {
	back, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	silent := make(chan struct{})
	s.mu.Lock()
	s.open = append(s.open, silent)
	s.mu.Unlock()
	go copyUntil(back, conn, silent)
	go copyUntil(conn, back, silent)
}

func copyUntil(dst io.WriteCloser, src io.Reader, silent <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			_ = dst.Close()
			return
		}
		select {
		case <-silent: // reads on and says nothing
		default:
			_, _ = dst.Write(buf[:n])
		}
	}
}

func (s *swallower) swallow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		close(c)
	}
	s.open = nil
}
