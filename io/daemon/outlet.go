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

// connLimits bound a caller's connection.
type connLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// defaultIdle is how long a connection may wait for its next request where the
// configuration says nothing.
const defaultIdle = 2 * time.Minute

// limitsOf takes the limits of the configuration in force, and those of the
// settings where it has none.
func limitsOf(l intent.Limits, c config.Calls) connLimits {
	out := connLimits{headerBytes: c.HeaderLimit, headerTimeout: c.HeaderTimeout, idleTimeout: defaultIdle}
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

func newServer(h http.Handler, l connLimits) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: l.headerBytes, ReadHeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout,
		ErrorLog: discardLogger(),
	}
}

// callerServer serves one listener under limits that change while it is open:
// a change begins a new http.Server on it for new connections, and the one
// before finishes what it has.
type callerServer struct {
	ln      net.Listener
	handler http.Handler

	mu      sync.Mutex
	limits  connLimits
	current *outlet
	// retired finish their connections.
	retired sync.WaitGroup
	closed  bool
}

// outlet is the part of a listener that one http.Server accepts from.
type outlet struct {
	srv   *http.Server
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	close func()
}

func newCallerServer(ln net.Listener, h http.Handler, l connLimits) *callerServer {
	s := &callerServer{ln: ln, handler: h, limits: l}
	s.current = s.newOutlet(l)
	return s
}

func (s *callerServer) newOutlet(l connLimits) *outlet {
	o := &outlet{srv: newServer(s.handler, l), addr: s.ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	o.close = sync.OnceFunc(func() { close(o.done) })
	go func() { _ = o.srv.Serve(o) }() // ends with ErrServerClosed
	return o
}

// Accept implements net.Listener.
func (o *outlet) Accept() (net.Conn, error) {
	select {
	case c := <-o.conns:
		return c, nil
	case <-o.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; the real listener stays open.
func (o *outlet) Close() error {
	o.close()
	return nil
}

// Addr implements net.Listener.
func (o *outlet) Addr() net.Addr { return o.addr }

// Serve hands connections on until the listener is closed.
func (s *callerServer) Serve() error {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return err
		}
		s.handOn(conn)
	}
}

func (s *callerServer) handOn(conn net.Conn) {
	for {
		o, open := s.outlet()
		if !open {
			_ = conn.Close()
			return
		}
		select {
		case o.conns <- conn:
			return
		case <-o.done:
		}
	}
}

func (s *callerServer) outlet() (o *outlet, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, !s.closed
}

// Apply puts limits in force for all connections that are opened from now on.
func (s *callerServer) Apply(l connLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || l == s.limits {
		return
	}
	old := s.current
	s.limits, s.current = l, s.newOutlet(l)
	s.retired.Go(func() {
		_ = old.srv.Shutdown(context.Background()) // finishes what runs; the process ends earlier if it must
	})
}

// CloseAfterAnswers lets every answer from now on ask for the end of its
// connection.
func (s *callerServer) CloseAfterAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.srv.SetKeepAlivesEnabled(false)
}

// Shutdown closes the listener and finishes what runs.
func (s *callerServer) Shutdown(ctx context.Context) (err error) {
	s.mu.Lock()
	s.closed = true
	current := s.current
	s.mu.Unlock()
	err = errors.Join(s.ln.Close(), current.srv.Shutdown(ctx))
	finished := make(chan struct{})
	go func() {
		s.retired.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	return err
}
