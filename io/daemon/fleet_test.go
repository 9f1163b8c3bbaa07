package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/stub"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fleet is a trial fleet whose daemons and stub upstreams run in the test process,
// on loopback addresses and with the files that package trial writes. With the
// environment variable FLEET_LOG set, the daemons log to standard error.
type fleet struct {
	t         testing.TB
	files     *trial.Fleet
	token     string
	daemons   map[ident.VM]*running
	stubs     map[ident.Upstream]*running
	keys      map[ident.Workspace]string
	changes   int
	client    *http.Client
	partition *partition
	disks     map[ident.VM]*disk
	log       *logBuffer
}

// logBuffer collects the logs of all daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// mustNotLeakSecrets fails the test if a log or a trace contains a key or the
// operator's token.
func (f *fleet) mustNotLeakSecrets() {
	f.t.Helper()
	texts := map[string][]byte{"the log": f.log.text.Bytes()}
	spans, err := filepath.Glob(filepath.Join(f.files.Dir, "*.spans"))
	assert.NilError(f.t, err)
	for _, path := range spans {
		texts[path], err = os.ReadFile(path)
		assert.NilError(f.t, err)
	}
	assert.Assert(f.t, len(texts["the log"]) > 0)
	for where, text := range texts {
		assert.Assert(f.t, !bytes.Contains(text, []byte(f.token)), "the operator's token is in %s", where)
		for w, key := range f.keys {
			assert.Assert(f.t, !bytes.Contains(text, []byte(key)), "the key of %s is in %s", w, where)
		}
	}
}

// running is a daemon or stub upstream that the test has started.
type running struct {
	daemon *Daemon
	stop   context.CancelFunc
	done   chan error
}

func (r *running) shutdown(t testing.TB) {
	t.Helper()
	r.stop()
	assert.NilError(t, <-r.done)
}

func newFleet(t testing.TB, l trial.Layout) *fleet {
	t.Helper()
	const token = "operator-token-of-the-test"
	files, err := trial.Write(t.TempDir(), l, string(ident.DigestKey(token)))
	assert.NilError(t, err)
	f := &fleet{
		t: t, files: files, token: token, daemons: map[ident.VM]*running{}, stubs: map[ident.Upstream]*running{},
		keys: map[ident.Workspace]string{}, partition: newPartition(files),
		disks: map[ident.VM]*disk{}, log: &logBuffer{}, client: &http.Client{Timeout: 20 * time.Second},
	}
	for _, d := range files.Daemons {
		f.disks[d.VM] = &disk{}
		f.startDaemon(d)
	}
	for _, s := range files.Stubs {
		f.startStub(s)
	}
	t.Cleanup(f.shutdown)
	return f
}

func (f *fleet) shutdown() {
	for _, r := range f.stubs {
		r.shutdown(f.t)
	}
	for _, r := range f.daemons {
		r.shutdown(f.t)
	}
	f.client.CloseIdleConnections()
	f.mustNotLeakSecrets()
}

func (f *fleet) startDaemon(d *trial.Daemon) {
	f.t.Helper()
	cfg, err := config.Load(filepath.Join(f.files.Dir, string(d.VM)+".ini"))
	assert.NilError(f.t, err)
	log, err := event.Open(f.log, "debug", "json")
	assert.NilError(f.t, err)
	if os.Getenv("FLEET_LOG") != "" {
		log, err = event.Open(os.Stderr, "info", "console")
		assert.NilError(f.t, err)
	}
	daemon, err := newWrapped(cfg, log, wrappers{dial: f.partition.wrap(d.VM), file: f.disks[d.VM].open})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{daemon: daemon, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- daemon.Run(ctx) }()
	f.daemons[d.VM] = r
}

func (f *fleet) stopDaemon(vm ident.VM) {
	f.t.Helper()
	f.daemons[vm].shutdown(f.t)
	delete(f.daemons, vm)
}

