package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"chicorymast/io/limit"
)

// aheadConn is a caller's connection that notices the caller's leaving also while
// further requests wait behind the one that runs.
//
// While a request runs, net/http reads a single byte ahead to notice the end of the
// connection. Once a pipelining caller has sent that byte, nothing is read any more, and
// the end stays unseen. So when such a read has got a byte, aheadConn goes on reading
// into a buffer of its own until net/http reads again. A caller that does not pipeline
// is served without a goroutine or a copy.
type aheadConn struct {
	net.Conn
	// left ends the context of the connection.
	left context.CancelFunc

	mu sync.Mutex
	// hold accounts for the buffer, with a size of held; nil does not.
	hold *limit.Hold
	held int
	// closed is set when nothing more is read ahead.
	closed bool
	// buffer holds what was read ahead, and err is the error that ended the connection.
	buffer []byte
	err    error
	// reading is open while a goroutine reads ahead, nil otherwise.
	reading chan struct{}
	// deadline is the read deadline that net/http has set.
	deadline time.Time
}

const (
	// maxReadAhead is the number of bytes that are read ahead on a connection, as far as the
	// memory for message heads has room; further ones wait in the operating system, which
	// slows the caller down.
	maxReadAhead = 64 << 10
	readChunk    = 4 << 10
)

// chunks holds what reading ahead reads into: a caller that sends its next request as soon
// as it has a response is often read ahead for a moment.
var chunks = sync.Pool{New: func() any { return new([readChunk]byte) }}

// connContext is the http.Server.ConnContext that ends with an aheadConn.
func connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = limit.ConnContext(ctx, c)
	counted, isCounted := c.(*limit.Conn)
	if isCounted {
		c = counted.Conn
	}
	ahead, ok := c.(*aheadConn)
	if !ok {
		return ctx
	}
	if isCounted {
		ahead.hold = counted.Hold()
	}
	ctx, ahead.left = context.WithCancel(ctx)
	return ctx
}

// Read returns what was read ahead, or else reads from the connection.
func (c *aheadConn) Read(p []byte) (n int, err error) {
	c.stopReading()
	// net/http reads single bytes only to notice the end of the connection.
	background := len(p) == 1
	if n, err = c.takeBuffered(p); n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	if background && n == 1 && err == nil {
		c.startReading()
	}
	return n, err
}

// takeBuffered takes bytes that were read ahead, or the error behind them.
func (c *aheadConn) takeBuffered(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffer) == 0 {
		c.buffer = nil
		c.resize(0)
		return 0, c.err
	}
	n = copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	c.resize(len(c.buffer))
	return n, nil
}

// Unread takes back bytes that the last Read returned.
func (c *aheadConn) Unread(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer = append(append(make([]byte, 0, len(p)+len(c.buffer)), p...), c.buffer...)
}

// hasRoom reports whether another chunk may be read ahead, and accounts for it.
func (c *aheadConn) hasRoom() bool {
	return !c.closed && len(c.buffer) < maxReadAhead && c.resize(len(c.buffer)+readChunk)
}

// resize accounts for n bytes, and for none once the connection is closed. It reports false if
// there is no room for them.
func (c *aheadConn) resize(n int) bool {
	if c.closed {
		n = 0
	}
	if n != c.held && !c.hold.Resize(n) {
		return false
	}
	c.held = n
	return true
}

func (c *aheadConn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.hasRoom() {
		return
	}
	c.reading = make(chan struct{})
	go c.readAhead(c.reading)
}

// stopReading ends reading ahead by a deadline in the past, and restores the deadline.
func (c *aheadConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading := c.reading
	if reading == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which no read waits
	c.mu.Unlock()
	<-reading
	c.mu.Lock()
	c.reading = nil
	_ = c.Conn.SetReadDeadline(c.deadline) // as above
}

// readAhead fills the buffer until it is full, the connection ends or a deadline ends it.
func (c *aheadConn) readAhead(reading chan struct{}) {
	defer close(reading)
	chunk := chunks.Get().(*[readChunk]byte)
	defer chunks.Put(chunk)
	for {
		n, err := c.Conn.Read(chunk[:])
		c.mu.Lock()
		c.buffer = append(c.buffer, chunk[:n]...)
		ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if ended {
			c.err = err
		}
		full := !c.hasRoom()
		c.mu.Unlock()
		if ended {
			c.left()
		}
		if err != nil || full {
			return
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *aheadConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *aheadConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite lets net/http send its last response before a reset by unread requests.
func (c *aheadConn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// Close closes the connection and ends its context.
func (c *aheadConn) Close() error {
	if c.left != nil {
		c.left()
	}
	c.mu.Lock()
	c.closed = true
	c.resize(0)
	c.mu.Unlock()
	return c.Conn.Close()
}
