package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/trial"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// vmsOf splits the fleet's VMs by a choice.
func (f *fleet) vmsOf(in func(*trial.Daemon) bool) (chosen, rest []ident.VM) {
	for _, d := range f.files.Daemons {
		if in(d) {
			chosen = append(chosen, d.VM)
		} else {
			rest = append(rest, d.VM)
		}
	}
	return chosen, rest
}

// TestIsolatedControlVMMisleadsNobody cuts the leader off from the other
// control daemons, silently, while it goes on answering all other daemons. A
// key withdrawn elsewhere must end on those daemons, too.
func TestIsolatedControlVMMisleadsNobody(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	id := f.grantKey("skauti")
	lead := f.leader()
	controls, others := f.vmsOf(func(d *trial.Daemon) bool { return d.Control && d.VM != lead })
	f.cuts.between([]ident.VM{lead}, controls, true)
	withdrawal := admin.KeyWithdrawal{ChangeID: f.changeID(), Key: id}
	eventually(t, func() string {
		r, p, err := ask[state.Result](f, controls[0], "POST", "/v1/withdrawals", withdrawal)
		if err != nil || r.Outcome != state.OutcomeAccepted {
			return fmt.Sprintf("%+v %+v %v", r, p, err)
		}
		return ""
	})
	eventually(t, func() string {
		for _, vm := range others {
			if vm == lead {
				continue
			}
			if a := f.call(request{at: vm, path: "/katalog/1", workspace: "skauti"}); a.status != http.StatusUnauthorized {
				return fmt.Sprintf("%s still answers %d", vm, a.status)
			}
		}
		return ""
	})
	assert.Assert(t, !f.answersReads(lead), "the isolated leader vouches for an old revision")
	eventually(t, func() string {
		if f.leads(lead) {
			return "the isolated leader still says that it leads"
		}
		return ""
	})
	f.cuts.between([]ident.VM{lead}, controls, false)
	f.inForce()
}

// answersReads reports whether a control daemon answers a linearizable read as
// the leader.
func (f *fleet) answersReads(vm ident.VM) bool {
	f.t.Helper()
	const patience = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	pool := wire.NewPool(wire.PlainDialer(patience))
	defer pool.Close()
	reply, err := wire.Call[wire.ReadReply](ctx, pool, f.vm(vm).Addresses["control"], wire.MethodRead, wire.ReadRequest{})
	return err == nil && reply.Done
}

func (f *fleet) leads(vm ident.VM) bool {
	return f.daemons[vm].daemon.control.Leading()
}

func (f *fleet) leader() (lead ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		for vm, r := range f.daemons {
			if r.daemon.control != nil && f.leads(vm) {
				lead = vm
				return ""
			}
		}
		return "nobody leads"
	})
	return lead
}

// TestDataCentreCutOffAndBack cuts one data centre off. Both sides go on with
// plain reads; paid work runs on one side at most; when the cut ends, what was
// accepted meanwhile is in force everywhere.
func TestDataCentreCutOffAndBack(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	far, near := f.vmsOf(func(d *trial.Daemon) bool { return d.DataCentre == "kosice-2" })
	f.cuts.between(far, near, true)
	for _, vm := range []ident.VM{"katalog-1", "katalog-2"} {
		for i := range 10 {
			path := fmt.Sprintf("/katalog/%s-%d", vm, i)
			eventually(t, func() string {
				if a := f.call(request{at: vm, path: path, workspace: "mlyn"}); a.reply.Path != path {
					return fmt.Sprintf("%s: %d %s", vm, a.status, a.body)
				}
				return ""
			})
		}
	}
	f.paidOnBothSides(t)
	drain := admin.Drain{ChangeID: f.changeID(), VM: "grafika-1", Draining: true}
	eventually(t, func() string {
		if _, p, err := ask[state.Result](f, anyControl, "POST", "/v1/drains", drain); err != nil || p.Detail != "" {
			return fmt.Sprintf("%+v %v", p, err)
		}
		return ""
	})
	f.cuts.between(far, near, false)
	f.inForce()
}

// paidOnBothSides sends paid work on both sides of the cut under one id.
func (f *fleet) paidOnBothSides(t *testing.T) {
	t.Helper()
	whole := 0
	for i := range 6 {
		action := fmt.Sprintf("cut-%d", i)
		path := "/objednavky/" + action
		for _, vm := range []ident.VM{"katalog-1", "katalog-2"} {
			a := f.call(request{at: vm, method: "POST", path: path, workspace: "mlyn", action: action})
			assert.Assert(t, a.status == http.StatusOK || a.problem.Reason != "", "%d %s", a.status, a.body)
			if a.status == http.StatusOK {
				whole++
			}
		}
		assert.Assert(t, f.runs(action+" "+path) <= 1)
	}
	assert.Assert(t, whole > 0, "the side with the records serves paid work")
}

// TestServesWithoutAnyControlDaemon takes away the only control daemon, which
// is the only named relay, too. Daemons of each data centre then keep each
// other known through stand-ins, plain reads go on, and an upstream that
// restarts is found again.
func TestServesWithoutAnyControlDaemon(t *testing.T) {
	layout := trial.Small()
	layout.ControlDaemons = 1
	f := newFleet(t, layout)
	f.setUp()
	f.stopDaemon("control-1")
	standIn := f.standIn("katalog-2")
	f.stubs["katalog-2"].end(t)
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
	f.startStub(standIn)
	eventually(t, func() string {
		for _, e := range f.daemons["objednavky-2"].daemon.board.Members.Read().ByService["katalog"] {
			if e.VM == "katalog-2" {
				return ""
			}
		}
		return "katalog-2 is not known in its data centre"
	})
	eventually(t, knows(1))
	for i := range 20 {
		path := fmt.Sprintf("/katalog/cut-%d", i)
		eventually(t, func() string {
			if a := f.call(request{at: "objednavky-2", path: path, workspace: "mlyn"}); a.reply.Path != path {
				return fmt.Sprintf("%d %s", a.status, a.body)
			}
			return ""
		})
	}
}
