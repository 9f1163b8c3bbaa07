package limit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorymast/core/heads"
)

// ErrRefused is returned by the connection on which a response arrives whose head was refused.
var ErrRefused = errors.New("the head of the response was refused: heads take too much memory")

const (
	// refusalTimeout limits how long the response to a refused head may take to be written.
	refusalTimeout = 100 * time.Millisecond
	// lingerTime is how long a connection stays open behind such a response. It would be lost
	// by a reset if the connection were closed while bytes of the request are unread.
	lingerTime = 500 * time.Millisecond
)

// Conn is a connection whose heads are counted.
type Conn struct {
	net.Conn
	guard *Guard
	// refuseWith writes the response to a refused request; nil if responses arrive here.
	refuseWith func(w http.ResponseWriter)

	mu      sync.Mutex
	scanner heads.Scanner
	// share is that of the present message, nil if none is expected.
	share *share
	// responses are the shares of the responses that the present request has led to.
	responses []*share
	// behind holds bytes that were read behind the present message.
	behind []byte
	// refused is set when the present message is to be refused, answered when the request has
	// its response, and lingers if that was written past net/http.
	refused, answered, lingers bool
	// unread is set while the rest of a body may arrive whose request has been handled: a
	// refusal would be taken for the response to that request.
	unread bool
}

// unreader is a connection that takes back what was read from it.
type unreader interface{ Unread(p []byte) }

// Accepted returns a connection on which requests arrive. The function writes the response to
// one that is refused.
func (g *Guard) Accepted(c net.Conn, refuse func(w http.ResponseWriter)) *Conn {
	out := &Conn{Conn: c, guard: g, refuseWith: refuse}
	out.share = newShare(out)
	return out
}

// Dialled returns a connection on which responses arrive, each after a call of Expect.
func (g *Guard) Dialled(c net.Conn) *Conn {
	return &Conn{Conn: c, guard: g}
}

// Read reads and counts what belongs to the present message.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.isRefused() {
		return 0, c.refuse(len(p))
	}
	n, err = c.fetch(p)
	used := c.count(p[:n])
	if c.isRefused() {
		return 0, c.refuse(len(p))
	}
	if used < n {
		err = nil // it comes again behind the rest
	}
	return used, err
}

// fetch returns bytes that were read before, or else reads from the connection.
func (c *Conn) fetch(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.behind) > 0 {
		defer c.mu.Unlock()
		n := copy(p, c.behind)
		if c.behind = c.behind[n:]; len(c.behind) == 0 {
			c.behind = nil
		}
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// count counts bytes and returns how many of them may be passed on.
func (c *Conn) count(p []byte) int {
	if len(p) == 0 {
		return 0
	}
	if c.refuseWith == nil {
		c.countResponse(p)
		return len(p)
	}
	c.mu.Lock()
	used, cost := c.scanner.Scan(p)
	c.keep(p[used:])
	s := c.share
	c.mu.Unlock()
	c.guard.charge(s, cost)
	return used
}

// keep keeps bytes until they are read as those of the next message.
func (c *Conn) keep(p []byte) {
	if len(p) == 0 {
		return
	}
	if u, ok := c.Conn.(unreader); ok {
		u.Unread(p)
		return
	}
	c.behind = append(append(make([]byte, 0, len(p)+len(c.behind)), p...), c.behind...)
}

// countResponse counts the heads of responses up to that of the final one.
func (c *Conn) countResponse(p []byte) {
	for len(p) > 0 {
		c.mu.Lock()
		s := c.share
		if s == nil || c.scanner.HeadEnded() {
			c.mu.Unlock()
			return
		}
		used, cost := c.scanner.Scan(p)
		p = p[used:]
		ended, interim := c.scanner.HeadEnded(), c.scanner.Interim()
		if ended && interim {
			c.scanner.Head()
		}
		c.mu.Unlock()
		c.guard.charge(s, cost)
		switch {
		case ended && interim:
			c.guard.empty(s)
		case ended:
			c.guard.begin(s)
		}
	}
}

// Expect says that the next response on a connection is that to a request with this context.
// What its head takes is released when the request that is being served has ended, or with the
// next response if there is none.
func Expect(ctx context.Context, conn net.Conn) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	s := newShare(c)
	if owner, ok := ctx.Value(connKey{}).(*Conn); ok {
		s.owned = true
		owner.mu.Lock()
		owner.responses = append(owner.responses, s)
		owner.mu.Unlock()
	}
	c.mu.Lock()
	last := c.share
	c.share = s
	c.scanner.Head()
	c.mu.Unlock()
	if last != nil && !last.owned {
		c.guard.release(last)
	}
}

// begin says that the present request is handled from now on, and how long its body is. It
// returns false if the request is refused.
func (c *Conn) begin(length int64) bool {
	c.mu.Lock()
	s := c.share
	c.scanner.Body(length)
	c.unread = false
	c.mu.Unlock()
	if c.guard.begin(s) {
		return true
	}
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return false
}

// end releases what the present request and its responses take.
func (c *Conn) end() {
	c.mu.Lock()
	done := append(c.responses, c.share)
	c.share, c.responses = newShare(c), nil
	c.unread = c.scanner.InBody()
	c.mu.Unlock()
	c.guard.release(done...)
}

// interrupt refuses the present message: a Read that waits ends.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which no read waits
}

func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// refuse writes the refusal, unless the request has got a response, and returns the error with
// which Read ends. A read of a single byte comes from a goroutine that waits for the end of
// the connection and must not write.
func (c *Conn) refuse(size int) error {
	if c.refuseWith == nil {
		return ErrRefused
	}
	c.mu.Lock()
	answered := c.answered || c.unread || size == 1
	c.answered = true
	c.lingers = c.lingers || !answered
	c.mu.Unlock()
	if !answered && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = c.Write(responseOf(c.refuseWith)) // the caller may have left
	}
	return io.EOF // makes net/http close the connection and write nothing
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the sending half of the connection, if it has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what its heads take, apart from responses that
// belong to a request.
func (c *Conn) Close() error {
	c.mu.Lock()
	s, lingers := c.share, c.lingers
	c.lingers = false
	c.mu.Unlock()
	if s != nil && !s.owned {
		c.guard.release(s)
	}
	if lingers && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
		return nil
	}
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext is an http.Server.ConnContext that lets Handler and Expect find the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler serves the requests that are not refused with h.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.begin(r.ContentLength) {
			w.Header().Set("Connection", "close")
			c.refuseWith(w)
			return
		}
		defer c.end()
		h.ServeHTTP(w, r)
	})
}
