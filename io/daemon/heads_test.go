package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chicorymast/core/heads"
	"chicorymast/io/limit"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func newGuard(budget heads.Bytes) *limit.Guard {
	return limit.New(limit.Options{
		Budget: func() heads.Bytes { return budget }, Clock: timer.NewClock(), Report: func(uint64, heads.Bytes) {},
	})
}

func refuseHead(w http.ResponseWriter) {
	w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
}

// countHeads counts the heads of a connection, as a daemon does.
func countHeads(c net.Conn) net.Conn {
	const budget = 16 << 20
	return newGuard(budget).Accepted(c, refuseHead)
}

// Guards against callers that fill the memory with requests behind those that run.
func TestReadAheadIsBounded(t *testing.T) {
	const budget, callers, slack = 256 << 10, 10, 40 << 10
	guard := newGuard(budget)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release := make(chan struct{})
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	accepted := func(c net.Conn) net.Conn { return guard.Accepted(c, refuseHead) }
	s := newCallerServer(ln, h, connLimits{headerBytes: 64 << 10, headerTimeout: time.Minute, idleTimeout: time.Minute}, accepted)
	go func() { _ = s.Serve() }() // ends with the listener
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, conn)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+"Long: "+strings.Repeat("x", 50<<10)+"\r\n\r\n")
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		held, _ := guard.Held()
		assert.Assert(t, held <= budget, "%d bytes held", held)
		if held < budget/2-slack {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
	close(release)
	for _, c := range conns {
		assert.NilError(t, c.Close())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held, _ := guard.Held(); held != 0 {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}
