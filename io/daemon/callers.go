package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorymast/config"
	"chicorymast/core/intent"
)

// connLimits are the limits of a caller's connection.
type connLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// defaultIdleTimeout is how long a connection may wait for its next request if the
// configuration sets no limit.
const defaultIdleTimeout = 2 * time.Minute

// effectiveLimits returns the limits of the configuration; those that it does not set
// come from the settings.
func effectiveLimits(l intent.Limits, c config.Calls) connLimits {
	out := connLimits{headerBytes: c.HeaderLimit, headerTimeout: c.HeaderTimeout, idleTimeout: defaultIdleTimeout}
	if l.HeaderLimit > 0 {
		out.headerBytes = l.HeaderLimit
	}
	if l.HeaderTimeout > 0 {
		out.headerTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.idleTimeout = l.IdleTimeout
	}
	return out
}

// callerServer serves one listener with limits that may change while it is open.
// An http.Server can't change its limits, so each change starts a new one for
// new connections, while the former one finishes its running requests.
type callerServer struct {
	ln      net.Listener
	handler http.Handler
	// accepted wraps each connection as the HTTP server sees it.
	accepted func(net.Conn) net.Conn

	mu      sync.Mutex
	limits  connLimits
	current *generation
	// draining counts the former servers with requests still running.
	draining sync.WaitGroup
	closed   bool
}

// generation is an http.Server for one set of limits, and the net.Listener that passes
// it the connections accepted while these limits apply.
type generation struct {
	srv   *drainingServer
	addr  net.Addr
	conns chan net.Conn
	// accepted is that of the callerServer.
	accepted func(net.Conn) net.Conn

	done  chan struct{}
	close func()
}

func newCallerServer(ln net.Listener, h http.Handler, l connLimits, accepted func(net.Conn) net.Conn) *callerServer {
	s := &callerServer{ln: ln, handler: h, limits: l, accepted: accepted}
	s.current = s.newGeneration(l)
	return s
}

func (s *callerServer) newGeneration(l connLimits) *generation {
	g := &generation{
		srv: newServer(s.handler, l), addr: s.ln.Addr(), conns: make(chan net.Conn), accepted: s.accepted, done: make(chan struct{}),
	}
	g.close = sync.OnceFunc(func() { close(g.done) })
	go func() { _ = g.srv.Serve(g) }() // ends with ErrServerClosed
	return g
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return g.accepted(&aheadConn{Conn: c}), nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; the underlying listener stays open.
func (g *generation) Close() error {
	g.close()
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// Serve accepts connections and passes them to the current server until the
// listener is closed. It returns the error of the listener.
func (s *callerServer) Serve() error {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return err
		}
		s.dispatch(conn)
	}
}

// dispatch passes a connection to the current server; it tries again if that one
// is replaced meanwhile.
func (s *callerServer) dispatch(conn net.Conn) {
	for {
		g, open := s.currentGeneration()
		if !open {
			_ = conn.Close()
			return
		}
		select {
		case g.conns <- conn:
			return
		case <-g.done:
		}
	}
}

func (s *callerServer) currentGeneration() (g *generation, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, !s.closed
}

// Apply sets the limits for all connections opened from now on.
func (s *callerServer) Apply(l connLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || l == s.limits {
		return
	}
	old := s.current
	s.limits, s.current = l, s.newGeneration(l)
	s.draining.Go(func() {
		_ = old.srv.drain(context.Background()) // waits for running requests; callerServer.Shutdown limits the wait
	})
}

// DisableKeepAlives closes each connection after its next response; that response
// has the header Connection: close.
func (s *callerServer) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.srv.SetKeepAlivesEnabled(false)
}

// Shutdown closes the listener and waits for running requests until ctx ends.
func (s *callerServer) Shutdown(ctx context.Context) (err error) {
	s.mu.Lock()
	s.closed = true
	current := s.current
	s.mu.Unlock()
	err = errors.Join(s.ln.Close(), current.srv.drain(ctx))
	finished := make(chan struct{})
	go func() {
		s.draining.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	return err
}
