package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// startEarlyResponder starts a server that responds without reading the body.
func startEarlyResponder(t *testing.T) (address string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer trackBody(r).flushAndDiscard(w)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// A caller that sends all of its body before it reads must get the response and
// not a TCP reset. The body is larger than the socket buffers of both sides.
func TestEarlyResponseReachesCaller(t *testing.T) {
	const size = 14 << 20
	conn, err := net.Dial("tcp", startEarlyResponder(t))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	assert.NilError(t, err)
	_, err = io.Copy(conn, io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.NilError(t, resp.Body.Close())
}

// The server must not wait for the body of a caller that waits for 100 Continue.
func TestNoWaitForBodyAfterExpect(t *testing.T) {
	conn, err := net.Dial("tcp", startEarlyResponder(t))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n")
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.NilError(t, resp.Body.Close())
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
