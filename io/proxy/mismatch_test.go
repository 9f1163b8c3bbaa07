package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

const (
	testActionHeader = "X-Action"
	testNotRunHeader = "X-Not-Run"
)

// scriptedServer answers each request with the text that answer returns for the number of
// the connection and of the request on it.
type scriptedServer struct {
	ln     net.Listener
	answer func(conn, n int, id string) string
	// closing ends each connection after its first answer.
	closing bool

	mu   sync.Mutex
	runs []string
}

func newScriptedServer(t *testing.T, answer func(conn, n int, id string) string) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &scriptedServer{ln: ln, answer: answer}
	go func() {
		for conn := 1; ; conn++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, conn)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, conn int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(testActionHeader)
		text := s.answer(conn, n, id)
		s.mu.Lock()
		s.runs = append(s.runs, fmt.Sprintf("%s on connection %d", id, conn))
		s.mu.Unlock()
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil || s.closing {
			return
		}
	}
}

// refusal is the answer of a server that has not run a request.
func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testActionHeader, id, testNotRunHeader)
}

// success is the answer of a server that has run a request.
func success(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", testActionHeader, id)
}

// echoingPeer is a daemon beside an upstream that echoes the ids of requests.
type echoingPeer struct {
	t   *testing.T
	url string
}

func newEchoingPeer(t *testing.T, s *scriptedServer) *echoingPeer {
	t.Helper()
	p := newUpstreamProxy(t, s.ln.Addr().String())
	p.opt.Dialect = header.Dialect{
		Action: testActionHeader, ActionEchoed: true, Timeout: "X-Timeout", TimeoutUnit: time.Millisecond, NotRun: testNotRunHeader,
	}
	srv := httptest.NewServer(p.PeerHandler())
	t.Cleanup(srv.Close)
	return &echoingPeer{t: t, url: srv.URL}
}

// call returns the status, the body and whether the daemon says that the request has not
// run.
func (p *echoingPeer) call(method, id string) (status int, body string, notRun bool) {
	p.t.Helper()
	return p.send(method, id, header.Call{Idempotent: method != http.MethodPost})
}

func (p *echoingPeer) send(method, id string, call header.Call) (status int, body string, notRun bool) {
	p.t.Helper()
	req, err := http.NewRequest(method, p.url+"/", nil)
	assert.NilError(p.t, err)
	if id != "" {
		req.Header.Set(testActionHeader, id)
	}
	call.Service, call.Route, call.AdmittedShare, call.TimeoutMs = "shop", "shop", 1, 5000
	header.SetCall(req.Header, call)
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	result, ok := header.GetResult(resp.Header)
	assert.Assert(p.t, ok)
	return resp.StatusCode, string(data), result.NotRun
}

// An upstream writes an earlier refusal once more on a kept connection while it runs the
// next request. The caller must not be told that this one has not run.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	t.Run("to the same request, sent again", func(t *testing.T) {
		s := newScriptedServer(t, func(conn, _ int, id string) string {
			if conn == 1 {
				return refusal(id) // the second one while the request runs
			}
			return success(id)
		})
		p := newEchoingPeer(t, s)
		_, _, notRun := p.call("POST", "a")
		assert.Assert(t, notRun)
		status, body, notRun := p.call("POST", "a")
		assert.Assert(t, !notRun, "a request that runs is said not to have run")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "ok")
	})
	t.Run("to requests without an id", func(t *testing.T) {
		s := newScriptedServer(t, func(conn, n int, _ string) string {
			if n == 1 && conn == 1 {
				return "HTTP/1.1 400 Bad Request\r\n" + testNotRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
			}
			return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
		})
		p := newEchoingPeer(t, s)
		p.call("POST", "")
		p.call("POST", "")
		assert.DeepEqual(t, s.runs, []string{" on connection 1", " on connection 2"})
	})
	t.Run("to another request", func(t *testing.T) {
		s := newScriptedServer(t, func(conn, n int, id string) string {
			switch {
			case conn == 1 && n == 1:
				return refusal(id)
			case conn == 1 && n == 2:
				return refusal("a")
			case conn == 1:
				return success("b") // late, in place of the answer to the third request
			}
			return success(id)
		})
		p := newEchoingPeer(t, s)
		p.call("POST", "a")
		status, _, notRun := p.call("POST", "b")
		assert.Assert(t, !notRun, "a request that runs is said not to have run")
		assert.Equal(t, status, http.StatusBadGateway)
		status, body, _ := p.call("POST", "c")
		assert.Equal(t, status, http.StatusOK, "the connection that is out of step was used again")
		assert.Equal(t, body, "ok")
	})
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE"} {
		t.Run("to the same "+method+", after a success", func(t *testing.T) {
			s := newScriptedServer(t, func(_, _ int, id string) string {
				if method == "HEAD" {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n", testActionHeader, id)
				}
				return success(id)
			})
			p := newEchoingPeer(t, s)
			p.call(method, "a")
			p.call(method, "b")
			p.call(method, "a")
			assert.DeepEqual(t, s.runs, []string{"a on connection 1", "b on connection 1", "a on connection 2"})
		})
	}
}

// A connection on which an answer belonged to another request is out of step for good.
func TestAnswerToAnotherRequestEndsItsConnection(t *testing.T) {
	s := newScriptedServer(t, func(conn, _ int, id string) string {
		if conn == 1 {
			return success("other")
		}
		return success(id)
	})
	p := newEchoingPeer(t, s)
	status, _, _ := p.call("GET", "a")
	assert.Equal(t, status, http.StatusBadGateway)
	status, _, _ = p.call("GET", "b")
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, s.runs, []string{"a on connection 1", "b on connection 2"})
}

// A status that promises callers that nothing has run must not reach them from an upstream
// that does not say so, for a request that may run once at most.
func TestUnprovedRefusalIsAFailure(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			s := newScriptedServer(t, func(_, _ int, id string) string {
				return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", code, testActionHeader, id)
			})
			p := newEchoingPeer(t, s)
			status, _, notRun := p.send("POST", "a", header.Call{})
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Assert(t, !notRun)
			status, _, _ = p.send("POST", "b", header.Call{Idempotent: true})
			assert.Equal(t, status, code, "a request that may be repeated gets the upstream's own status")
		})
	}
	t.Run("proved", func(t *testing.T) {
		p := newEchoingPeer(t, newScriptedServer(t, func(_, _ int, id string) string { return refusal(id) }))
		status, _, notRun := p.send("POST", "a", header.Call{})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, notRun)
	})
}
