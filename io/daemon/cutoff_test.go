package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/trial"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// splitVMs splits the VMs of the fleet into those that match and the others.
func (f *fleet) splitVMs(match func(*trial.Daemon) bool) (matching, rest []ident.VM) {
	for _, d := range f.files.Daemons {
		if match(d) {
			matching = append(matching, d.VM)
		} else {
			rest = append(rest, d.VM)
		}
	}
	return matching, rest
}

// TestIsolatedLeaderServesNoStaleReads drops all traffic between the leader and
// the other control daemons, while the leader still responds to all other daemons.
// These must nevertheless learn that a key has been withdrawn at the new leader.
func TestIsolatedLeaderServesNoStaleReads(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	id := f.grantKey("skauti")
	leader := f.leader()
	controls, others := f.splitVMs(func(d *trial.Daemon) bool { return d.Control && d.VM != leader })
	f.partition.set([]ident.VM{leader}, controls, true)
	withdrawal := admin.KeyWithdrawal{ChangeID: f.changeID(), Key: id}
	eventually(t, func() string {
		r, p, err := callAdmin[state.Result](f, controls[0], "POST", "/v1/withdrawals", withdrawal)
		if err != nil || r.Outcome != state.OutcomeAccepted {
			return fmt.Sprintf("%+v %+v %v", r, p, err)
		}
		return ""
	})
	eventually(t, func() string {
		for _, vm := range others {
			if vm == leader {
				continue
			}
			if got := f.call(request{entry: vm, path: "/katalog/1", workspace: "skauti"}); got.status != http.StatusUnauthorized {
				return fmt.Sprintf("%s still returns %d", vm, got.status)
			}
		}
		return ""
	})
	assert.Assert(t, !f.servesReads(leader), "the isolated leader serves reads of an old revision")
	eventually(t, func() string {
		if f.isLeader(leader) {
			return "the isolated leader has not stepped down"
		}
		return ""
	})
	f.partition.set([]ident.VM{leader}, controls, false)
	f.waitInForce()
}

// servesReads reports whether a control daemon serves linearizable reads as the
// leader.
func (f *fleet) servesReads(vm ident.VM) bool {
	f.t.Helper()
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pool := wire.NewPool(wire.PlainDialer(timeout))
	defer pool.Close()
	reply, err := wire.Call[wire.ReadReply](ctx, pool, f.vm(vm).Addresses["control"], wire.MethodRead, wire.ReadRequest{})
	return err == nil && reply.Done
}

func (f *fleet) isLeader(vm ident.VM) bool {
	return f.daemons[vm].daemon.control.Leading()
}

func (f *fleet) leader() (leader ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		for vm, r := range f.daemons {
			if r.daemon.control != nil && f.isLeader(vm) {
				leader = vm
				return ""
			}
		}
		return "no control daemon is the leader"
	})
	return leader
}

// TestDataCentreCutOffAndBack cuts one data centre off for a while. Both sides must
// still serve idempotent calls, and each action runs on one side at most. After the
// network has healed, a change accepted meanwhile must reach all daemons.
func TestDataCentreCutOffAndBack(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	cutOff, rest := f.splitVMs(func(d *trial.Daemon) bool { return d.DataCentre == "kosice-2" })
	f.partition.set(cutOff, rest, true)
	for _, vm := range []ident.VM{"katalog-1", "katalog-2"} {
		for i := range 10 {
			path := fmt.Sprintf("/katalog/%s-%d", vm, i)
			eventually(t, func() string {
				if got := f.call(request{entry: vm, path: path, workspace: "mlyn"}); got.reply.Path != path {
					return fmt.Sprintf("%s: %d %s", vm, got.status, got.body)
				}
				return ""
			})
		}
	}
	f.actionsOnBothSides(t)
	drain := admin.Drain{ChangeID: f.changeID(), VM: "grafika-1", Draining: true}
	eventually(t, func() string {
		if _, p, err := callAdmin[state.Result](f, anyControl, "POST", "/v1/drains", drain); err != nil || p.Detail != "" {
			return fmt.Sprintf("%+v %v", p, err)
		}
		return ""
	})
	f.partition.set(cutOff, rest, false)
	f.waitInForce()
}

