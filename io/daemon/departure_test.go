package daemon

import (
	"net/http"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/proxy"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// leaveAndRestart lets the server beside a daemon leave, starts that daemon anew and
// delivers an announcement from before.
func (m *mesh) leaveAndRestart(t *testing.T, vm *meshVM, leave func(late proxy.Announcement) error) {
	t.Helper()
	vm.silent.Store(true)
	vm.mu.Lock()
	vm.latest.Sequence++
	late := vm.latest
	vm.latest.Sequence++
	vm.mu.Unlock()
	assert.NilError(t, leave(late))
	assert.Assert(t, m.relaysKeep(vm) > 0, "acknowledged before any relay knows")
	vm.run.shutdown(t)
	m.start(vm, false)
	eventually(t, func() string {
		if !m.isReady(vm.name) {
			return vm.name + " is not ready"
		}
		return ""
	})
	assert.NilError(t, vm.api.Announce(t.Context(), late))
}

// relaysKeep returns how many departures of a VM the control daemons know.
func (m *mesh) relaysKeep(vm *meshVM) (n int) {
	for _, core := range []string{"core-1", "core-2", "core-3"} {
		d := m.daemons[core].run.daemon
		reply, err := wire.Call[wire.SyncReply](m.t.Context(), d.pool, d.Config().Listen.Control, wire.MethodSync,
			wire.SyncRequest{Entry: member.Entry{VM: ident.VM(vm.name)}, Probe: true})
		assert.NilError(m.t, err)
		n += len(reply.Departures)
	}
	return n
}

// What a daemon acknowledged about its server must hold after a restart: an announcement
// that was sent before and arrives late must not bring the server back.
func TestAcknowledgedDepartureOutlivesTheDaemon(t *testing.T) {
	m := newMeshOf(t, "core-1", "core-2", "core-3", "shop-1", "shop-2", "rate-1")
	m.serve("shop-1")
	m.serve("shop-2")
	assert.Equal(t, m.put("core-1", document(3, 0, `"key-mlyn"`)), http.StatusOK)
	m.waitReady()
	vm := m.daemons["shop-1"]
	awaitServing := func(t *testing.T) {
		t.Helper()
		eventually(t, func() string {
			if n := len(m.daemons["rate-1"].run.daemon.board.Members.Read().ByService["shop"]); n != 2 {
				return "rate-1 does not know of both servers"
			}
			return ""
		})
	}
	mustNotGetCalls := func(t *testing.T) {
		t.Helper()
		_, before := vm.server.Runs("")
		m.callShop(t, 20)
		_, after := vm.server.Runs("")
		assert.Equal(t, after, before, "calls reached a server that has left")
	}
	comeBack := func(t *testing.T) {
		t.Helper()
		m.update(vm, func(a *proxy.Announcement) { a.StartedMs, a.Sequence = a.StartedMs+1, 0 })
		vm.silent.Store(false)
		awaitServing(t)
	}
	awaitServing(t)
	t.Run("deregistered", func(t *testing.T) {
		m.leaveAndRestart(t, vm, func(a proxy.Announcement) error { return vm.api.Deregister(t.Context(), a) })
		assert.Assert(t, !vm.run.daemon.board.Upstream.Read().Present())
		mustNotGetCalls(t)
	})
	t.Run("a later process with its id comes back", comeBack)
	t.Run("draining", func(t *testing.T) {
		m.leaveAndRestart(t, vm, func(a proxy.Announcement) error {
			a.Draining, a.Sequence = true, a.Sequence+1
			return vm.api.Announce(t.Context(), a)
		})
		assert.Equal(t, vm.run.daemon.board.Upstream.Read().Phase, member.PhaseDraining)
		mustNotGetCalls(t)
	})
	t.Run("a later process comes back again", comeBack)
	t.Run("unknown to the daemon that acknowledged", func(t *testing.T) {
		m.leaveAndRestart(t, vm, func(a proxy.Announcement) error {
			a.Upstream = ident.Upstream("i-unheard")
			return vm.api.Deregister(t.Context(), a)
		})
		assert.Assert(t, vm.run.daemon.board.Upstream.Read().Present(), "the server that did not leave is kept out")
	})
}
