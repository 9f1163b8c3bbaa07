package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"chicorymast/core/fault"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// statusLines are the status lines of responses that are none, or that end no call.
var statusLines = map[string]string{
	"zero":                     "HTTP/1.1 000 X",
	"one":                      "HTTP/1.1 001 X",
	"two digits with a zero":   "HTTP/1.1 099 X",
	"two digits with a sign":   "HTTP/1.1 +20 X",
	"negative":                 "HTTP/1.1 -10 X",
	"inner space":              "HTTP/1.1 2 0 X",
	"four digits":              "HTTP/1.1 2000 X",
	"switch of protocols":      "HTTP/1.1 101 Switching Protocols",
	"above the defined range":  "HTTP/1.1 600 X",
	"far above it":             "HTTP/1.1 999 X",
	"no number":                "HTTP/1.1 abc X",
	"content though it is 205": "HTTP/1.1 205 Reset Content",
}

// A server in trouble may send a status that is none. net/http panics when such a status is
// passed on, after the request has run, and callers can't interpret others.
func TestInvalidStatusIsAFailure(t *testing.T) {
	for name, line := range statusLines {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(conn, _ int, id string) string {
				if conn > 1 {
					return success(id)
				}
				return fmt.Sprintf("%s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", line, testActionHeader, id)
			})
			p := newEchoingPeer(t, s)
			status, _, notRun := p.send("POST", "a", header.Call{})
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Assert(t, !notRun, "the request has run")
			status, body, _ := p.send("POST", "b", header.Call{})
			assert.Equal(t, status, http.StatusOK, "the next call must use another connection")
			assert.Equal(t, body, "ok")
		})
	}
}

// Content after a status without content would be taken for the next response.
func TestContentAfterABodilessStatusEndsItsConnection(t *testing.T) {
	for name, framing := range map[string]string{
		"with a length": "Content-Length: 2\r\n\r\nok", "chunked": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(_, n int, id string) string {
				if n > 1 {
					return success(id)
				}
				return fmt.Sprintf("HTTP/1.1 204 No Content\r\n%s: %s\r\n%s", testActionHeader, id, framing)
			})
			p := newEchoingPeer(t, s)
			status, body, _ := p.call("POST", "a")
			assert.Equal(t, status, http.StatusNoContent)
			assert.Equal(t, body, "")
			p.call("POST", "b")
			assert.DeepEqual(t, s.runs, []string{"a on connection 1", "b on connection 2"})
		})
	}
}

// A daemon of an earlier release passes on what its upstream sent.
func TestInvalidStatusOfADaemonIsAFailure(t *testing.T) {
	result := http.Header{}
	header.SetResult(result, header.Result{})
	for _, code := range []string{"000", "099", "101", "600", "999"} {
		t.Run(code, func(t *testing.T) {
			head := "HTTP/1.1 " + code + " X\r\nContent-Length: 2\r\n"
			for name := range result {
				head += name + ": " + result.Get(name) + "\r\n"
			}
			c := newPeerCaller(t, newScriptedServer(t, func(int, int, string) string { return head + "\r\nok" }))
			a := c.send()
			assert.Assert(t, a.response == nil, "the status reached the caller")
			assert.Assert(t, a.refusal != nil && !a.refusal.NotRun)
			assert.Equal(t, HTTPStatus(a.refusal), http.StatusBadGateway)
			assert.Equal(t, string(vmOutcome(a.refusal)), "failed", "it must count against the VM")
		})
	}
}

// FuzzUpstreamResponse checks that whatever an upstream sends, the handler ends with a
// response of a valid status, or breaks off one that had begun.
func FuzzUpstreamResponse(f *testing.F) {
	for _, line := range statusLines {
		f.Add(line + "\r\nContent-Length: 2\r\n\r\nok")
	}
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n")
	f.Add("\x00\x01")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		s := newScriptedServer(t, func(int, int, string) string { return text })
		s.closing = true
		p := newUpstreamProxy(t, s.ln.Addr().String())
		var panicked atomic.Bool
		status := serveOnce(t, p, &panicked)
		assert.Assert(t, !panicked.Load(), "the handler panicked")
		assert.Assert(t, status == 0 || (status >= 200 && status <= 599), "status %d", status)
	})
}

// serveOnce sends one call to the peer handler of p and returns the status of the response,
// zero if there was none. Breaking a response off on purpose is no panic.
func serveOnce(t *testing.T, p *Proxy, panicked *atomic.Bool) (status int) {
	t.Helper()
	w := &recordedResponse{header: http.Header{}}
	req, err := http.NewRequest(http.MethodPost, "http://shop/", strings.NewReader(""))
	assert.NilError(t, err)
	header.SetCall(req.Header, header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 500})
	func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // a value, not an error chain
				panicked.Store(true)
			}
		}()
		p.servePeer(w, req)
	}()
	return w.status
}

// recordedResponse is a response writer that refuses statuses as that of net/http does.
type recordedResponse struct {
	header http.Header
	status int
}

func (w *recordedResponse) Header() http.Header { return w.header }

func (w *recordedResponse) Write(data []byte) (int, error) { return io.Discard.Write(data) }

func (w *recordedResponse) WriteHeader(code int) {
	if code < 100 || code > 999 {
		panic(fmt.Sprintf("invalid WriteHeader code %v", code))
	}
	if code >= 200 && w.status == 0 {
		w.status = code
	}
}

// Reasons of refusals must have a status that callers know.
func TestInvalidAnswerHasAStatus(t *testing.T) {
	assert.Equal(t, HTTPStatus(fault.Failed(fault.ReasonAnswerInvalid, "x")), http.StatusBadGateway)
}
