// Package crowd has tests of daemons, as processes of their own, under many callers that
// each send a legal message head of very many short or odd lines.
//
// # Usage
//
//	go test ./io/crowd
//
// Each test checks what does not depend on the machine's speed: the process survives, its
// peak resident memory and its open descriptors stay under a bound, and an ordinary request
// is answered afterwards. The tests run one at a time, since each takes the memory that it
// measures; none may call t.Parallel, and no other package may hold such a test.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// connections is the number of callers in each crowd.
	connections = 200
	// memoryLimitMB is what the daemon under test may take, as its settings say.
	memoryLimitMB = 64
	// maxResidentKB bounds the peak of the resident memory of the daemon under test.
	maxResidentKB = memoryLimitMB << 10
	// maxDescriptors bounds the open descriptors of the daemon under test: its listeners and
	// files, and for each caller the connections of a call by way of the entry, the peer and
	// the upstream, all of which end in this one process.
	maxDescriptors = 64 + 4*connections
	// headBytes is the size of a head within the default of header_limit.
	headBytes = 32_752
	// patience is how long a condition may take that must come about in the end.
	patience = 30 * time.Second

	daemonVM      = ident.VM("katalog-1")
	operatorToken = "operator-token-of-the-crowd"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
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

// victim is a fleet of a control daemon and the daemon under test, which is beside the
// scripted upstream and at the same time the entry of all calls.
type victim struct {
	t      testing.TB
	files  *trial.Fleet
	daemon *trial.Daemon
	ready  string
	proc   *exec.Cmd
	// resident in kB and descriptors are those of the daemon before the crowd comes.
	resident, descriptors int
	exited                chan struct{}
	upstream              *upstream
}

// startVictim starts a fleet. The settings are added to the section [calls] of the daemon
// under test.
func startVictim(t *testing.T, settings ...string) *victim {
	t.Helper()
	layout := trial.Layout{
		DataCentres:    []ident.DataCentre{"kosice-1"},
		ControlDaemons: 1,
		Services:       []trial.Service{{Name: "katalog", Servers: 1, Slots: 2 * connections, MeanServiceTime: time.Millisecond}},
		Routes: []trial.Route{
			{Name: "item", Method: "GET", Path: "/katalog/{id}", Service: "katalog", Idempotent: true, Class: ident.ClassNormal},
			{Name: "store", Method: "POST", Path: "/katalog/{id}", Service: "katalog", Idempotent: true, Class: ident.ClassNormal},
		},
	}
	files, err := trial.Write(t.TempDir(), layout, string(ident.DigestKey(operatorToken)))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(files.Dir, "token"), []byte(operatorToken), 0o600))
	v := &victim{t: t, files: files, exited: make(chan struct{})}
	v.daemon = files.Daemons[len(files.Daemons)-1]
	// The control daemon has no upstream, so its local address is free for the readiness probe.
	v.ready = files.Daemons[0].Addresses["local"]
	v.edit("control-1.ini", "local = "+v.ready+"\n", "")
	v.edit(string(daemonVM)+".ini", "[daemon]\n", fmt.Sprintf("[daemon]\nmemory_limit_mb = %d\n", memoryLimitMB))
	v.edit(string(daemonVM)+".ini", "[trace]\n", fmt.Sprintf("[calls]\nheader_timeout = 60s\n%s\n\n[platform]\nready = %s\n\n[trace]\n",
		strings.Join(settings, "\n"), v.ready))
	v.edit("intent.ini", "timeout = 5s", "timeout = 60s")
	v.start("control-1")
	v.proc = v.start(daemonVM)
	go func() {
		_ = v.proc.Wait() // whether it ended is all that matters
		close(v.exited)
	}()
	v.upstream = startUpstream(t, v.daemon)
	v.confirm()
	v.assertServes()
	v.resident, v.descriptors = v.status("VmRSS"), v.openFiles()
	return v
}

func (v *victim) edit(name, from, to string) {
	v.t.Helper()
	path := filepath.Join(v.files.Dir, name)
	text, err := os.ReadFile(path)
	assert.NilError(v.t, err)
	assert.Assert(v.t, strings.Contains(string(text), from))
	assert.NilError(v.t, os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

func (v *victim) start(vm ident.VM) *exec.Cmd {
	v.t.Helper()
	log, err := os.Create(filepath.Join(v.files.Dir, string(vm)+".log"))
	assert.NilError(v.t, err)
	defer log.Close()
	cmd := exec.Command(binary, "daemon", "--config", filepath.Join(v.files.Dir, string(vm)+".ini"))
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(v.t, cmd.Start())
	v.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if vm == daemonVM {
			<-v.exited
			return
		}
		_ = cmd.Wait()
	})
	return cmd
}

// confirm puts the configuration into force.
func (v *victim) confirm() {
	v.t.Helper()
	plan := filepath.Join(v.files.Dir, "plan.json")
	eventually(v.t, func() string { return v.run("plan", "--out", plan, filepath.Join(v.files.Dir, "intent.ini")) })
	eventually(v.t, func() string { return v.run("confirm", "--change-id", "c1", plan) })
}