func (f *fleet) startStub(s *trial.Stub) {
	f.t.Helper()
	ln, err := net.Listen("tcp", s.Address)
	assert.NilError(f.t, err)
	st := stub.New(stub.Options{
		Service: s.Service.Name, Upstream: s.Upstream, Address: s.Address, Daemon: s.Daemon.Addresses["local"],
		Slots: s.Service.Slots, MaxOpenCalls: s.Service.MaxOpenCalls, MeanServiceTime: s.Service.MeanServiceTime, Calls: s.Service.Calls, Seed: 1,
	}, func(int) { panic(http.ErrAbortHandler) })
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- st.Run(ctx, ln) }()
	f.stubs[s.Upstream] = r
}

func (f *fleet) vm(vm ident.VM) *trial.Daemon {
	for _, d := range f.files.Daemons {
		if d.VM == vm {
			return d
		}
	}
	f.t.Fatalf("no VM %s", vm)
	return nil
}

// eventually waits until check returns "". After 40 s it fails the test with the
// last text that check returned.
func eventually(t testing.TB, check func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason := check(); reason != "" {
			return poll.Continue("%s", reason)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(40*time.Second))
}

// callAdmin calls the administration API of a VM. It returns the decoded response,
// or the problem if the status is not 200.
func callAdmin[T any](f *fleet, vm ident.VM, method, path string, body any) (result T, p admin.Problem, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return result, p, err
	}
	req, err := http.NewRequest(method, "http://"+f.vm(vm).Addresses["admin"]+path, bytes.NewReader(data))
	if err != nil {
		return result, p, err
	}
	req.Header.Set("Authorization", "Bearer "+f.token)
	resp, err := f.client.Do(req)
	if err != nil {
		return result, p, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, p, err
	}
	if resp.StatusCode != http.StatusOK {
		return result, p, json.Unmarshal(text, &p)
	}
	return result, p, json.Unmarshal(text, &result)
}

func (f *fleet) changeID() ident.ChangeID {
	f.changes++
	return ident.ChangeID(fmt.Sprintf("change-%d", f.changes))
}

const anyControl = ident.VM("control-1")

// waitReady waits until all daemons and upstreams are known and all daemons have a
// confirmed configuration.
func (f *fleet) waitReady() {
	f.t.Helper()
	eventually(f.t, func() string {
		s, _, err := callAdmin[admin.Status](f, anyControl, "GET", "/v1/status", nil)
		upstreams := 0
		for _, line := range s.Services {
			upstreams += line.Upstreams
		}
		for vm, r := range f.daemons {
			if r.daemon.board.Freshness.Read().AsOf.IsZero() {
				return string(vm) + " has no confirmed configuration"
			}
		}
		if err != nil || s.Members != len(f.files.Daemons) || upstreams != len(f.files.Stubs) {
			return fmt.Sprintf("%d of %d daemons, %d of %d upstreams: %v", s.Members, len(f.files.Daemons), upstreams, len(f.files.Stubs), err)
		}
		return ""
	})
}

// confirm plans and confirms an intent and waits until it is in force.
func (f *fleet) confirm(text string) {
	f.t.Helper()
	plan, p, err := callAdmin[admin.Plan](f, anyControl, "POST", "/v1/plans", admin.PlanRequest{Name: "intent", Text: text})
	assert.NilError(f.t, err)
	assert.Equal(f.t, p.Detail, "")
	req := admin.Confirmation{ChangeID: f.changeID(), Base: plan.Base, Patch: plan.Patch}
	f.mustAccept(callAdmin[state.Result](f, anyControl, "POST", "/v1/confirmations", req))
	f.waitInForce()
}

func (f *fleet) mustAccept(r state.Result, p admin.Problem, err error) {
	f.t.Helper()
	assert.NilError(f.t, err)
	assert.Equal(f.t, p.Detail, "")
	assert.Equal(f.t, r.Outcome, state.OutcomeAccepted)
}

