package proof

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"

	"gotest.tools/v3/assert"
)

var controlVMs = []ident.VM{"control-1", "control-2", "control-3"}

// without returns the VMs except one.
func without(vms []ident.VM, excluded ident.VM) (rest []ident.VM) {
	for _, vm := range vms {
		if vm != excluded {
			rest = append(rest, vm)
		}
	}
	return rest
}

// workspaces returns the workspaces of the configuration in force on a VM.
func (f *fleet) workspaces(at ident.VM) map[ident.Workspace]bool {
	f.t.Helper()
	var c admin.Configuration
	assert.NilError(f.t, json.Unmarshal([]byte(f.mustRun([]ident.VM{at}, "show", "--output", "json")), &c))
	names := map[ident.Workspace]bool{}
	for name := range c.Intent.Workspaces {
		names[name] = true
	}
	return names
}

// The leader is killed while it handles a confirm. Repeating the confirm with the same
// change id must give the same outcome each time, and the change must persist, also on
// the old leader after its restart.
func TestLeaderKilledDuringConfirm(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	leader := f.leader(controlVMs...)
	rest := without(controlVMs, leader)
	plan := f.plan(leader, "survivor")
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = f.run([]ident.VM{leader}, "confirm", "--change-id", "c1", plan) })
	f.kill(leader)
	wg.Wait()
	first := f.mustRun(rest, "confirm", "--change-id", "c1", plan)
	again := f.mustRun(rest, "confirm", "--change-id", "c1", plan)
	assert.Equal(t, first, again)
	assert.Assert(t, f.workspaces(rest[0])["survivor"])
	f.startDaemon(leader)
	eventually(t, func() string {
		if s, err := f.status(leader); err != nil || s.AgeMs > 2000 {
			return fmt.Sprint("the old leader is not up to date: ", err)
		}
		return ""
	})
	assert.Assert(t, f.workspaces(leader)["survivor"])
}

// The leader is suspended until the others have elected a new one and accepted a
// change. After it resumes, it must neither accept a plan that is based on the old
// configuration nor undo the change.
func TestSuspendedLeaderResumes(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	leader := f.leader(controlVMs...)
	rest := without(controlVMs, leader)
	stalePlan := f.plan(leader, "from-the-past")
	f.signal(leader, syscall.SIGSTOP)
	f.leader(rest...)
	f.mustRun(rest, "confirm", "--change-id", "newer", f.plan(rest[0], "newer"))
	f.signal(leader, syscall.SIGCONT)
	out, err := f.run([]ident.VM{leader}, "confirm", "--change-id", "older", stalePlan)
	assert.Assert(t, err != nil && strings.Contains(out, "conflict"), "%s", out)
	assert.Assert(t, strings.Contains(out, "newer"), "the conflict must name the accepted change: %s", out)
	for _, vm := range controlVMs {
		eventually(t, func() string {
			if names := f.workspaces(vm); !names["newer"] || names["from-the-past"] {
				return fmt.Sprint(vm, " has ", names)
			}
			return ""
		})
	}
}

// Without a majority a change must not be reported as accepted. It can be repeated with
// the same change id once there is a majority again.
func TestNoChangeWithoutMajority(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	plan := f.plan("control-1", "minority")
	f.kill("control-2")
	f.kill("control-3")
	out, err := f.run([]ident.VM{"control-1"}, "confirm", "--change-id", "m1", plan)
	assert.Assert(t, err != nil, "%s", out)
	assert.Assert(t, strings.Contains(out, "--change-id m1"), "the error must say how to repeat the command: %s", out)
	f.startDaemon("control-2")
	eventually(t, func() string {
		out, err := f.run([]ident.VM{"control-1"}, "confirm", "--change-id", "m1", plan)
		if err != nil {
			return out
		}
		return ""
	})
}

// After hundreds of changes and a restart of all processes, the last configuration must
// be in force, and a change that is resent must get its first result instead of being
// applied again.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	f := startFleet(t, layoutWithControls(3))
	f.mustRun(controlVMs, "confirm", "--change-id", "base", f.plan("control-1", "many"))
	f.makeDrains(changes)
	before, err := f.status("control-1")
	assert.NilError(t, err)
	f.killAll()
	for _, d := range f.files.Daemons {
		f.startDaemon(d.VM)
	}
	f.awaitRevision("control-1", before.Revision)
	after, err := f.status("control-1")
	assert.NilError(t, err)
	assert.Assert(t, after.Revision >= before.Revision)
	assert.Assert(t, f.workspaces("control-3")["many"])
	var r state.Result
	out := f.mustRun(controlVMs, "drain", "--output", "json", "--change-id", "drain-7", "--undo", "katalog-1")
	assert.NilError(t, json.Unmarshal([]byte(out), &r))
	assert.Assert(t, r.Revision < before.Revision, "the resent change was applied again: %+v", r)
}

