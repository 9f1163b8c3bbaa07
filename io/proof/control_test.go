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

var controls = []ident.VM{"control-1", "control-2", "control-3"}

func without(vms []ident.VM, gone ident.VM) (rest []ident.VM) {
	for _, vm := range vms {
		if vm != gone {
			rest = append(rest, vm)
		}
	}
	return rest
}

// workspaces returns those of the configuration in force at a VM.
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

// The leader is killed while an operator confirms. Whatever the operator was
// told, asking again with the change id gives one outcome, and it lasts.
func TestLeaderKilledInTheMiddleOfAConfirm(t *testing.T) {
	f := start(t, controlOnly(3))
	lead := f.leader(controls...)
	rest := without(controls, lead)
	plan := f.plan(lead, "survivor")
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = f.run([]ident.VM{lead}, "confirm", "--change-id", "c1", plan) })
	f.kill(lead)
	wg.Wait()
	first := f.mustRun(rest, "confirm", "--change-id", "c1", plan)
	again := f.mustRun(rest, "confirm", "--change-id", "c1", plan)
	assert.Equal(t, first, again)
	assert.Assert(t, f.workspaces(rest[0])["survivor"])
	f.startOne(lead)
	eventually(t, func() string {
		if s, err := f.status(lead); err != nil || s.AgeMs > 2000 {
			return fmt.Sprint("the old leader is not up to date: ", err)
		}
		return ""
	})
	assert.Assert(t, f.workspaces(lead)["survivor"])
}

// A control VM is frozen for long and comes back: it must not answer for a
// configuration that others have replaced, and must not undo it.
func TestFrozenLeaderComesBack(t *testing.T) {
	f := start(t, controlOnly(3))
	lead := f.leader(controls...)
	rest := without(controls, lead)
	stale := f.plan(lead, "from-the-past")
	f.signal(lead, syscall.SIGSTOP)
	f.leader(rest...)
	f.mustRun(rest, "confirm", "--change-id", "newer", f.plan(rest[0], "newer"))
	f.signal(lead, syscall.SIGCONT)
	out, err := f.run([]ident.VM{lead}, "confirm", "--change-id", "older", stale)
	assert.Assert(t, err != nil && strings.Contains(out, "conflict"), "%s", out)
	assert.Assert(t, strings.Contains(out, "newer"), "the conflict names the winner: %s", out)
	for _, vm := range controls {
		eventually(t, func() string {
			if names := f.workspaces(vm); !names["newer"] || names["from-the-past"] {
				return fmt.Sprint(vm, " has ", names)
			}
			return ""
		})
	}
}

// Without a majority nothing is accepted, and the operator is not told that
// it was.
func TestNoMajorityNoSuccess(t *testing.T) {
	f := start(t, controlOnly(3))
	plan := f.plan("control-1", "minority")
	f.kill("control-2")
	f.kill("control-3")
	out, err := f.run([]ident.VM{"control-1"}, "confirm", "--change-id", "m1", plan)
	assert.Assert(t, err != nil, "%s", out)
	assert.Assert(t, strings.Contains(out, "--change-id m1"), "the answer says how to ask again: %s", out)
	f.startOne("control-2")
	eventually(t, func() string {
		out, err := f.run([]ident.VM{"control-1"}, "confirm", "--change-id", "m1", plan)
		if err != nil {
			return out
		}
		return ""
	})
}

// All processes restart after hundreds of changes and have what operators
// last accepted, with the first answers of resent changes.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	f := start(t, controlOnly(3))
	f.mustRun(controls, "confirm", "--change-id", "base", f.plan("control-1", "many"))
	f.manyDrains(changes)
	before, err := f.status("control-1")
	assert.NilError(t, err)
	f.killAll()
	for _, d := range f.files.Daemons {
		f.startOne(d.VM)
	}
	f.awaitRevision("control-1", before.Revision)
	after, err := f.status("control-1")
	assert.NilError(t, err)
	assert.Assert(t, after.Revision >= before.Revision)
	assert.Assert(t, f.workspaces("control-3")["many"])
	var r state.Result
	out := f.mustRun(controls, "drain", "--output", "json", "--change-id", "drain-7", "--undo", "katalog-1")
	assert.NilError(t, json.Unmarshal([]byte(out), &r))
	assert.Assert(t, r.Revision < before.Revision, "the resent change was carried out again: %+v", r)
}