// waitInForce waits until all daemons have the newest revision.
func (f *fleet) waitInForce() {
	f.t.Helper()
	eventually(f.t, func() string {
		newest := ident.Revision(0)
		for _, r := range f.daemons {
			newest = max(newest, r.daemon.board.Config.Read().State.Revision)
		}
		for vm, r := range f.daemons {
			if current := r.daemon.board.Config.Read().State.Revision; current != newest {
				return fmt.Sprintf("%s has revision %d, the newest is %d", vm, current, newest)
			}
		}
		return ""
	})
}

func (f *fleet) grantKey(w ident.Workspace) ident.KeyID {
	f.t.Helper()
	key := fmt.Sprintf("key-of-%s-%d", w, f.changes)
	digest := ident.DigestKey(key)
	req := admin.KeyGrant{ChangeID: f.changeID(), Digest: digest, Workspace: w}
	f.mustAccept(callAdmin[state.Result](f, anyControl, "POST", "/v1/keys", req))
	f.keys[w] = key
	f.waitInForce()
	return ident.PublicID(digest)
}

// setUp confirms the intent of the layout, grants a key to each workspace, and waits
// until actions can be claimed.
func (f *fleet) setUp() {
	f.t.Helper()
	f.waitReady()
	text, err := os.ReadFile(filepath.Join(f.files.Dir, "intent.ini"))
	assert.NilError(f.t, err)
	intent := strings.Replace(string(text), "[limits]\n", "[limits]\nbody_limit = 1048576\n", 1)
	f.confirm(intent + "\n[workspace nogrant]\n")
	for _, w := range []ident.Workspace{"mlyn", "skauti", "hrad", "nogrant"} {
		f.grantKey(w)
	}
	f.waitRecordsReady()
}

func (f *fleet) waitRecordsReady() {
	f.t.Helper()
	eventually(f.t, func() string {
		total := 0
		for vm, r := range f.daemons {
			ready, all := r.daemon.records.ReplicaCounts()
			if ready != all {
				return fmt.Sprintf("%s is ready in %d of %d replica groups", vm, ready, all)
			}
			total += all
		}
		if want := 2 * state.GroupsPerDataCentre; total < want {
			return fmt.Sprintf("%d replicas, want at least %d", total, want)
		}
		return ""
	})
}

// request describes a call to a daemon. A request with an action is sent under that
// idempotency key.
type request struct {
	entry     ident.VM
	method    string
	path      string
	workspace ident.Workspace
	action    string
	body      string
	header    map[string]string
}

// response is the result of a call as the caller sees it.
type response struct {
	status  int
	header  http.Header
	body    []byte
	problem proxy.Problem
	reply   stub.Reply
	err     error
}

func (f *fleet) call(q request) (got response) {
	if q.method == "" {
		q.method = http.MethodGet
	}
	req, err := http.NewRequest(q.method, "http://"+f.vm(q.entry).Addresses["caller"]+q.path, strings.NewReader(q.body))
	if err != nil {
		return response{err: err}
	}
	if q.workspace != "" {
		req.Header.Set("Authorization", "Bearer "+f.keys[q.workspace])
	}
	if q.action != "" {
		req.Header["idempotency-key"] = []string{q.action}
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	got = response{status: resp.StatusCode, header: resp.Header}
	if got.body, got.err = io.ReadAll(resp.Body); got.err != nil {
		return got
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		got.err = json.Unmarshal(got.body, &got.problem)
		return got
	}
	_ = json.Unmarshal(got.body, &got.reply) // other upstreams have other bodies
	return got
}

func mustSucceed(t testing.TB, got response, path string) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, got.reply.Path, path)
}

func mustRefuse(t testing.TB, got response, status int, reason string, notRun bool) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, status, "%s", got.body)
	assert.Equal(t, string(got.problem.Reason), reason)
	assert.Equal(t, got.problem.NotRun, notRun)
}
