package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/poison"
	"chicorymast/core/route"
	"chicorymast/core/state"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// An upstream may stop anywhere in the head of its answer and close. No part of it may
// reach the caller as a whole answer.
func TestAnswerCutShortIsNeverWhole(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nX-Action: %s\r\nTransfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct {
		method, answer string
		// body is that of the whole answer.
		body string
	}{
		"with a length":          {"GET", "HTTP/1.1 200 OK\r\nX-Action: %s\r\nContent-Length: 12\r\n\r\nhello, world", "hello, world"},
		"length first":           {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Action: %s\r\n\r\nhello, world", "hello, world"},
		"no body":                {"POST", "HTTP/1.1 200 OK\r\nX-Action: %s\r\nContent-Length: 0\r\nX-More: x\r\n\r\n", ""},
		"chunked":                {"GET", chunked + "\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", "hello, world"},
		"chunked with a trailer": {"GET", chunked + "Trailer: X-End\r\n\r\n5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n", "hello"},
		"after interim answers":  {"GET", interim + interim + "HTTP/1.1 200 OK\r\nX-Action: %s\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"to HEAD":                {"HEAD", "HTTP/1.1 200 OK\r\nX-Action: %s\r\nContent-Length: 12\r\nX-More: x\r\n\r\n", ""},
		"204":                    {"DELETE", "HTTP/1.1 204 No Content\r\nX-Action: %s\r\nX-More: x\r\n\r\n", ""},
		"closing":                {"GET", "HTTP/1.1 200 OK\r\nX-Action: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"without a length":       {"GET", "HTTP/1.1 200 OK\r\nX-Action: %s\r\nConnection: close\r\n\r\nok", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var keep atomic.Int64
			s := newScriptedServer(t, func(_, n int, id string) string {
				if n > 1 {
					return ""
				}
				return fmt.Sprintf(c.answer, id)[:keep.Load()]
			})
			s.closing = true
			p := newEchoingPeer(t, s)
			whole := len(fmt.Sprintf(c.answer, id(0)))
			for n := range whole {
				keep.Store(int64(n))
				status, body, err := p.receive(c.method, id(n))
				assert.Assert(t, err != nil || status >= 300, "%d of %d bytes: status %d, body %q", n, whole, status, body)
			}
			if name == "without a length" {
				return // its end can't be told from a cut
			}
			keep.Store(int64(whole))
			status, body, err := p.receive(c.method, id(whole))
			assert.NilError(t, err)
			assert.Assert(t, status < 300, "status %d", status)
			assert.Equal(t, body, c.body)
		})
	}
}

// id returns the id of a request; all have the same length.
func id(n int) string { return fmt.Sprintf("a%04d", n) }

// receive returns what a caller can tell of an answer.
func (p *echoingPeer) receive(method, id string) (status int, body string, err error) {
	req, err := http.NewRequest(method, p.url+"/", strings.NewReader(""))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(testActionHeader, id)
	header.SetCall(req.Header, header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 5000, Idempotent: true})
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// The same on the hop between daemons: the daemon beside the upstream may end there.
func TestPeerAnswerCutShortIsNeverWhole(t *testing.T) {
	result := http.Header{}
	header.SetResult(result, header.Result{})
	head := "HTTP/1.1 200 OK\r\n"
	for name := range result {
		head += name + ": " + result.Get(name) + "\r\n"
	}
	for name, answer := range map[string]string{
		"with a length":         head + "Content-Length: 12\r\n\r\nhello, world",
		"chunked":               head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"after signs of life":   "HTTP/1.1 102 Processing\r\n\r\n" + head + "Content-Length: 12\r\n\r\nhello, world",
		"chunked, with trailer": head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\nc\r\nhello, world\r\n0\r\nX-End: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var keep atomic.Int64
			s := newScriptedServer(t, func(int, int, string) string { return answer[:keep.Load()] })
			s.closing = true
			c := newPeerCaller(t, s)
			for n := range len(answer) + 1 {
				keep.Store(int64(n))
				body, whole := wholeBody(c.send())
				assert.Equal(t, whole, n == len(answer), "%d of %d bytes: body %q", n, len(answer), body)
			}
		})
	}
}

// peerCaller is a daemon that calls the daemon on one other VM.
type peerCaller struct {
	p  *Proxy
	vm route.Candidate
}

func newPeerCaller(t *testing.T, peer *scriptedServer) *peerCaller {
	t.Helper()
	const service = ident.Service("deep")
	p := newUpstreamProxy(t, "127.0.0.1:1")
	p.peerTransport.DialContext = (&net.Dialer{}).DialContext
	p.opt.Board.Config.Write(board.NewConfig(state.New(), nil))
	p.opt.Board.Members.Write(board.NewMembers([]member.Entry{{
		VM: "a", Addresses: member.Addresses{Peer: peer.ln.Addr().String()}, Phase: member.PhaseUp,
		Upstream: &member.Upstream{Service: service, Slots: 4, Phase: member.PhaseUp},
	}}))
	vm, _, ok := p.pick(header.Call{Service: service}, nil, "")
	assert.Assert(t, ok)
	return &peerCaller{p: p, vm: vm}
}

// send sends a call once; all calls have the same content.
func (c *peerCaller) send() attempt {
	return c.p.sendOnce(context.Background(), &outboundCall{
		call: header.Call{Service: "deep", Route: "r", TimeoutMs: 1000}, method: http.MethodGet, fingerprint: "content",
		url: &url.URL{Path: "/"}, header: http.Header{}, body: &payload{complete: true},
	}, c.vm, 0)
}

// A request whose own calls are under way crashes its upstream: these calls fail by that,
// and the crash must count all the same.
func TestCrashDuringANestedCallCounts(t *testing.T) {
	result := http.Header{}
	header.SetResult(result, header.Result{Reason: fault.ReasonUpstreamCrashed, NestedFailure: true})
	answer := "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"
	for name := range result {
		answer += name + ": " + result.Get(name) + "\r\n"
	}
	c := newPeerCaller(t, newScriptedServer(t, func(int, int, string) string { return answer + "\r\n" }))
	for range poison.CrashesToSuspect {
		assert.Assert(t, c.p.suspects.refuse(c.p.opt.Clock.Now(), "content") == nil)
		assert.Assert(t, c.send().refusal != nil)
	}
	assert.Assert(t, c.p.suspects.refuse(c.p.opt.Clock.Now(), "content") != nil, "the request goes on crashing upstreams")
}

// wholeBody returns the body of the response to an attempt, if it is complete.
func wholeBody(a attempt) (body string, whole bool) {
	if a.response == nil {
		return "", false
	}
	if a.response.stream == nil {
		return string(a.response.body), true
	}
	data, err := io.ReadAll(a.response.stream)
	a.response.finish(err)
	return string(data), err == nil
}
