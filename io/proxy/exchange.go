package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/io/limit"
	"chicorymast/io/timer"
)

// exchange records the progress of a request to the upstream.
type exchange struct {
	// served is the context of the request that is being served.
	served       context.Context
	clock        timer.Clock
	trace        httptrace.ClientTrace
	wroteHeaders atomic.Bool

	mu       sync.Mutex
	received time.Time
	conn     net.Conn
}

// closeConnection closes the connection of the request, on which the answers may be out of
// step with the requests. The transport would keep it if the last answer had no body.
func (e *exchange) closeConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close() // the connection is given up
	}
}

// traceExchange returns a context whose request is recorded.
func traceExchange(ctx context.Context, clock timer.Clock) (context.Context, *exchange) {
	e := &exchange{served: ctx, clock: clock}
	e.trace.GotConn, e.trace.GotFirstResponseByte = e.gotConn, e.gotFirstResponseByte
	e.trace.WroteHeaders = func() { e.wroteHeaders.Store(true) }
	return httptrace.WithClientTrace(ctx, &e.trace), e
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = info.Conn
	limit.Expect(e.served, info.Conn)
}

func (e *exchange) gotFirstResponseByte() {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = now
}

// receivedAt returns when the response was received, or the time now if that is unknown.
func (e *exchange) receivedAt(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.received.IsZero() {
		return e.received
	}
	return now
}
