package daemon

import (
	"net/http"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/member"

	"gotest.tools/v3/assert"
)

// testLeaving lets a server say in its responses that it leaves while its announcements
// still say that it is ready. No later call may reach it, also not after the daemon
// beside it has restarted.
func (m *mesh) testLeaving(t *testing.T) {
	vm := m.daemons["shop-1"]
	_, before := vm.server.Runs("")
	vm.server.Say("", true)
	eventually(t, func() string {
		m.callShop(t, 10)
		if _, after := vm.server.Runs(""); after == before {
			return "shop-1 gets no calls" // its drain has just ended
		}
		return ""
	})
	_, before = vm.server.Runs("")
	mustNotGetCalls := func(t *testing.T) {
		t.Helper()
		m.callShop(t, 20)
		_, after := vm.server.Runs("")
		assert.Equal(t, after, before, "calls reached a server that leaves")
	}
	t.Run("from the daemons that passed it on", mustNotGetCalls)
	t.Run("after a late announcement", func(t *testing.T) {
		m.announce(vm)
		assert.Equal(t, vm.run.daemon.board.Upstream.Read().Phase, member.PhaseDraining)
		mustNotGetCalls(t)
	})
	t.Run("after the daemon beside it has restarted", func(t *testing.T) {
		vm.run.shutdown(t)
		m.start(vm, false)
		eventually(t, func() string {
			m.announce(vm)
			e := m.daemons["rate-1"].run.daemon.board.Members.Read().ByVM[ident.VM(vm.name)]
			if e.Phase != member.PhaseUp || e.Upstream == nil {
				return "rate-1 does not know of shop-1"
			}
			assert.Equal(t, e.Upstream.Phase, member.PhaseDraining)
			return ""
		})
		mustNotGetCalls(t)
	})
	t.Run("but its new process does", func(t *testing.T) {
		vm.server.Say("", false)
		vm.mu.Lock()
		vm.latest.StartedMs, vm.latest.Sequence = vm.latest.StartedMs+1, 0
		vm.mu.Unlock()
		eventually(t, func() string {
			m.announce(vm)
			m.callShop(t, 10)
			if _, after := vm.server.Runs(""); after == before {
				return "the new process gets no calls"
			}
			return ""
		})
	})
}

// callShop makes calls at rate-1, which must succeed.
func (m *mesh) callShop(t *testing.T, n int) {
	t.Helper()
	for range n {
		got := m.call("rate-1", "GET", "shop.example", "/shop/1", "key-mlyn", nil)
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	}
}
