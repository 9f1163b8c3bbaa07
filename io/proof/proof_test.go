// Package proof has end-to-end tests of fleets of real processes under failures:
// killed and suspended control daemons, lost data folders, concurrent changes, and
// signals during a shutdown.
//
// # Usage
//
//	go test ./io/proof
//
// The tests build the program, start its daemons on loopback with the files of a trial
// fleet, and kill all processes that they started.
package proof

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/admin"
	"chicorymast/io/trial"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "chicorymast")
	if out, err := exec.Command("go", "build", "-o", binary, "chicorymast").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is the daemons of a trial fleet, each a process of its own.
type fleet struct {
	t         testing.TB
	files     *trial.Fleet
	procs     map[ident.VM]*exec.Cmd
	tokenFile string
}

const operatorToken = "operator-token-of-the-proof"

// layoutWithControls returns the layout of a small fleet with a number of control
// daemons, in three data centres.
func layoutWithControls(controls int) trial.Layout {
	l := trial.Small()
	l.ControlDaemons = controls
	l.DataCentres = []ident.DataCentre{"kosice-1", "kosice-2", "kosice-3"}
	return l
}

func startFleet(t testing.TB, l trial.Layout) *fleet {
	t.Helper()
	files, err := trial.Write(t.TempDir(), l, string(ident.DigestKey(operatorToken)))
	assert.NilError(t, err)
	f := &fleet{t: t, files: files, procs: map[ident.VM]*exec.Cmd{}, tokenFile: filepath.Join(files.Dir, "token")}
	assert.NilError(t, os.WriteFile(f.tokenFile, []byte(operatorToken), 0o600))
	t.Cleanup(f.killAll)
	for _, d := range files.Daemons {
		f.startDaemon(d.VM)
	}
	f.awaitMembers(len(files.Daemons))
	return f
}

func (f *fleet) startDaemon(vm ident.VM) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.files.Dir, string(vm)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(f.t, err)
	cmd := exec.Command(binary, "daemon", "--config", filepath.Join(f.files.Dir, string(vm)+".ini"))
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	assert.NilError(f.t, log.Close())
	f.procs[vm] = cmd
}

func (f *fleet) signal(vm ident.VM, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.procs[vm].Process.Signal(s))
}

// kill ends a daemon with SIGKILL, like the failure of its VM.
func (f *fleet) kill(vm ident.VM) {
	f.t.Helper()
	f.signal(vm, syscall.SIGKILL)
	_ = f.procs[vm].Wait() // the exit status is that of SIGKILL
	delete(f.procs, vm)
}

func (f *fleet) killAll() {
	for vm, cmd := range f.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(f.procs, vm)
	}
}

func (f *fleet) addressOf(vm ident.VM, listener string) string {
	for _, d := range f.files.Daemons {
		if d.VM == vm {
			return d.Addresses[listener]
		}
	}
	f.t.Fatalf("no VM %s", vm)
	return ""
}

