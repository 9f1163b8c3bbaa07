package daemon

import (
	"io"
	"log"
	"net"
	"sync"
)

// limitListener bounds the connections that are open at once; further ones
// wait in the system's backlog.
func limitListener(ln net.Listener, n int) net.Listener {
	return &limited{Listener: ln, slots: make(chan struct{}, n)}
}

type limited struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a free place, then for a connection.
func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close gives the place back.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// discardLogger silences net/http: what it would say are callers' faults.
func discardLogger() *log.Logger {
	return log.New(io.Discard, "", 0)
}
