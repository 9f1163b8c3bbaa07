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

// withRoutes adds routes to a document of the mesh.
func withRoutes(text []byte, n int, timeout string) []byte {
	var more bytes.Buffer
	for i := range n {
		fmt.Fprintf(&more, `{"host":"many%d.example","rules":[{"name":"many-%d","type":"idempotent","target_latency":"1s","priority":1,
			"public":true,"match":{"path_prefix":"/many/%d/"},"action":{"service":"rate","timeout":"%s","max_attempts":2}}]},`, i, i, i, timeout)
	}
	return bytes.Replace(text, []byte(`"listeners":[`), append([]byte(`"listeners":[`), more.Bytes()...), 1)
}

// confirmAt puts a document and waits until a daemon has it in force; it returns
// what that daemon has received from its relays meanwhile, in bytes.
func (m *mesh) confirmAt(t *testing.T, vm string, text []byte) (received int64) {
	t.Helper()
	d := m.daemons[vm].run.daemon
	before, revision := d.pool.Received.Load(), d.board.Config.Read().State.Revision
	assert.Equal(t, m.put("core-2", text), http.StatusOK)
	eventually(t, func() string {
		if d.board.Config.Read().State.Revision == revision {
			return "not in force yet"
		}
		return ""
	})
	return d.pool.Received.Load() - before
}

// testDelta compares what a daemon receives for 500 routes with what it receives
// for one changed key among them.
func (m *mesh) testDelta(t *testing.T) {
	const routes = 500
	first := withRoutes(document(20, 7, `"key-mlyn"`), routes, "3s")
	whole := m.confirmAt(t, "rate-1", first)
	assert.Assert(t, whole > 100*routes, "%d bytes for %d routes", whole, routes)
	changed := m.confirmAt(t, "rate-1", withRoutes(document(21, 20, `"key-mlyn","key-new"`), routes, "3s"))
	assert.Assert(t, changed < whole/10, "%d bytes for one key, %d for all", changed, whole)
	m.confirmAt(t, "rate-1", document(22, 21, `"key-mlyn"`))
}

// testGone lets a caller leave while the last of three servers in a row works for
// it. The routes' time and the caller's are longer than this test waits.
func (m *mesh) testGone(t *testing.T) {
	long := bytes.ReplaceAll(document(30, 22, `"key-mlyn"`), []byte(`"timeout":"3s"`), []byte(`"timeout":"300s"`))
	for _, vm := range []string{"shop-1", "shop-2", "stock-1", "stock-2"} {
		d := m.daemons[vm].run.daemon
		if vm == "shop-1" {
			m.confirmAt(t, vm, long)
		}
		eventually(t, func() string {
			if d.board.Config.Read().State.Intent.Routes[ident.Route("r-rate")].Timeout < time.Minute {
				return vm + " has the former times"
			}
			return ""
		})
	}
	last := m.daemons["rate-1"].server
	last.Hold(true)
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- m.longCall(ctx) }()
	eventually(t, func() string {
		if last.HeldRuns() != 1 {
			return fmt.Sprintf("%d runs", last.HeldRuns())
		}
		return ""
	})
	last.Hold(false)
	leave()
	assert.ErrorIs(t, <-ended, context.Canceled)
	eventually(t, func() string {
		if last.HeldRuns() != 0 {
			return "the last server still works for a caller that has left"
		}
		return ""
	})
}

// longCall makes a call that may last for minutes.
func (m *mesh) longCall(ctx context.Context) error {
	d := platform.Dialect()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.daemons["shop-1"].at(portOutbound)+"/shop/1", strings.NewReader(""))
	if err != nil {
		return err
	}
	req.Host = "shop.example"
	req.Header.Set(d.Action, "attempt-long")
	req.Header.Set(d.Timeout, "200000")
	req.Header.Set("Authorization", d.KeyScheme+" key-mlyn")
	resp, err := m.inner.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func compacted(t *testing.T, text []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, json.Compact(&out, text))
	return out.Bytes()
}
