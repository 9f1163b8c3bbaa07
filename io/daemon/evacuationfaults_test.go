package daemon

import (
	"fmt"
	"net/http"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// planEvacuation gets the plan of an evacuation at a control daemon.
func (f *fleet) planEvacuation(vm ident.VM, dc ident.DataCentre, evacuating bool) admin.EvacuationPlan {
	f.t.Helper()
	req := admin.EvacuationRequest{DataCentre: dc, Evacuating: evacuating}
	plan, p, err := callAdmin[admin.EvacuationPlan](f, vm, "POST", "/v1/evacuations/plan", req)
	assert.NilError(f.t, err)
	assert.Equal(f.t, p.Detail, "")
	return plan
}

// order confirms a plan at a control daemon and returns the order, to be sent again.
func (f *fleet) order(vm ident.VM, plan admin.EvacuationPlan) admin.Evacuation {
	f.t.Helper()
	req := admin.Evacuation{ChangeID: f.changeID(), Base: plan.Base, DataCentre: plan.DataCentre, Evacuating: plan.Evacuating}
	f.mustAccept(callAdmin[state.Result](f, vm, "POST", "/v1/evacuations", req))
	return req
}

// servedIn returns how many calls the upstreams of a data centre have served.
func (f *fleet) servedIn(dc ident.DataCentre) (total int) {
	for _, s := range f.files.Stubs {
		if s.Daemon.DataCentre == dc {
			total += f.ledger(s).Served
		}
	}
	return total
}

// awaitEvacuated waits until the daemons on some VMs know whether a data centre is evacuated.
func (f *fleet) awaitEvacuated(vms []ident.VM, dc ident.DataCentre, want bool) {
	f.t.Helper()
	eventually(f.t, func() string {
		for _, vm := range vms {
			if f.daemons[vm].daemon.board.Config.Read().State.Evacuations[dc] != want {
				return string(vm) + " does not know it yet"
			}
		}
		return ""
	})
}

// mustServe makes calls at some VMs, which must succeed.
func (f *fleet) mustServe(vms []ident.VM, label string) {
	f.t.Helper()
	for _, vm := range vms {
		for i := range 10 {
			path := fmt.Sprintf("/katalog/%s-%s-%d", label, vm, i)
			mustSucceed(f.t, f.call(request{entry: vm, path: path, workspace: "mlyn"}), path)
		}
	}
}

// mustRunActionsOnce sends actions that must run once at some VMs, each until it succeeded
// twice. Their records may be kept by daemons in an evacuated data centre, or by one that is
// cut off.
func (f *fleet) mustRunActionsOnce(vms []ident.VM) {
	f.t.Helper()
	for _, vm := range vms {
		action := "evacuated-" + string(vm)
		path := "/objednavky/" + action
		for range 2 {
			eventually(f.t, func() string {
				got := f.call(request{entry: vm, method: "POST", path: path, workspace: "mlyn", action: action})
				if got.status != http.StatusOK {
					return fmt.Sprintf("%s: %d %s", vm, got.status, got.body)
				}
				return ""
			})
		}
		assert.Equal(f.t, f.runs(action+" "+path), 1)
	}
}

// awaitServing waits until some VMs serve calls: after a cut begins or ends, some of them
// still wait for VMs that can't be reached.
func (f *fleet) awaitServing(vms []ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		for _, vm := range vms {
			if got := f.call(request{entry: vm, path: "/katalog/first", workspace: "mlyn"}); got.status != http.StatusOK {
				return fmt.Sprintf("%s: %d %s", vm, got.status, got.body)
			}
		}
		return ""
	})
}

