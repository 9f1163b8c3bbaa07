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

// fleet is a trial fleet whose daemons and stand-ins run in this process, on
// loopback and with real files.
type fleet struct {
	t       testing.TB
	files   *trial.Fleet
	token   string
	daemons map[ident.VM]*running
	stubs   map[ident.Upstream]*running
	keys    map[ident.Workspace]string
	changes int
	client  *http.Client
	cuts    *cuts
	log     *buffer
}

// buffer takes the logs of all daemons.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// mustKeepSecrets fails if a key or the operator's token stands in a log or
// in a trace.
func (f *fleet) mustKeepSecrets() {
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
		assert.Assert(f.t, !bytes.Contains(text, []byte(f.token)), "the operator's token stands in %s", where)
		for w, key := range f.keys {
			assert.Assert(f.t, !bytes.Contains(text, []byte(key)), "the key of %s stands in %s", w, where)
		}
	}
}

// running is one daemon or stand-in.
type running struct {
	daemon *Daemon
	stop   context.CancelFunc
	done   chan error
}

func (r *running) end(t testing.TB) {
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
		keys: map[ident.Workspace]string{}, cuts: newCuts(files), log: &buffer{}, client: &http.Client{Timeout: 20 * time.Second},
	}
	for _, d := range files.Daemons {
		f.startDaemon(d)
	}
	for _, s := range files.Stubs {
		f.startStub(s)
	}
	t.Cleanup(f.end)
	return f
}

func (f *fleet) end() {
	for _, r := range f.stubs {
		r.end(f.t)
	}
	for _, r := range f.daemons {
		r.end(f.t)
	}
	f.client.CloseIdleConnections()
	f.mustKeepSecrets()
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
	dm, err := newWith(cfg, log, f.cuts.wrap(d.VM))
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{daemon: dm, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- dm.Run(ctx) }()
	f.daemons[d.VM] = r
}

func (f *fleet) stopDaemon(vm ident.VM) {
	f.t.Helper()
	f.daemons[vm].end(f.t)
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

// eventually waits until check returns "" and fails with what it said last.
func eventually(t testing.TB, check func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if why := check(); why != "" {
			return poll.Continue("%s", why)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(40*time.Second))
}

// ask calls the administration API of a VM.
func ask[T any](f *fleet, vm ident.VM, method, path string, body any) (answer T, p admin.Problem, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answer, p, err
	}
	req, err := http.NewRequest(method, "http://"+f.vm(vm).Addresses["admin"]+path, bytes.NewReader(data))
	if err != nil {
		return answer, p, err
	}
	req.Header.Set("Authorization", "Bearer "+f.token)
	resp, err := f.client.Do(req)
	if err != nil {
		return answer, p, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, p, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer, p, json.Unmarshal(text, &p)
	}
	return answer, p, json.Unmarshal(text, &answer)
}

func (f *fleet) changeID() ident.ChangeID {
	f.changes++
	return ident.ChangeID(fmt.Sprintf("change-%d", f.changes))
}

const anyControl = ident.VM("control-1")

// ready waits until every daemon and upstream is known.
func (f *fleet) ready() {
	f.t.Helper()
	eventually(f.t, func() string {
		s, _, err := ask[admin.Status](f, anyControl, "GET", "/v1/status", nil)
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
	plan, p, err := ask[admin.Plan](f, anyControl, "POST", "/v1/plans", admin.PlanRequest{Name: "intent", Text: text})
	assert.NilError(f.t, err)
	assert.Equal(f.t, p.Detail, "")
	q := admin.Confirmation{ChangeID: f.changeID(), Base: plan.Base, Patch: plan.Patch}
	f.accepted(ask[state.Result](f, anyControl, "POST", "/v1/confirmations", q))
	f.inForce()
}

func (f *fleet) accepted(r state.Result, p admin.Problem, err error) {
	f.t.Helper()
	assert.NilError(f.t, err)
	assert.Equal(f.t, p.Detail, "")
	assert.Equal(f.t, r.Outcome, state.OutcomeAccepted)
}

// inForce waits until every daemon has the newest revision.
func (f *fleet) inForce() {
	f.t.Helper()
	eventually(f.t, func() string {
		newest := ident.Revision(0)
		for _, r := range f.daemons {
			newest = max(newest, r.daemon.board.Config.Read().State.Revision)
		}
		for vm, r := range f.daemons {
			if have := r.daemon.board.Config.Read().State.Revision; have != newest {
				return fmt.Sprintf("%s has revision %d, the newest is %d", vm, have, newest)
			}
		}
		return ""
	})
}

func (f *fleet) grantKey(w ident.Workspace) ident.KeyID {
	f.t.Helper()
	key := fmt.Sprintf("key-of-%s-%d", w, f.changes)
	digest := ident.DigestKey(key)
	q := admin.KeyGrant{ChangeID: f.changeID(), Digest: digest, Workspace: w}
	f.accepted(ask[state.Result](f, anyControl, "POST", "/v1/keys", q))
	f.keys[w] = key
	f.inForce()
	return ident.PublicID(digest)
}

// setUp confirms the layout's intent and grants a key to every workspace. It
// returns when actions can be claimed, too.
func (f *fleet) setUp() {
	f.t.Helper()
	f.ready()
	text, err := os.ReadFile(filepath.Join(f.files.Dir, "intent.ini"))
	assert.NilError(f.t, err)
	intent := strings.Replace(string(text), "[limits]\n", "[limits]\nbody_limit = 1048576\n", 1)
	f.confirm(intent + "\n[workspace nogrant]\n")
	for _, w := range []ident.Workspace{"mlyn", "skauti", "hrad", "nogrant"} {
		f.grantKey(w)
	}
	f.recordsReady()
}

func (f *fleet) recordsReady() {
	f.t.Helper()
	eventually(f.t, func() string {
		total := 0
		for vm, r := range f.daemons {
			ready, all := r.daemon.records.ReplicaCounts()
			if ready != all {
				return fmt.Sprintf("%s answers for %d of %d groups", vm, ready, all)
			}
			total += all
		}
		if want := 2 * state.GroupsPerDataCentre; total < want {
			return fmt.Sprintf("%d replicas, want at least %d", total, want)
		}
		return ""
	})
}

// request is one call of a test.
type request struct {
	at        ident.VM
	method    string
	path      string
	workspace ident.Workspace
	action    string
	body      string
	header    map[string]string
}

// answer is what the caller got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	problem proxy.Problem
	reply   stub.Reply
	err     error
}

func (f *fleet) call(q request) (a answer) {
	if q.method == "" {
		q.method = http.MethodGet
	}
	req, err := http.NewRequest(q.method, "http://"+f.vm(q.at).Addresses["caller"]+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	a = answer{status: resp.StatusCode, header: resp.Header}
	if a.body, a.err = io.ReadAll(resp.Body); a.err != nil {
		return a
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		a.err = json.Unmarshal(a.body, &a.problem)
		return a
	}
	_ = json.Unmarshal(a.body, &a.reply) // only stand-ins answer so
	return a
}

func mustWhole(t testing.TB, a answer, path string) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
	assert.Equal(t, a.reply.Path, path)
}

func mustRefuse(t testing.TB, a answer, status int, reason string, notRun bool) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, status, "%s", a.body)
	assert.Equal(t, string(a.problem.Reason), reason)
	assert.Equal(t, a.problem.NotRun, notRun)
}
