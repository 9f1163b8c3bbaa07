package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/platform"

	"gotest.tools/v3/assert"
)

// withRoutes adds n routes to a document of the mesh.
func withRoutes(text []byte, n int, timeout string) []byte {
	var extra bytes.Buffer
	for i := range n {
		fmt.Fprintf(&extra, `{"host":"many%d.example","rules":[{"name":"many-%d","type":"idempotent","target_latency":"1s","priority":1,
			"public":true,"match":{"path_prefix":"/many/%d/"},"action":{"service":"rate","timeout":"%s","max_attempts":2}}]},`, i, i, i, timeout)
	}
	return bytes.Replace(text, []byte(`"listeners":[`), append([]byte(`"listeners":[`), extra.Bytes()...), 1)
}

// putAndWait sends a document and waits until the daemon on a VM has applied it. It
// returns the bytes that this daemon has received from its relays meanwhile.
func (m *mesh) putAndWait(t *testing.T, vm string, text []byte) (received int64) {
	t.Helper()
	d := m.daemons[vm].run.daemon
	before, revision := d.pool.Received.Load(), d.board.Config.Read().State.Revision
	assert.Equal(t, m.put("core-2", text), http.StatusOK)
	eventually(t, func() string {
		if d.board.Config.Read().State.Revision == revision {
			return "the document has not been applied yet"
		}
		return ""
	})
	return d.pool.Received.Load() - before
}

// testDelta compares the bytes that a daemon receives for a document with 500 routes
// with those for one changed key in it, which must be less than a tenth.
func (m *mesh) testDelta(t *testing.T) {
	const routes = 500
	first := withRoutes(document(20, 7, `"key-mlyn"`), routes, "3s")
	fullBytes := m.putAndWait(t, "rate-1", first)
	assert.Assert(t, fullBytes > 100*routes, "%d bytes for %d routes", fullBytes, routes)
	deltaBytes := m.putAndWait(t, "rate-1", withRoutes(document(21, 20, `"key-mlyn","key-new"`), routes, "3s"))
	assert.Assert(t, deltaBytes < fullBytes/10, "%d bytes for one key, %d for the document", deltaBytes, fullBytes)
	m.putAndWait(t, "rate-1", document(22, 21, `"key-mlyn"`))
}

// testCancel cancels a call while the last of three chained servers runs it: that
// server must stop. The timeouts of routes and caller are longer than the test waits,
// so that only the cancellation can end the run.
func (m *mesh) testCancel(t *testing.T) {
	longTimeouts := bytes.ReplaceAll(document(30, 22, `"key-mlyn"`), []byte(`"timeout":"3s"`), []byte(`"timeout":"300s"`))
	for _, vm := range []string{"shop-1", "shop-2", "stock-1", "stock-2"} {
		d := m.daemons[vm].run.daemon
		if vm == "shop-1" {
			m.putAndWait(t, vm, longTimeouts)
		}
		eventually(t, func() string {
			if d.board.Config.Read().State.Intent.Routes[ident.Route("r-rate")].Timeout < time.Minute {
				return vm + " still has the former timeouts"
			}
			return ""
		})
	}
	server := m.daemons["rate-1"].server
	server.Hold(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.longCall(ctx) }()
	eventually(t, func() string {
		if server.HeldRuns() != 1 {
			return fmt.Sprintf("%d runs", server.HeldRuns())
		}
		return ""
	})
	server.Hold(false)
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	eventually(t, func() string {
		if server.HeldRuns() != 0 {
			return "the last server still runs a cancelled call"
		}
		return ""
	})
}

// longCall makes a call with a timeout of 200 s.
func (m *mesh) longCall(ctx context.Context) error {
	d := platform.Dialect()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.daemons["shop-1"].addr(portOutbound)+"/shop/1", strings.NewReader(""))
	if err != nil {
		return err
	}
	req.Host = "shop.example"
	req.Header.Set(d.Action, "attempt-long")
	req.Header.Set(d.Timeout, "200000")
	req.Header.Set("Authorization", d.KeyScheme+" key-mlyn")
	resp, err := m.noTimeout.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func compactJSON(t *testing.T, text []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, json.Compact(&out, text))
	return out.Bytes()
}
