package limit

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/heads"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// budget holds the largest head of these tests once.
const budget = 400_000

type harness struct {
	t       *testing.T
	guard   *Guard
	address string

	mu       sync.Mutex
	requests []string
	reported uint64
}

// serve starts a server that counts heads. It answers with the path and the trailers of each
// request, at once, or when release is closed if the path is /hold. The body of /early is left
// unread.
func serve(t *testing.T, release chan struct{}) *harness {
	h := &harness{t: t}
	h.guard = New(Options{
		Budget: func() heads.Bytes { return budget }, Clock: timer.NewClock(),
		Report: func(n uint64, _ heads.Bytes) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.reported += n
		},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.address = ln.Addr().String()
	srv := &http.Server{ConnContext: ConnContext, MaxHeaderBytes: 1 << 20, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.requests = append(h.requests, r.URL.Path)
			_, _ = fmt.Fprint(w, r.URL.Path)
			return
		}
		body, _ := io.ReadAll(r.Body) // compared by the test
		h.mu.Lock()
		h.requests = append(h.requests, r.URL.Path)
		h.mu.Unlock()
		if r.URL.Path == "/hold" {
			<-release
		}
		_, _ = fmt.Fprint(w, r.URL.Path, string(body), len(r.Trailer))
	}))}
	go func() { _ = srv.Serve(h.guard.Listen(ln, refuse)) }() // ends with the server
	t.Cleanup(func() { _ = srv.Close() })
	return h
}

func refuse(w http.ResponseWriter) {
	w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	_, _ = io.WriteString(w, "refused")
}

func (h *harness) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", h.address)
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func assertResponse(t testing.TB, r *bufio.Reader, status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
	assert.Equal(t, string(data), body)
}

func (h *harness) await(what string, done func(held heads.Bytes, refused uint64) bool) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if held, refused := h.guard.Held(); !done(held, refused) {
			return poll.Continue("%s: %d bytes held, %d refused", what, held, refused)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// part returns the begin of a request with a number of lines, without its end.
func part(path string, lines int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines)
}

// Guards against a refusal that does not come while the caller sends nothing, one that hits
// a small head, and heads that stay counted when their connections have ended.
func TestLargestHeadIsRefusedWhileItIsAwaited(t *testing.T) {
	h := serve(t, nil)
	small, smallReader := h.dial()
	send(t, small, part("/small", 1))
	large, largeReader := h.dial()
	send(t, large, part("/large", 600))
	h.await("the large head is counted", func(held heads.Bytes, _ uint64) bool { return held > 600*heads.LineCost })
	other, otherReader := h.dial()
	send(t, other, part("/other", 500))
	assertResponse(t, largeReader, http.StatusRequestHeaderFieldsTooLarge, "refused")
	send(t, small, "\r\n")
	assertResponse(t, smallReader, http.StatusOK, "/small0")
	send(t, other, "\r\n")
	assertResponse(t, otherReader, http.StatusOK, "/other0")
	for _, c := range []net.Conn{small, large, other} {
		assert.NilError(t, c.Close())
	}
	h.await("all is released", func(held heads.Bytes, refused uint64) bool { return held == 0 && refused == 1 })
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, h.reported, uint64(1))
	assert.DeepEqual(t, h.requests, []string{"/small", "/other"})
}

// Guards against a refusal of a request that has begun to run.
func TestRunningRequestIsNotRefused(t *testing.T) {
	release := make(chan struct{})
	h := serve(t, release)
	running, runningReader := h.dial()
	send(t, running, part("/hold", 700)+"\r\n")
	h.await("the head is counted", func(held heads.Bytes, _ uint64) bool { return held > 700*heads.LineCost })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.requests) == 0 {
			return poll.Continue("the request does not run yet")
		}
		return poll.Success()
	})
	late, lateReader := h.dial()
	send(t, late, part("/late", 100))
	assertResponse(t, lateReader, http.StatusRequestHeaderFieldsTooLarge, "refused")
	small, smallReader := h.dial()
	send(t, small, part("/small", 1)+"\r\n")
	assertResponse(t, smallReader, http.StatusOK, "/small0")
	close(release)
	assertResponse(t, runningReader, http.StatusOK, "/hold0")
	h.await("only idle connections are left", func(held heads.Bytes, _ uint64) bool { return held == 0 })
}

// Guards against connections that lose bytes, or count those of a body, when messages come
// one behind the other and in pieces.
func TestMessagesOneBehindTheOther(t *testing.T) {
	const chunked = "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\na\nb\r\n0\r\nt:1\r\n\r\n"
	const fixed = "\r\nPOST /fixed HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\n\n\r\n"
	text := part("/1", 3) + "\r\n" + chunked + fixed + part("/2", 0) + "\r\n"
	for _, size := range []int{1, 7, 50, len(text)} {
		h := serve(t, nil)
		conn, r := h.dial()
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			send(t, conn, rest[:n])
			rest = rest[n:]
		}
		for _, want := range []string{"/10", "/chunkeda\nb1", "/fixed\n\n\r\n0", "/20"} {
			assertResponse(t, r, http.StatusOK, want)
		}
		h.await("all is released", func(held heads.Bytes, refused uint64) bool { return held == 0 && refused == 0 })
	}
}

