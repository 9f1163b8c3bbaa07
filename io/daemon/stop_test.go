package daemon

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"chicorymast/platform"

	"gotest.tools/v3/assert"
)

// mustRefuseLate sends a request on an open connection once a stopping daemon accepts no
// others. Guards against requests that are passed on late in a stop and then cut.
func (m *mesh) mustRefuseLate(t *testing.T, vm *meshVM, conn net.Conn) {
	t.Helper()
	eventually(t, func() string {
		c, err := net.Dial("tcp", vm.addr(portOutbound))
		if err != nil {
			return ""
		}
		_ = c.Close()
		return "the listener is still open"
	})
	const id = "attempt-late"
	d := platform.Dialect()
	req, err := http.NewRequest(http.MethodPost, "http://"+vm.addr(portOutbound)+"/order/1", strings.NewReader("late"))
	assert.NilError(t, err)
	req.Host = "order.example"
	req.Header.Set(d.Action, id)
	req.Header.Set(d.Timeout, "5000")
	req.Header.Set("Authorization", d.KeyScheme+" key-mlyn")
	assert.NilError(t, req.Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close, "the caller has to open another connection")
	assert.Equal(t, m.runs(id), 0)
}
