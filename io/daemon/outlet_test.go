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

	"chicorymast/config"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

func TestLimitsOfTheConfigurationGoFirst(t *testing.T) {
	calls := config.Default().Calls
	assert.Equal(t, limitsOf(intent.Limits{}, calls), connLimits{calls.HeaderLimit, calls.HeaderTimeout, defaultIdle})
	set := intent.Limits{HeaderLimit: 4096, HeaderTimeout: time.Second, IdleTimeout: 7 * time.Second}
	assert.Equal(t, limitsOf(set, calls), connLimits{4096, time.Second, 7 * time.Second})
}

// request1 sends one request on an open connection.
func request1(t *testing.T, conn net.Conn, headerBytes int) (status int, closes bool) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("x", headerBytes))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Close
}

// Limits change while the listener is open: for new connections at once, and
// nothing that runs is cut.
func TestLimitsChangeOnAnOpenListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	running, goOn := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-goOn
		}
	})
	s := newCallerServer(ln, h, connLimits{headerBytes: 64 << 10, headerTimeout: time.Second, idleTimeout: time.Minute})
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	const big = 20 << 10
	status, _ := request1(t, dial(), big)
	assert.Equal(t, status, http.StatusOK)

	slow := dial()
	_, err = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-running
	s.Apply(connLimits{headerBytes: 4 << 10, headerTimeout: time.Second, idleTimeout: time.Minute})
	status, _ = request1(t, dial(), big)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	close(goOn)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "a request that ran while the limits changed")

	s.CloseAfterAnswers()
	status, closes := request1(t, dial(), 1)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, closes)
	assert.NilError(t, s.Shutdown(context.Background()))
	assert.ErrorIs(t, <-done, net.ErrClosed)
}