// manyDrains makes changes by several operators at once.
func (f *fleet) manyDrains(n int) {
	const operators = 8
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			for i := o; i < n; i += operators {
				out, err := f.run(controls, "drain", "--change-id", fmt.Sprintf("drain-%d", i), "--undo", "katalog-1")
				assert.Check(f.t, err == nil, "%s", out)
			}
		})
	}
	wg.Wait()
}

// A VM loses its disk and is replaced; right after the repair a second one is
// lost. Nothing accepted is lost, and the rest goes on accepting.
func TestSecondVMLostRightAfterRepair(t *testing.T) {
	f := start(t, controlOnly(3))
	f.mustRun(controls, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	f.wipe("control-2")
	f.startOne("control-2")
	others := []ident.VM{"control-1", "control-3"}
	f.awaitJoiner("control-2")
	f.mustRun(others, "control", "add", f.addressOf("control-2", "control"))
	eventually(t, func() string {
		if m := f.controllers(others...); len(m.Voters) != 4 {
			return fmt.Sprintf("%+v", m)
		}
		return ""
	})
	f.mustRun(others, "control", "remove", "control-2")
	eventually(t, func() string {
		if m := f.controllers(others...); len(m.Voters) != 3 {
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

// All folders are lost; the set is founded again from a backup, with the keys
// and the first answers of past changes.
func TestBackupAndRestore(t *testing.T) {
	f := start(t, controlOnly(3))
	f.mustRun(controls, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	f.mustRun(controls, "key", "grant", "--change-id", "k1", "kept")
	keys := ""
	eventually(t, func() string {
		if keys = f.mustRun(controls, "key", "list"); keys == "" {
			return "control-1 has not applied the grant yet"
		}
		return ""
	})
	file := filepath.Join(t.TempDir(), "backup")
	f.mustRun(controls, "backup", file)
	f.killAll()
	for _, vm := range controls {
		folder := filepath.Join(f.files.Dir, "data", string(vm))
		_, err := f.run(controls, "restore", "--data-folder", folder, file)
		assert.Assert(t, err != nil, "a folder in use must not be overwritten")
		assert.NilError(t, os.RemoveAll(folder))
		f.mustRun(controls, "restore", "--data-folder", folder, file)
	}
	for _, d := range f.files.Daemons {
		f.startOne(d.VM)
	}
	f.awaitMembers(len(f.files.Daemons))
	assert.Assert(t, f.workspaces("control-2")["kept"])
	assert.Equal(t, f.mustRun(controls, "key", "list"), keys)
	f.mustRun(controls, "confirm", "--change-id", "c2", f.plan("control-3", "kept", "after"))
}

// wipe kills a control daemon and empties its data folder.
func (f *fleet) wipe(vm ident.VM) {
	f.t.Helper()
	f.kill(vm)
	assert.NilError(f.t, os.RemoveAll(filepath.Join(f.files.Dir, "data", string(vm))))
}

// awaitJoiner waits until a control daemon with an empty folder has found out
// that it is a new node.
func (f *fleet) awaitJoiner(vm ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		data, err := os.ReadFile(filepath.Join(f.files.Dir, "data", string(vm), "identity"))
		if err != nil || !strings.Contains(string(data), string(vm)+"#") {
			return fmt.Sprintf("%s %v", data, err)
		}
		return ""
	})
}

// A wiped control daemon never votes under its old name: with it and one
// other there is no majority of the old three.
func TestWipedVoterDoesNotVote(t *testing.T) {
	f := start(t, controlOnly(3))
	f.mustRun(controls, "confirm", "--change-id", "c1", f.plan("control-1", "kept"))
	next := f.plan("control-1", "kept", "more")
	f.kill("control-1")
	f.wipe("control-2")
	f.startOne("control-2")
	f.awaitJoiner("control-2")
	out, err := f.run([]ident.VM{"control-2", "control-3"}, "confirm", "--change-id", "c2", next)
	assert.Assert(t, err != nil, "%s", out)
	f.startOne("control-1")
	f.leader("control-3")
	eventually(t, func() string {
		out, err := f.run([]ident.VM{"control-1"}, "show")
		if err != nil {
			return out // it says that it is not ready, never an old configuration
		}
		assert.Assert(t, strings.Contains(out, `"kept"`), "%s", out)
		return ""
	})
}
