package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/fault"
	"chicorymast/platform"

	"gotest.tools/v3/assert"
)

// runsIn returns how many requests the servers of a data centre have run.
func (m *mesh) runsIn(dc string) (total int) {
	for _, vm := range m.daemons {
		if vm.server != nil && vm.zone == dc {
			_, n := vm.server.Runs("")
			total += n
		}
	}
	return total
}

// callUntilServed calls shop until a call succeeds. Others may fail, as the owner of the rate
// may be restarting, but not by the refusal of an evacuated server's daemon.
func (m *mesh) callUntilServed(t *testing.T, entry string) {
	t.Helper()
	eventually(t, func() string {
		got := m.call(entry, "GET", "shop.example", "/shop/1", "key-mlyn", nil)
		if got.status == http.StatusOK {
			return ""
		}
		assert.Assert(t, !refusedThere(got.body), "%s: %s", entry, got.body)
		return fmt.Sprintf("%s: %d %s", entry, got.status, got.body)
	})
}

// refusedThere reports whether a call ended with the refusal of a daemon beside an evacuated
// server. Without any server to choose, the reason would be another one, which a busy machine
// can cause as well: an entry avoids a data centre that seems to be silent.
func refusedThere(body string) bool {
	return strings.Contains(body, string(fault.ReasonDraining))
}

// entries returns the VMs that are not control daemons.
func (m *mesh) entries() (names []string) {
	for name := range m.daemons {
		if !strings.HasPrefix(name, "core") {
			names = append(names, name)
		}
	}
	return names
}

// refusedIn returns how many calls of other daemons the daemons of a data centre have refused
// as draining since their start.
func (m *mesh) refusedIn(dc string) (total float64) {
	m.t.Helper()
	for _, vm := range m.daemons {
		if vm.zone != dc {
			continue
		}
		families, err := vm.run.daemon.reg.Gather()
		assert.NilError(m.t, err)
		for _, family := range families {
			if family.GetName() != "chicorymast_refusals_total" {
				continue
			}
			for _, counter := range family.GetMetric() { // labels are in order of their names
				if counter.GetLabel()[0].GetValue() == "serve" && counter.GetLabel()[1].GetValue() == string(fault.ReasonDraining) {
					total += counter.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

// mustServeWithout calls shop at all entries. They must be served, and none of the calls, nor
// any nested one, may reach a server in the evacuated data centre.
func (m *mesh) mustServeWithout(t *testing.T, dc string) {
	t.Helper()
	before, refused := m.runsIn(dc), m.refusedIn(dc)
	for _, name := range m.entries() {
		for range 20 {
			m.callUntilServed(t, name)
		}
	}
	assert.Equal(t, m.refusedIn(dc), refused, "entries still choose evacuated servers")
	assert.Equal(t, m.runsIn(dc), before, "calls reached an evacuated server")
}

// callAlways calls shop at some entries all the time. The returned function ends that, waits
// for the last responses and returns those that show the evacuation to a caller.
func (m *mesh) callAlways(names ...string) (stop func() (refused []string)) {
	var ended atomic.Bool
	var mu sync.Mutex
	var refused []string
	var callers sync.WaitGroup
	for _, name := range names {
		callers.Go(func() {
			for n := 0; !ended.Load(); n++ {
				body, err := m.callShopOnce(name, n)
				if err == nil && refusedThere(body) {
					mu.Lock()
					refused = append(refused, name+": "+body)
					mu.Unlock()
				}
			}
		})
	}
	return func() []string {
		ended.Store(true)
		callers.Wait()
		return refused
	}
}

// callShopOnce makes one call of callAlways and returns the body of the response.
func (m *mesh) callShopOnce(name string, n int) (body string, err error) {
	d := platform.Dialect()
	req, err := http.NewRequest(http.MethodGet, "http://"+m.daemons[name].addr(portOutbound)+"/shop/always", nil)
	if err != nil {
		return "", err
	}
	req.Host = "shop.example"
	req.Header.Set(d.Action, fmt.Sprintf("always-%s-%d-%d", name, time.Now().UnixNano(), n))
	req.Header.Set(d.Timeout, "2000")
	req.Header.Set("Authorization", d.KeyScheme+" key-mlyn")
	resp, err := m.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
