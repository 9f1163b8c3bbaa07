package daemon

import (
	"io"
	"log"
	"net"
	"sync"
)

// limitListener limits a listener to n open connections; further ones wait in the
// accept queue of the operating system.
func limitListener(ln net.Listener, n int) net.Listener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, n)}
}

type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits until fewer than n connections are open, then for the next one.
func (l *limitedListener) Accept() (net.Conn, error) {
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

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// CloseWrite implements the interface by which net/http ends a connection gracefully.
func (c *limitedConn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// closeWrite closes the sending half of a connection, if it has one.
func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// discardLogger drops the log of net/http, which reports only faults of callers,
// such as malformed requests.
func discardLogger() *log.Logger {
	return log.New(io.Discard, "", 0)
}
