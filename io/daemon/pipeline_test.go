package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pipeline is an open connection to a caller listener. Its handler tells of each request
// that it runs and responds when it is released.
type pipeline struct {
	net.Conn
	t        *testing.T
	reader   *bufio.Reader
	running  chan *http.Request
	released chan struct{}
}

func newPipeline(t *testing.T) *pipeline {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &pipeline{t: t, running: make(chan *http.Request, 10), released: make(chan struct{}, 10)}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.running <- r
		select {
		case <-p.released:
		case <-r.Context().Done():
			return
		}
		if strings.HasPrefix(r.URL.Path, "/last") {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, r.URL.Path)
	})
	s := newCallerServer(ln, h, connLimits{headerBytes: 64 << 10, headerTimeout: time.Minute, idleTimeout: time.Minute}, countHeads)
	go func() { _ = s.Serve() }() // ends with the listener
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // requests that still run are left behind
		_ = s.Shutdown(ctx)
	})
	p.Conn, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	p.reader = bufio.NewReader(p.Conn)
	return p
}

// send sends requests in one segment.
func (p *pipeline) send(requests ...string) {
	p.t.Helper()
	text := ""
	for _, r := range requests {
		method, path, _ := strings.Cut(r, " ")
		path, body, _ := strings.Cut(path, " ")
		text += fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	}
	_, err := io.WriteString(p, text)
	assert.NilError(p.t, err)
}

func (p *pipeline) mustReceive(path string) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.reader, nil)
	assert.NilError(p.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	assert.Equal(p.t, string(body), path)
}

// mustNotRun checks that no further request was passed on when the connection ended.
func (p *pipeline) mustNotRun() {
	p.t.Helper()
	_, err := p.reader.ReadByte()
	assert.Assert(p.t, err != nil, "the connection must be closed")
	select {
	case r := <-p.running:
		p.t.Fatalf("%s was passed on", r.URL.Path)
	default:
	}
}

func TestPipelinedRequests(t *testing.T) {
	t.Run("are answered in their order", func(t *testing.T) {
		p := newPipeline(t)
		p.send("GET /1", "POST /2 body-of-two", "GET /3", "GET /4")
		for range 4 {
			p.released <- struct{}{}
		}
		for _, path := range []string{"/1", "/2", "/3", "/4"} {
			p.mustReceive(path)
		}
	})
	t.Run("behind a body that the handler did not read are framed right", func(t *testing.T) {
		p := newPipeline(t)
		p.send("POST /1 GET /smuggled HTTP/1.1\r\n\r\n", "GET /2")
		p.released <- struct{}{}
		p.released <- struct{}{}
		p.mustReceive("/1")
		p.mustReceive("/2")
	})
	t.Run("behind an answer that closes the connection are not passed on", func(t *testing.T) {
		p := newPipeline(t)
		p.send("GET /last", "POST /2 x", "GET /3")
		p.released <- struct{}{}
		p.mustReceive("/last")
		<-p.running
		p.mustNotRun()
	})
	t.Run("before a malformed one are answered", func(t *testing.T) {
		p := newPipeline(t)
		p.send("GET /1")
		_, err := io.WriteString(p, "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n")
		assert.NilError(t, err)
		p.released <- struct{}{}
		p.mustReceive("/1")
		resp, err := http.ReadResponse(p.reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		<-p.running
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		p.mustNotRun()
	})
}

// A caller that leaves must be noticed, also if it has sent further requests, so that
// its call is not run to the end for nobody.
func TestPipeliningCallerThatLeaves(t *testing.T) {
	for name, together := range map[string]bool{"both requests together": true, "the second while the first runs": false} {
		t.Run(name, func(t *testing.T) {
			p := newPipeline(t)
			var first *http.Request
			if together {
				p.send("GET /1", "GET /2")
				first = <-p.running
			} else {
				p.send("GET /1")
				first = <-p.running
				p.send("GET /2")
			}
			assert.NilError(t, p.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if first.Context().Err() == nil {
					return poll.Continue("the first request goes on")
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
		})
	}
}

// What a caller sends ahead must not use unbounded memory, and none of it may be lost.
func TestPipelineLongerThanTheBuffer(t *testing.T) {
	p := newPipeline(t)
	const requests = 40
	body := strings.Repeat("x", maxReadAhead/8)
	go func() {
		for n := range requests {
			p.send(fmt.Sprintf("POST /%d %s", n, body))
		}
	}()
	for n := range requests {
		<-p.running
		p.released <- struct{}{}
		p.mustReceive(fmt.Sprintf("/%d", n))
	}
}

// FuzzPipeline sends arbitrary bytes in two parts to a caller listener; every response
// must be well formed.
func FuzzPipeline(f *testing.F) {
	f.Add("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 20)
	f.Add("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /2", 60)
	f.Add("GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 3)
	f.Fuzz(func(t *testing.T, text string, split int) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) })
		s := newCallerServer(ln, h, connLimits{headerBytes: 4 << 10, headerTimeout: time.Minute, idleTimeout: time.Minute}, countHeads)
		go func() { _ = s.Serve() }() // ends with the listener
		defer func() { _ = s.Shutdown(context.Background()) }()
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		split = max(0, min(split, len(text)))
		for _, part := range []string{text[:split], text[split:]} {
			if _, err := io.WriteString(conn, part); err != nil {
				return // the server has refused the first part
			}
		}
		_ = conn.(*net.TCPConn).CloseWrite() // fails if the server has closed the connection
		reader := bufio.NewReader(conn)
		for {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
		}
	})
}
