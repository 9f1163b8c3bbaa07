package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"chicorymast/io/limit"
)

// drainingServer is an http.Server that can end without dropping a request.
//
// Once http.Server.Shutdown has begun, a request that arrives on an open connection is
// read and dropped without an answer, so its caller can't tell whether it runs. Here such
// a request still gets the answer of the handler, and its connection closes after it.
type drainingServer struct {
	*http.Server
	mu   sync.Mutex
	open int
	// empty is closed when the last connection has ended; set while drain waits.
	empty chan struct{}
}

func newServer(h http.Handler, l connLimits) *drainingServer {
	s := &drainingServer{}
	s.Server = &http.Server{
		Handler: limit.Handler(h), MaxHeaderBytes: l.headerBytes, ReadHeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout,
		ErrorLog: discardLogger(), ConnContext: connContext, ConnState: s.countConnection,
	}
	return s
}

func (s *drainingServer) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateActive || state == http.StateIdle {
		return // at the begin and the end of each request
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
	case http.StateClosed, http.StateHijacked:
		s.open--
		if s.open == 0 && s.empty != nil {
			close(s.empty)
			s.empty = nil
		}
	}
}

// drain closes idle connections, waits until all others have ended or ctx ends, and shuts
// the server down. The listener must be closed or get no more connections.
func (s *drainingServer) drain(ctx context.Context) error {
	s.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	empty := make(chan struct{})
	if s.open == 0 {
		close(empty)
	} else {
		s.empty = empty
	}
	s.mu.Unlock()
	select {
	case <-empty:
	case <-ctx.Done():
	}
	return s.Shutdown(ctx)
}
