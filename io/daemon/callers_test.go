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

func TestConfigurationLimitsOverrideSettings(t *testing.T) {
	calls := config.Default().Calls
	assert.Equal(t, effectiveLimits(intent.Limits{}, calls), connLimits{calls.HeaderLimit, calls.HeaderTimeout, defaultIdleTimeout})
	limits := intent.Limits{HeaderLimit: 4096, HeaderTimeout: time.Second, IdleTimeout: 7 * time.Second}
	assert.Equal(t, effectiveLimits(limits, calls), connLimits{4096, time.Second, 7 * time.Second})
}

// sendRequest sends a request on an open connection; connClose reports whether the
// response has the header Connection: close.
func sendRequest(t *testing.T, conn net.Conn, headerBytes int) (status int, connClose bool) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("x", headerBytes))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Close
}

// New limits must apply at once to new connections of an open listener, and must not
// interrupt running requests.
func TestLimitsChangeOnAnOpenListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	running, release := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
	})
	s := newCallerServer(ln, h, connLimits{headerBytes: 64 << 10, headerTimeout: time.Second, idleTimeout: time.Minute}, countHeads)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	const big = 20 << 10
	status, _ := sendRequest(t, dial(), big)
	assert.Equal(t, status, http.StatusOK)

	slow := dial()
	_, err = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-running
	s.Apply(connLimits{headerBytes: 4 << 10, headerTimeout: time.Second, idleTimeout: time.Minute})
	status, _ = sendRequest(t, dial(), big)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "a request running during the change of limits must succeed")

	s.DisableKeepAlives()
	status, connClose := sendRequest(t, dial(), 1)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, connClose)
	assert.NilError(t, s.Shutdown(context.Background()))
	assert.ErrorIs(t, <-done, net.ErrClosed)
}