// run runs an operator's command and returns what went wrong.
func (v *victim) run(args ...string) string {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "CHICORYMAST_SERVER="+v.files.Daemons[0].Addresses["admin"],
		"CHICORYMAST_TOKEN_FILE="+filepath.Join(v.files.Dir, "token"))
	if out, err := cmd.CombinedOutput(); err != nil {
		return string(out) + err.Error()
	}
	return ""
}

// eventually waits until check returns "", or fails the test with its last text.
func eventually(t testing.TB, check func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason := check(); reason != "" {
			return poll.Continue("%s", reason)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(patience))
}

// assertServes asserts that the daemon lives and answers an ordinary request in the end.
func (v *victim) assertServes() {
	v.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(v.t, func() string {
		select {
		case <-v.exited:
			v.t.Fatalf("the daemon has ended: %s", v.proc.ProcessState)
		default:
		}
		resp, err := client.Get("http://" + v.daemon.Addresses["caller"] + "/katalog/plain")
		if err != nil {
			return err.Error()
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return resp.Status
		}
		return ""
	})
}

// status returns a value in kB of the status of the daemon's process.
func (v *victim) status(key string) int {
	v.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.proc.Process.Pid))
	assert.NilError(v.t, err)
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == key+":" {
			n, err := strconv.Atoi(fields[1])
			assert.NilError(v.t, err)
			return n
		}
	}
	v.t.Fatalf("the process has no %s: it has ended", key)
	return 0
}

func (v *victim) openFiles() int {
	v.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.proc.Process.Pid))
	assert.NilError(v.t, err)
	return len(entries)
}

// assertWithstands runs a crowd to the moment at which all of it is held by the daemon, ends
// it, and asserts what must hold of the daemon.
func (v *victim) assertWithstands(hold, release func()) {
	v.t.Helper()
	hold()
	descriptors := v.openFiles()
	release()
	v.assertServes()
	peak := v.status("VmHWM")
	v.t.Logf("resident kB: %d before, %d at the peak; descriptors: %d before, %d with the crowd", v.resident, peak, v.descriptors, descriptors)
	assert.Check(v.t, peak <= maxResidentKB, "%d kB resident at the peak, %d allowed", peak, maxResidentKB)
	assert.Check(v.t, descriptors <= maxDescriptors, "%d descriptors, %d allowed", descriptors, maxDescriptors)
	eventually(v.t, func() string {
		if n := v.openFiles(); n > v.descriptors+connections/4 {
			return fmt.Sprintf("%d descriptors, %d before the crowd", n, v.descriptors)
		}
		return ""
	})
}

// end is the end of a connection whose received bytes the daemon reads.
type end int

const (
	listening end = iota
	dialling
)

// awaitTaken waits until the daemon has read all that was sent on the connections with an
// address, of which it is the listening or the dialling end.
func (v *victim) awaitTaken(address string, daemon end) {
	v.t.Helper()
	_, port, err := net.SplitHostPort(address)
	assert.NilError(v.t, err)
	n, err := strconv.Atoi(port)
	assert.NilError(v.t, err)
	suffix := fmt.Sprintf(":%04X", n)
	eventually(v.t, func() string {
		data, err := os.ReadFile("/proc/net/tcp")
		assert.NilError(v.t, err)
		for line := range strings.Lines(string(data)) {
			if unread(line, suffix, daemon) {
				return "bytes are on their way: " + line
			}
		}
		return ""
	})
}

// unread reports whether a line of /proc/net/tcp shows bytes of an established connection
// that the daemon has not read, or that have not arrived there.
func unread(line, suffix string, daemon end) bool {
	const established, none = "01", "00000000"
	f := strings.Fields(line)
	if len(f) < 5 || f[3] != established {
		return false
	}
	sent, received, _ := strings.Cut(f[4], ":")
	atListener, atDialler := strings.HasSuffix(f[1], suffix), strings.HasSuffix(f[2], suffix)
	if daemon == dialling {
		atListener, atDialler = atDialler, atListener
	}
	return atListener && received != none || atDialler && sent != none
}

// crowd is a number of connections to one address.
type crowd struct{ conns []net.Conn }

// gather opens the connections of a crowd.
func (c *crowd) gather(address string) {
	for range connections {
		if conn, err := net.DialTimeout("tcp", address, patience); err == nil { // the daemon may refuse it
			c.conns = append(c.conns, conn)
		}
	}
}

// send sends a text on each connection; connections that the daemon has closed are ignored.
func (c *crowd) send(text string) {
	c.each(func(conn net.Conn) {
		_ = conn.SetWriteDeadline(time.Now().Add(patience))
		_, _ = conn.Write([]byte(text)) // the daemon may close the connection
	})
}

// receive reads a number of responses on each connection, as far as they come.
func (c *crowd) receive(responses int) {
	c.each(func(conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		r := bufio.NewReader(conn)
		for range responses {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

func (c *crowd) each(f func(net.Conn)) {
	var wg sync.WaitGroup
	for _, conn := range c.conns {
		wg.Go(func() { f(conn) })
	}
	wg.Wait()
}

func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
