package limit

import (
	"bytes"
	"net"
	"testing"

	"chicorymast/core/heads"
	"chicorymast/io/timer"
)

// memoryConn is a connection from which the same head is read again and again.
type memoryConn struct {
	net.Conn
	head []byte
}

func (c *memoryConn) Read(p []byte) (int, error) { return copy(p, c.head), nil }

// BenchmarkRequest measures what counting adds to a request with an ordinary head.
func BenchmarkRequest(b *testing.B) {
	const lines = 20
	g := New(Options{
		Budget: func() heads.Bytes { return 64 << 20 }, Clock: timer.NewClock(), Report: func(uint64, heads.Bytes) {},
	})
	head := append([]byte("GET /katalog/1 HTTP/1.1\r\n"), bytes.Repeat([]byte("Some-Header-Name: some value of it\r\n"), lines)...)
	c := g.Accepted(&memoryConn{head: append(head, "\r\n"...)}, nil)
	c.refuseWith = refuse
	p := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Read(p); err != nil {
			b.Fatal(err)
		}
		c.begin(0)
		c.end()
	}
}