// Guards against an acknowledged evacuation that is lost with the leader, and against one
// that another control daemon refuses when it is sent there again.
func TestEvacuationOutlivesTheLeader(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	const dc = ident.DataCentre("kosice-2")
	leader := f.leader()
	controls, _ := f.splitVMs(func(d *trial.Daemon) bool { return d.Control && d.VM != leader })
	_, survivors := f.splitVMs(func(d *trial.Daemon) bool { return d.VM == leader })
	_, entries := f.splitVMs(func(d *trial.Daemon) bool { return d.Control })
	plan := f.planEvacuation(leader, dc, true)
	for _, s := range plan.Services {
		assert.Equal(t, s.Upstreams, 1, "%s", s.Service)
		assert.Equal(t, s.UpstreamsThere, 1, "%s", s.Service)
	}
	assert.DeepEqual(t, plan.Warnings, []string{})
	order := f.order(leader, plan)
	f.partition.set([]ident.VM{leader}, survivors, true)
	f.awaitEvacuated(survivors, dc, true)
	before := f.servedIn(dc)
	f.mustServe(entries, "evacuated")
	f.mustRunActionsOnce(entries)
	assert.Equal(t, f.servedIn(dc), before, "calls reached an evacuated upstream")
	eventually(t, func() string {
		r, p, err := callAdmin[state.Result](f, controls[0], "POST", "/v1/evacuations", order)
		if err != nil || r.Outcome != state.OutcomeAccepted {
			return fmt.Sprintf("%+v %+v %v", r, p, err)
		}
		return ""
	})
	f.partition.set([]ident.VM{leader}, survivors, false)
	f.awaitEvacuated([]ident.VM{leader}, dc, true)
	t.Run("and a plan made before another confirmation conflicts", func(t *testing.T) {
		undo := f.planEvacuation(controls[1], dc, false)
		f.confirmAgain()
		req := admin.Evacuation{ChangeID: f.changeID(), Base: undo.Base, DataCentre: dc}
		_, p, err := callAdmin[state.Result](f, controls[1], "POST", "/v1/evacuations", req)
		assert.NilError(t, err)
		assert.Equal(t, p.Status, http.StatusConflict)
		assert.Equal(t, f.planEvacuation(controls[1], dc, false).Services[0].Upstreams, 2)
	})
}

// confirmAgain confirms the intent in force with one workspace more.
func (f *fleet) confirmAgain() {
	f.t.Helper()
	st := f.daemons[anyControl].daemon.board.Config.Read().State
	patch := intent.Patch{Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{"another": {}}}
	req := admin.Confirmation{ChangeID: f.changeID(), Base: st.ConfirmedAt, Patch: patch}
	f.mustAccept(callAdmin[state.Result](f, anyControl, "POST", "/v1/confirmations", req))
	f.waitInForce()
}

// Guards against daemons that refuse calls on their own while they are cut off from the
// control daemons, and against calls from daemons in touch that reach an upstream there.
func TestEvacuationBehindACut(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	const dc = ident.DataCentre("kosice-2")
	cutOff, rest := f.splitVMs(func(d *trial.Daemon) bool { return d.DataCentre == dc })
	cutEntries, _ := f.splitVMs(func(d *trial.Daemon) bool { return d.DataCentre == dc && !d.Control })
	entries, _ := f.splitVMs(func(d *trial.Daemon) bool { return d.DataCentre != dc && !d.Control })
	f.partition.set(cutOff, rest, true)
	f.awaitServing(cutEntries)
	order := admin.Evacuation{ChangeID: f.changeID(), DataCentre: dc, Evacuating: true}
	eventually(t, func() string {
		if _, p, err := callAdmin[state.Result](f, rest[0], "POST", "/v1/evacuations", order); err != nil || p.Detail != "" {
			return fmt.Sprintf("%+v %v", p, err)
		}
		return ""
	})
	f.awaitEvacuated(rest, dc, true)
	before := f.servedIn(dc)
	f.mustServe(entries, "in-touch")
	assert.Equal(t, f.servedIn(dc), before, "calls of daemons in touch reached an evacuated upstream")
	f.mustServe(cutEntries, "cut-off")
	assert.Assert(t, f.servedIn(dc) > before, "the calls behind the cut were served elsewhere")
	f.partition.set(cutOff, rest, false)
	f.awaitEvacuated(cutOff, dc, true)
	before = f.servedIn(dc)
	f.awaitServing(cutEntries)
	f.mustServe(cutEntries, "healed")
	assert.Equal(t, f.servedIn(dc), before, "calls reached an evacuated upstream after the cut")
}