// makeDrains makes n changes concurrently, each of which ends the drain of katalog-1.
func (f *fleet) makeDrains(n int) {
	const workers = 8
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < n; i += workers {
				out, err := f.run(controlVMs, "drain", "--change-id", fmt.Sprintf("drain-%d", i), "--undo", "katalog-1")
				assert.Check(f.t, err == nil, "%s", out)
			}
		})
	}
	wg.Wait()
}

// A control daemon loses its data folder and is replaced; right afterwards another one
// is killed. Accepted changes must be kept, and the remaining majority must accept new
// ones.
func TestSecondFailureRightAfterReplacement(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	f.mustRun(controlVMs, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	f.wipe("control-2")
	f.startDaemon("control-2")
	others := []ident.VM{"control-1", "control-3"}
	f.awaitNewNode("control-2")
	f.mustRun(others, "control", "add", f.addressOf("control-2", "control"))
	eventually(t, func() string {
		if m := f.membership(others...); len(m.Voters) != 4 {
			return fmt.Sprintf("%+v", m)
		}
		return ""
	})
	f.mustRun(others, "control", "remove", "control-2")
	eventually(t, func() string {
		if m := f.membership(others...); len(m.Voters) != 3 {
			return fmt.Sprintf("%+v", m)
		}
		return ""
	})
	f.kill("control-1")
	rest := []ident.VM{"control-3", "control-2"}
	f.leader(rest...)
	assert.Assert(t, f.workspaces("control-2")["kept"])
	plan := f.plan("control-3", "kept", "after")
	f.mustRun(rest, "confirm", "--change-id", "c2", plan)
}

// All control daemons lose their data folders and are restored from a backup. The
// configuration and the keys must be as before, and new changes must be accepted.
func TestBackupAndRestore(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	f.mustRun(controlVMs, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	f.mustRun(controlVMs, "key", "grant", "--change-id", "k1", "kept")
	keys := ""
	eventually(t, func() string {
		if keys = f.mustRun(controlVMs, "key", "list"); keys == "" {
			return "control-1 has not applied the grant yet"
		}
		return ""
	})
	file := filepath.Join(t.TempDir(), "backup")
	f.mustRun(controlVMs, "backup", file)
	f.killAll()
	for _, vm := range controlVMs {
		folder := filepath.Join(f.files.Dir, "data", string(vm))
		_, err := f.run(controlVMs, "restore", "--data-folder", folder, file)
		assert.Assert(t, err != nil, "an existing data folder must not be overwritten")
		assert.NilError(t, os.RemoveAll(folder))
		f.mustRun(controlVMs, "restore", "--data-folder", folder, file)
	}
	for _, d := range f.files.Daemons {
		f.startDaemon(d.VM)
	}
	f.awaitMembers(len(f.files.Daemons))
	assert.Assert(t, f.workspaces("control-2")["kept"])
	assert.Equal(t, f.mustRun(controlVMs, "key", "list"), keys)
	f.mustRun(controlVMs, "confirm", "--change-id", "c2", f.plan("control-3", "kept", "after"))
}

// wipe kills a control daemon and deletes its data folder.
func (f *fleet) wipe(vm ident.VM) {
	f.t.Helper()
	f.kill(vm)
	assert.NilError(f.t, os.RemoveAll(filepath.Join(f.files.Dir, "data", string(vm))))
}

// awaitNewNode waits until a control daemon whose data folder was empty has given itself
// a new node id.
func (f *fleet) awaitNewNode(vm ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		data, err := os.ReadFile(filepath.Join(f.files.Dir, "data", string(vm), "identity"))
		if err != nil || !strings.Contains(string(data), string(vm)+"#") {
			return fmt.Sprintf("%s %v", data, err)
		}
		return ""
	})
}

// A control daemon that lost its data folder must not vote under its old node id: it has
// forgotten its votes and log entries, so a majority with it could lose accepted
// changes. Here one of the other two voters is down, so nothing may be accepted.
func TestWipedVoterDoesNotVote(t *testing.T) {
	f := startFleet(t, layoutWithControls(3))
	f.mustRun(controlVMs, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	next := f.plan("control-1", "kept", "more")
	f.kill("control-1")
	f.wipe("control-2")
	f.startDaemon("control-2")
	f.awaitNewNode("control-2")
	out, err := f.run([]ident.VM{"control-2", "control-3"}, "confirm", "--change-id", "c2", next)
	assert.Assert(t, err != nil, "%s", out)
	f.startDaemon("control-1")
	f.leader("control-3")
	eventually(t, func() string {
		out, err := f.run([]ident.VM{"control-1"}, "show")
		if err != nil {
			return out // not ready is a permitted response, an old configuration is not
		}
		assert.Assert(t, strings.Contains(out, `"kept"`), "%s", out)
		return ""
	})
}