// Guards against a refusal, which says that the request has not run, in place of the response
// to one that was handled before its trailers arrived.
func TestTrailersBehindAResponseAreNotAnswered(t *testing.T) {
	h := serve(t, nil)
	small, _ := h.dial()
	send(t, small, part("/small", 1))
	conn, r := h.dial()
	send(t, conn, "POST /early HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n")
	h.await("the request was handled", func(held heads.Bytes, _ uint64) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.requests) == 1 && held < 4*heads.LineCost
	})
	send(t, conn, "x\r\n0\r\n"+strings.Repeat("a:\r\n", 1000)+"\r\n")
	assertResponse(t, r, http.StatusOK, "/early")
	h.await("the trailers are refused", func(_ heads.Bytes, refused uint64) bool { return refused == 1 })
}

// Guards against bodies that are kept without room, and against room that is not given back.
func TestBodiesTakeRoom(t *testing.T) {
	const body = 160_000
	h := serve(t, nil)
	var kept, short atomic.Int64
	release := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(Reader(r.Context(), r.Body))
		if errors.Is(err, ErrNoRoom) {
			short.Add(1)
			return
		}
		kept.Add(int64(len(data)))
		<-release
	}))}
	go func() { _ = srv.Serve(h.guard.Listen(ln, refuse)) }() // ends with the server
	t.Cleanup(func() { _ = srv.Close() })
	h.address = ln.Addr().String()
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", body)
	first, firstReader := h.dial()
	send(t, first, post+strings.Repeat("x", body))
	h.await("the body is kept", func(held heads.Bytes, _ uint64) bool { return held > growth*body && kept.Load() == body })
	second, secondReader := h.dial()
	_, _ = io.WriteString(second, post+strings.Repeat("x", body)) // the server may close the connection before the end
	resp, err := http.ReadResponse(secondReader, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, short.Load(), int64(1))
	assert.Equal(t, h.guard.Short(), uint64(1))
	close(release)
	assertResponse(t, firstReader, http.StatusOK, "")
	h.await("all is released", func(held heads.Bytes, _ uint64) bool { return held == 0 })
}

// Guards against a listener with TLS whose handshakes fail or whose heads are not counted, since
// net/http does not see the TLS connection.
func TestHeadsBehindTLS(t *testing.T) {
	h := serve(t, nil)
	issuer := httptest.NewTLSServer(http.NotFoundHandler()) // for its certificate
	t.Cleanup(issuer.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	}))}
	secured := tls.NewListener(ln, &tls.Config{Certificates: issuer.TLS.Certificates})
	go func() { _ = srv.Serve(h.guard.Listen(secured, refuse)) }() // ends with the server
	t.Cleanup(func() { _ = srv.Close() })
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := tls.Dial("tcp", ln.Addr().String(), issuer.Client().Transport.(*http.Transport).TLSClientConfig)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	conn, r := dial()
	for range 2 {
		send(t, conn, part("/", 3)+"\r\n")
		assertResponse(t, r, http.StatusOK, "served")
	}
	large, largeReader := dial()
	send(t, large, part("/", 600))
	h.await("the head is counted", func(held heads.Bytes, _ uint64) bool { return held > 600*heads.LineCost })
	send(t, conn, part("/", 500))
	assertResponse(t, largeReader, http.StatusRequestHeaderFieldsTooLarge, "refused")
	send(t, conn, "\r\n")
	assertResponse(t, r, http.StatusOK, "served")
}

// transport returns a transport whose responses are counted, and the context of a request.
func transport(t *testing.T, g *Guard) (*http.Transport, context.Context) {
	tr := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return g.Dialled(conn), nil
	}}
	t.Cleanup(tr.CloseIdleConnections)
	ctx := t.Context()
	return tr, httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { Expect(ctx, i.Conn) }})
}

// scripted returns the address of a server that answers each request with a text.
func scripted(t *testing.T, text string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, text) // the client may have left
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against responses that are not counted, are refused without need, or stay counted.
func TestResponsesAreCounted(t *testing.T) {
	many := strings.Repeat("a:\r\n", 500)
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+many+"\r\n", 4)
	h := serve(t, nil)
	tr, ctx := transport(t, h.guard)
	address := scripted(t, interim+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+many+"\r\n\n\n\n\n")
	for range 3 {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		assert.NilError(t, err)
		resp, err := tr.RoundTrip(req)
		assert.NilError(t, err)
		held, refused := h.guard.Held()
		assert.Assert(t, held > 500*heads.LineCost && held < 510*heads.LineCost, "%d", held)
		assert.Equal(t, refused, uint64(0))
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	tr.CloseIdleConnections()
	h.await("all is released", func(held heads.Bytes, _ uint64) bool { return held == 0 })
}

// Guards against a response that is refused as if the request had not been sent.
func TestRefusedResponseIsAnErrorOfItsOwn(t *testing.T) {
	h := serve(t, nil)
	held, _ := h.dial()
	send(t, held, part("/held", 600))
	h.await("the head is counted", func(held heads.Bytes, _ uint64) bool { return held > 600*heads.LineCost })
	tr, ctx := transport(t, h.guard)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+scripted(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 900)), nil)
	assert.NilError(t, err)
	_, err = tr.RoundTrip(req)
	assert.Assert(t, errors.Is(err, ErrRefused), "%v", err)
}
