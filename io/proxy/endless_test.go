package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/heads"
	"chicorymast/core/member"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/limit"
	"chicorymast/io/timer"
	"chicorymast/io/trace"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// endlessServer responds to each request with a head, and then repeats more until
// its caller closes the connection.
type endlessServer struct {
	ln         net.Listener
	head, more string
	written    atomic.Int64
	closed     chan struct{}
}

func newEndlessServer(t *testing.T, head, more string) *endlessServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessServer{ln: ln, head: head, more: strings.Repeat(more, 1+4096/len(more)), closed: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.head)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, s.more)
		s.written.Add(int64(n))
	}
	s.closed <- struct{}{}
}

// newUpstreamProxy returns a proxy beside an upstream at an address.
func newUpstreamProxy(t *testing.T, address string) *Proxy {
	t.Helper()
	return newUpstreamProxyAt(t, timer.NewClock(), address, member.Upstream{Service: "shop", ID: "i-1", Phase: member.PhaseUp, Slots: 4})
}

func newUpstreamProxyAt(t *testing.T, clock timer.Clock, address string, upstream member.Upstream, change ...func(*config.Config)) *Proxy {
	t.Helper()
	cfg := config.Default()
	for _, f := range change {
		f(&cfg)
	}
	tracer, err := trace.Open(cfg.Trace, "vm-1")
	assert.NilError(t, err)
	t.Cleanup(func() { tracer.Close(context.Background()) })
	b := board.New()
	b.Upstream.Write(&board.Upstream{Upstream: upstream, Address: address})
	guard := limit.New(limit.Options{ // as in a daemon
		Budget: func() heads.Bytes { return 64 << 20 }, Clock: clock, Report: func(uint64, heads.Bytes) {},
	})
	p := New(Options{
		Config: func() *config.Config { return &cfg }, Clock: clock, Board: b, Log: event.Discard(), Tracer: tracer,
		Metrics: NewMetrics(prometheus.NewRegistry()), Dialect: header.DefaultDialect(), Heads: guard,
	})
	t.Cleanup(p.Start())
	return p
}

// readResponse sends a request and returns the status of a complete response.
func readResponse(r *http.Request) (status int, err error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// An upstream whose bytes never end must not occupy the daemon: the call ends
// without success and the connection is closed.
func TestEndlessBytesOfAnUpstreamEndWithTheCall(t *testing.T) {
	const timeout = 700 * time.Millisecond
	// maxHeadBytes is what the daemon and the buffers of two sockets may take in of
	// a response that has no end of its head.
	const maxHeadBytes = 16 << 20
	for name, c := range map[string]struct {
		head, more string
		// streamed is set if the response has begun when it turns out to be endless.
		streamed bool
	}{
		"no response":         {"", "\x00\x01garbage", false},
		"one header line":     {"HTTP/1.1 200 OK\r\nX-Long: ", "a", false},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-Line: a\r\n", false},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"body without length": {"HTTP/1.1 200 OK\r\n\r\n", "a", false},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", true},
		"chunk extension":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "a", true},
		"trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, c.head, c.more)
			p := newUpstreamProxy(t, s.ln.Addr().String())
			daemon := httptest.NewServer(p.PeerHandler())
			defer daemon.Close()
			req, err := http.NewRequest(http.MethodGet, daemon.URL+"/", nil)
			assert.NilError(t, err)
			header.SetCall(req.Header, header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: timeout.Milliseconds()})
			status, err := readResponse(req)
			<-s.closed
			if c.streamed {
				assert.Assert(t, err != nil, "the response must not look complete")
			} else {
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Assert(t, s.written.Load() <= maxHeadBytes, "%d bytes taken in", s.written.Load())
			}
			assert.Equal(t, p.admission.load().Running, 0)
		})
	}
	t.Run("after a complete response", func(t *testing.T) {
		s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		p := newUpstreamProxy(t, s.ln.Addr().String())
		daemon := httptest.NewServer(p.PeerHandler())
		defer daemon.Close()
		req, err := http.NewRequest(http.MethodGet, daemon.URL+"/", nil)
		assert.NilError(t, err)
		header.SetCall(req.Header, header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: timeout.Milliseconds()})
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		<-s.closed
		assert.Assert(t, s.written.Load() <= maxHeadBytes, "%d bytes taken in", s.written.Load())
	})
}
