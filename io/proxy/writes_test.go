package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/config"

	"gotest.tools/v3/assert"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

// Write counts and writes.
func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// ReadFrom counts a write and copies, as a TCP connection does.
func (c countingConn) ReadFrom(r io.Reader) (int64, error) {
	c.writes.Add(1)
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// countingListener counts the writes to all its connections.
type countingListener struct {
	net.Listener
	writes *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.writes}, err
}

// A daemon that is lost after the head of its request would keep a slot beside the upstream
// beyond the deadline of the call.
func TestSmallBodyIsAwaitedUntilTheDeadline(t *testing.T) {
	const left = time.Millisecond
	read := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limitSmallBody(w, r, left)
		_, err := io.ReadAll(readSmallBody(r))
		read <- err
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
	assert.NilError(t, err)
	guard := time.AfterFunc(10*time.Second, func() { _ = conn.Close() }) // ends a test that fails
	defer guard.Stop()
	assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
}

// A message in two writes costs its sender a system call and its receiver a wake-up more.
func TestSmallRequestsAreOneWrite(t *testing.T) {
	var writes atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer srv.Close()
	transport := newTransport(config.Default().Calls)
	defer transport.CloseIdleConnections()
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &writes}, err
	}
	u, err := url.Parse(srv.URL)
	assert.NilError(t, err)
	body := strings.Repeat("b", maxJoinedBody)
	mustSend := func(t *testing.T, r *http.Request) {
		t.Helper()
		writes.Store(0)
		r.URL, r.Header = u, http.Header{}
		resp, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		discardBody(resp)
		assert.Equal(t, writes.Load(), int64(1))
	}
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			r := &http.Request{Method: method}
			setNoBody(r)
			mustSend(t, r)
		})
	}
	t.Run("from an entry, with a body", func(t *testing.T) {
		r := &http.Request{Method: "POST"}
		(&payload{complete: true, buffered: []byte(body), length: int64(len(body))}).attach(r)
		mustSend(t, r)
	})
	t.Run("from a peer, with a body", func(t *testing.T) {
		r := &http.Request{Method: "POST", ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
		r.Body = readSmallBody(r)
		mustSend(t, r)
	})
}

// A response must not be written in parts because a part of its body fills a buffer of the
// detection of content types.
func TestSmallResponsesAreOneWrite(t *testing.T) {
	var writes atomic.Int64
	body := strings.Repeat("b", maxJoinedBody)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_ = stream(w, struct{ io.Reader }{strings.NewReader(body)}, int64(len(body)))
	}))
	srv.Listener = countingListener{srv.Listener, &writes}
	srv.Start()
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(data), body)
	srv.Close() // a last write has been counted
	assert.Equal(t, writes.Load(), int64(1))
}
