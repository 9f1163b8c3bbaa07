package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"chicorymast/io/proxy"
	"chicorymast/io/stub"

	"gotest.tools/v3/assert"
)

// Guards against a bound on cold servers that the document, the settings template, the
// announcements or the health check do not bring into force at the daemon beside them.
func TestColdServerOnThePlatform(t *testing.T) {
	const bound, coldTime = 1.5*7.2 + 8, 4 * time.Second
	m := newMeshOf(t, "core-1", "core-2", "core-3", "shop-1", "rate-1", "stock-1")
	cold := `{"name":"shop","health_check_path":"` + stub.HealthPath + `","cold_start":"4s","cold_per_s":7.2}`
	text := strings.Replace(string(document(1, 0, `"key-mlyn"`)), `{"name":"shop"}`, cold, 1)
	assert.Equal(t, m.put("core-1", []byte(text)), http.StatusOK)
	m.waitReady()
	m.serve("shop-1")
	call := func(n int) (succeeded int) {
		entry := []string{"rate-1", "stock-1"}[n%2]
		if m.call(entry, "GET", "shop.example", "/shop/1", "key-mlyn", nil).status == http.StatusOK {
			return 1
		}
		return 0
	}
	mustServe := func(t *testing.T) {
		t.Helper()
		const inARow = 40
		eventually(t, func() string {
			for n := range inARow {
				if call(n) == 0 {
					return "a call was refused"
				}
			}
			return ""
		})
	}
	mustServe(t)
	server := m.daemons["shop-1"].server
	t.Run("gets few calls from several entries", func(t *testing.T) {
		m.update(m.daemons["shop-1"], func(a *proxy.Announcement) { a.WarmupMs = coldTime.Milliseconds() })
		server.TurnCold(time.Hour)
		m.daemons["shop-1"].listener.CloseClientConnections()
		eventually(t, func() string {
			if m.daemons["shop-1"].warmupRate(t) > 0 {
				return ""
			}
			call(0)
			return "the daemon has not noticed"
		})
		_, before := server.Runs("")
		began := time.Now()
		for n := range 200 {
			call(n)
		}
		seconds := time.Since(began).Seconds()
		_, after := server.Runs("")
		assert.Assert(t, float64(after-before) <= bound*(seconds+1), "%d calls in %v s", after-before, seconds)
	})
	t.Run("and all of them when it is warm", func(t *testing.T) {
		server.TurnCold(0)
		m.update(m.daemons["shop-1"], func(a *proxy.Announcement) { a.WarmupMs = 0 })
		mustServe(t)
	})
}

// warmupRate returns the rate to which the calls of the server on the VM are slowed.
func (vm *meshVM) warmupRate(t *testing.T) float64 {
	t.Helper()
	families, err := vm.run.daemon.reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == "chicorymast_upstream_warmup_rate_per_second" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return 0
}