// run runs a command against the administration API of some VMs and returns its output.
func (f *fleet) run(vms []ident.VM, args ...string) (string, error) {
	cmd := exec.Command(binary, args...)
	var servers []string
	for _, vm := range vms {
		servers = append(servers, f.addressOf(vm, "admin"))
	}
	cmd.Env = append(os.Environ(), "CHICORYMAST_SERVER="+strings.Join(servers, ","), "CHICORYMAST_TOKEN_FILE="+f.tokenFile)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (f *fleet) mustRun(vms []ident.VM, args ...string) string {
	f.t.Helper()
	out, err := f.run(vms, args...)
	assert.NilError(f.t, err, "%s", out)
	return out
}

// eventually waits until check returns "". After 60 s it fails the test with the
// last text that check returned.
func eventually(t testing.TB, check func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason := check(); reason != "" {
			return poll.Continue("%s", reason)
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(60*time.Second))
}

func (f *fleet) status(vm ident.VM) (s admin.Status, err error) {
	out, err := f.run([]ident.VM{vm}, "status", "--output", "json")
	if err != nil {
		return s, fmt.Errorf("%w: %s", err, out)
	}
	return s, json.Unmarshal([]byte(out), &s)
}

// awaitMembers waits until all control daemons are ready and n daemons are members.
func (f *fleet) awaitMembers(n int) {
	f.t.Helper()
	eventually(f.t, func() string {
		s, err := f.status("control-1")
		for _, d := range f.files.Daemons {
			if other, err := f.status(d.VM); d.Control && (err != nil || !other.Ready) {
				return fmt.Sprintf("%s is not ready: %v", d.VM, err)
			}
		}
		if err != nil || s.Members != n {
			return fmt.Sprintf("%d of %d members: %v", s.Members, n, err)
		}
		return ""
	})
}

// awaitRevision waits until a revision is in force on all running daemons.
func (f *fleet) awaitRevision(at ident.VM, r ident.Revision) {
	f.t.Helper()
	eventually(f.t, func() string {
		s, err := f.status(at)
		if err != nil || s.Revision < r || s.InForce < len(f.procs) {
			return fmt.Sprintf("revision %d of %d, in force on %d of %d: %v", s.Revision, r, s.InForce, len(f.procs), err)
		}
		return ""
	})
}

// membership returns the voters and learners.
func (f *fleet) membership(vms ...ident.VM) (m wire.MembershipReply) {
	f.t.Helper()
	out := f.mustRun(vms, "control", "list", "--output", "json")
	assert.NilError(f.t, json.Unmarshal([]byte(out), &m))
	return m
}

// leader waits until the control daemons have a leader and returns it.
func (f *fleet) leader(vms ...ident.VM) (leader ident.VM) {
	f.t.Helper()
	eventually(f.t, func() string {
		out, err := f.run(vms, "control", "list", "--output", "json")
		if err != nil {
			return out
		}
		var m wire.MembershipReply
		if err := json.Unmarshal([]byte(out), &m); err != nil {
			return err.Error()
		}
		for _, v := range m.Voters {
			if v.Leading {
				leader = ident.VM(v.Node)
				return ""
			}
		}
		return "no leader"
	})
	return leader
}

// intentWith writes an intent file with additional workspaces and returns its path.
func (f *fleet) intentWith(extra ...string) string {
	f.t.Helper()
	text, err := os.ReadFile(filepath.Join(f.files.Dir, "intent.ini"))
	assert.NilError(f.t, err)
	for _, name := range extra {
		text = append(text, []byte("\n[workspace "+name+"]\n")...)
	}
	path := filepath.Join(f.t.TempDir(), "intent.ini")
	assert.NilError(f.t, os.WriteFile(path, text, 0o600))
	return path
}

// plan requests a plan for the intent of intentWith from the daemon on a VM, writes it
// to a file and returns the path.
func (f *fleet) plan(at ident.VM, extra ...string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "plan.json")
	f.mustRun([]ident.VM{at}, "plan", "--out", path, f.intentWith(extra...))
	return path
}

// SIGHUP or a second SIGTERM during a graceful shutdown must not cut it short: left to
// their default action, the signals would end the process while calls are running.
func TestSignalsDuringGracefulShutdown(t *testing.T) {
	f := startFleet(t, layoutWithControls(1))
	const vm = ident.VM("katalog-1")
	path := filepath.Join(f.files.Dir, string(vm)+".ini")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	const delay = "[daemon]\nshutdown_delay = 2s\n"
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), "[daemon]\n", delay, 1)), 0o644))
	f.kill(vm)
	f.startDaemon(vm)
	log := filepath.Join(f.files.Dir, string(vm)+".log")
	logged := func(event string) func() string {
		return func() string {
			data, err := os.ReadFile(log)
			if err != nil || !strings.Contains(string(data), event) {
				return fmt.Sprintf("no %s in the log: %v", event, err)
			}
			return ""
		}
	}
	eventually(t, func() string {
		_, err := f.status(vm)
		return errorText(err)
	})
	f.signal(vm, syscall.SIGTERM)
	eventually(t, logged(`"event":1002`))
	f.signal(vm, syscall.SIGHUP)
	f.signal(vm, syscall.SIGTERM)
	assert.NilError(t, f.procs[vm].Wait())
	delete(f.procs, vm)
	assert.Equal(t, logged(`"event":1003`)(), "")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