// actionsOnBothSides sends the same actions, each with one idempotency key, to both
// sides of the partition.
func (f *fleet) actionsOnBothSides(t *testing.T) {
	t.Helper()
	successes := 0
	for i := range 6 {
		action := fmt.Sprintf("cut-%d", i)
		path := "/objednavky/" + action
		for _, vm := range []ident.VM{"katalog-1", "katalog-2"} {
			got := f.call(request{entry: vm, method: "POST", path: path, workspace: "mlyn", action: action})
			assert.Assert(t, got.status == http.StatusOK || got.problem.Reason != "", "%d %s", got.status, got.body)
			if got.status == http.StatusOK {
				successes++
			}
		}
		assert.Assert(t, f.runs(action+" "+path) <= 1)
	}
	assert.Assert(t, successes > 0, "no action was served on the side that holds the records")
}

// TestServesWithoutAnyControlDaemon stops the only control daemon, which is also
// the only relay of the settings. The daemons of each data centre must still learn
// of each other through fallback relays, serve idempotent calls, and find an
// upstream that restarts.
func TestServesWithoutAnyControlDaemon(t *testing.T) {
	layout := trial.Small()
	layout.ControlDaemons = 1
	f := newFleet(t, layout)
	f.setUp()
	f.stopDaemon("control-1")
	s := f.stub("katalog-2")
	f.stubs["katalog-2"].shutdown(t)
	delete(f.stubs, "katalog-2")
	knows := func(want int) func() string {
		return func() string {
			got := len(f.daemons["objednavky-2"].daemon.board.Members.Read().ByService["katalog"])
			if got < want {
				return fmt.Sprintf("objednavky-2 knows %d upstreams of katalog, want %d", got, want)
			}
			return ""
		}
	}
	f.startStub(s)
	eventually(t, func() string {
		for _, e := range f.daemons["objednavky-2"].daemon.board.Members.Read().ByService["katalog"] {
			if e.VM == "katalog-2" {
				return ""
			}
		}
		return "objednavky-2 does not know the upstream on katalog-2"
	})
	eventually(t, knows(1))
	for i := range 20 {
		path := fmt.Sprintf("/katalog/cut-%d", i)
		eventually(t, func() string {
			if got := f.call(request{entry: "objednavky-2", path: path, workspace: "mlyn"}); got.reply.Path != path {
				return fmt.Sprintf("%d %s", got.status, got.body)
			}
			return ""
		})
	}
}

// Guards against 401 for a key that was granted while the daemon was cut off: it can't know
// whether the key exists, during the cut and after it.
func TestNoCertainRefusalBehindACut(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	cutOff, rest := f.splitVMs(func(d *trial.Daemon) bool { return d.DataCentre == "kosice-2" })
	f.partition.set(cutOff, rest, true)
	const key = "granted-behind-the-cut"
	grant := admin.KeyGrant{ChangeID: f.changeID(), Digest: ident.DigestKey(key), Workspace: "skauti"}
	eventually(t, func() string {
		if _, p, err := callAdmin[state.Result](f, anyControl, "POST", "/v1/keys", grant); err != nil || p.Detail != "" {
			return fmt.Sprintf("%+v %v", p, err)
		}
		return ""
	})
	f.keys["skauti"] = key
	ask := func() response { return f.call(request{entry: "katalog-2", path: "/katalog/1", workspace: "skauti"}) }
	eventually(t, func() string {
		if got := ask(); got.problem.Reason != fault.ReasonConfigurationUnconfirmed {
			return fmt.Sprintf("%d %s", got.status, got.body)
		}
		return ""
	})
	for range 20 {
		got := ask()
		assert.Equal(t, got.problem.Reason, fault.ReasonConfigurationUnconfirmed, "%s", got.body)
		assert.Assert(t, got.problem.NotRun)
	}
	f.partition.set(cutOff, rest, false)
	eventually(t, func() string {
		got := ask()
		assert.Assert(t, got.status != http.StatusUnauthorized, "%s", got.body)
		if got.status != http.StatusOK {
			return fmt.Sprintf("%d %s", got.status, got.body)
		}
		return ""
	})
}
