package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"chicorymast/config"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// closingServer responds to the first request on each connection. It reads the
// second one completely and closes the connection, as if it had run the request
// and the response were lost.
type closingServer struct {
	ln       net.Listener
	received atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &closingServer{ln: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := in.Discard(int(max(0, r.ContentLength))); err != nil {
			return
		}
		s.received.Add(1)
		if n == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

// net/http retries some requests on its own if a reused connection closes before
// the response. That would exceed retry budgets and run actions twice.
func TestNetHTTPDoesNotRetry(t *testing.T) {
	bodies := map[string]func(r *http.Request){
		"towards a daemon": func(r *http.Request) { (&payload{complete: true}).attach(r) },
		"towards a daemon, with a body": func(r *http.Request) {
			(&payload{complete: true, buffered: []byte("body"), length: 4}).attach(r)
		},
		"towards an upstream": setNoBody,
		"towards an upstream, with a body": func(r *http.Request) {
			r.Body, r.ContentLength = unretriableBody{strings.NewReader("body")}, 4
		},
		"towards an upstream, with a body in memory": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			r.Body = readSmallBody(r)
		},
	}
	for name, attach := range bodies {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
			for _, key := range []string{header.IdempotencyKey, "X-Idempotency-Key", "x-idempotency-key"} {
				t.Run(name+" "+method+" "+key, func(t *testing.T) { testNoRetry(t, method, key, attach) })
			}
		}
	}
}

func testNoRetry(t *testing.T, method, key string, attach func(*http.Request)) {
	s := newClosingServer(t)
	transport := newTransport(config.Default().Calls)
	defer transport.CloseIdleConnections()
	send := func() error {
		r, err := http.NewRequest(method, "http://"+s.ln.Addr().String()+"/", nil)
		assert.NilError(t, err)
		r.Header.Set(key, "order-1")
		header.LowerRetryHeaders(r.Header)
		attach(r)
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		discardBody(resp)
		return nil
	}
	assert.NilError(t, send())
	// TRACE requests without a body use a new connection and so get a response.
	lost := send() != nil
	assert.Equal(t, lost, method != http.MethodTrace || strings.Contains(t.Name(), "with_a_body"))
	assert.Equal(t, s.received.Load(), int64(2), "net/http retried the request")
}
