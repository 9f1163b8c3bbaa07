package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/stub"
	"chicorymast/platform"

	"gotest.tools/v3/assert"
)

// mesh is a fleet as on the platform: with settings from the templates in deploy/
// and a loopback address for each VM.
type mesh struct {
	t       *testing.T
	dir     string
	seeds   []string
	daemons map[string]*meshVM
	client  *http.Client
	// noTimeout is the HTTP client of the servers, without a timeout.
	noTimeout *http.Client
	requests  int
	log       *logBuffer
}

// meshVM is a VM with a daemon and, beside most, a server.
type meshVM struct {
	name, zone, ip string
	run            *running
	server         *stub.Server
	listener       *httptest.Server
	api            platform.Client

	mu     sync.Mutex
	latest proxy.Announcement
	// silent stops the regular announcements.
	silent atomic.Bool
}

const (
	portControl  = 17000
	portInbound  = 17001
	portOutbound = 17002
	portReady    = 17003
	portAPI      = 17004
)

func (vm *meshVM) addr(port int) string { return fmt.Sprintf("%s:%d", vm.ip, port) }

func newMesh(t *testing.T) *mesh {
	t.Helper()
	return newMeshOf(t, "core-1", "core-2", "core-3", "shop-1", "shop-2", "stock-1", "stock-2", "rate-1")
}

func newMeshOf(t *testing.T, vms ...string) *mesh {
	t.Helper()
	m := &mesh{
		t: t, dir: t.TempDir(), daemons: map[string]*meshVM{}, log: &logBuffer{},
		client: &http.Client{Timeout: 10 * time.Second}, noTimeout: &http.Client{},
	}
	// The pid in the addresses keeps concurrent test processes apart.
	pid := os.Getpid()
	for i, name := range vms {
		vm := &meshVM{name: name, zone: []string{"east", "west"}[i%2], ip: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i+1)}
		vm.api = platform.Client{Address: vm.addr(portAPI), HTTP: m.client}
		m.daemons[name] = vm
		if strings.HasPrefix(name, "core") {
			m.seeds = append(m.seeds, vm.addr(portAPI))
		}
	}
	for _, vm := range m.daemons {
		m.start(vm, true)
	}
	t.Cleanup(m.shutdown)
	return m
}

func (m *mesh) shutdown() {
	for _, vm := range m.daemons {
		if vm.run != nil {
			vm.run.shutdown(m.t)
		}
		if vm.listener != nil {
			vm.listener.Close()
			assert.DeepEqual(m.t, vm.server.Violations(), []string(nil))
		}
	}
	m.client.CloseIdleConnections()
	m.noTimeout.CloseIdleConnections()
}

// settings fills in a template as the platform does.
func (m *mesh) settings(vm *meshVM, bootstrap bool) string {
	file, dataDir := "daemon.ini", ""
	if strings.HasPrefix(vm.name, "core") {
		file, dataDir = "control.ini", filepath.Join(m.dir, vm.name)
	}
	service, _, _ := strings.Cut(vm.name, "-")
	filled := fillTemplate(m.t, file, map[string]string{
		"{{node}}": vm.name, "{{zone}}": vm.zone, "{{service}}": service, "{{ip}}": vm.ip,
		"{{listen.outbound}}": vm.addr(portOutbound), "{{listen.inbound}}": vm.addr(portInbound),
		"{{listen.control}}": vm.addr(portAPI), "{{listen.ready}}": vm.addr(portReady),
		"{{seeds}}": strings.Join(m.seeds, ","), "{{bootstrap}}": fmt.Sprint(bootstrap), "{{data_dir}}": dataDir,
	})
	return strings.Replace(filled, "shutdown_delay = 2500ms", "shutdown_delay = 300ms", 1)
}

func (m *mesh) start(vm *meshVM, bootstrap bool) {
	m.t.Helper()
	cfg, err := config.Parse(vm.name+".ini", []byte(m.settings(vm, bootstrap)))
	assert.NilError(m.t, err)
	log, err := event.Open(m.log, "info", "json")
	assert.NilError(m.t, err)
	d, err := New(cfg, log)
	assert.NilError(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	vm.run = &running{daemon: d, stop: cancel, done: make(chan error, 1)}
	go func(r *running) { r.done <- d.Run(ctx) }(vm.run)
}

// serve starts the server beside a daemon and announces it regularly.
func (m *mesh) serve(name string, calls ...stub.ChildCall) {
	m.t.Helper()
	vm := m.daemons[name]
	service, _, _ := strings.Cut(name, "-")
	vm.server = stub.NewServer(stub.ServerOptions{
		Dialect: platform.Dialect(), Service: ident.Service(service), Upstream: ident.Upstream("i-" + name), Slots: 8,
		ServiceTime: 2 * time.Millisecond, Calls: calls, Outbound: vm.addr(portOutbound), Client: m.noTimeout,
	})
	ln, err := net.Listen("tcp", vm.ip+":0")
	assert.NilError(m.t, err)
	vm.listener = &httptest.Server{Listener: ln, Config: &http.Server{Handler: vm.server}}
	vm.listener.Start()
	vm.latest = proxy.Announcement{
		Service: ident.Service(service), Upstream: ident.Upstream("i-" + name), Address: ln.Addr().String(), Slots: 8, StartedMs: 1000,
	}
	m.announce(vm)
	stop := vm.run.daemon.clock.Every(300*time.Millisecond, func(time.Time) {
		if !vm.silent.Load() {
			m.announce(vm)
		}
	})
	m.t.Cleanup(stop)
}

// announce sends the announcement of a server, one at a time.
func (m *mesh) announce(vm *meshVM) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.latest.Sequence++
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = vm.api.Announce(ctx, vm.latest) // repeated by the timer
}

// update changes the announcement of a server and sends it.
func (m *mesh) update(vm *meshVM, f func(a *proxy.Announcement)) {
	vm.mu.Lock()
	f(&vm.latest)
	vm.mu.Unlock()
	m.announce(vm)
}

// document returns a configuration with the services of the mesh; keys are mlyn's.
func document(version, base int, keys string) []byte {
	rule := func(host, kind, service string, public bool) string {
		return fmt.Sprintf(`{"host":"%s.example","rules":[{"name":"r-%s","type":"%s","target_latency":"1s","priority":1,"public":%t,
			"match":{"path_prefix":"/%s/"},"action":{"service":"%s","timeout":"3s","max_attempts":2}}]}`, host, host, kind, public, host, service)
	}
	return fmt.Appendf(nil, `{"version":%d,"base_version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,
		"header_timeout":"3s","idle_timeout":"15s"},
		"tenants":[{"name":"mlyn","api_keys":[%s],"priority":1,"rate_per_s":1000,"burst":1000},
		{"name":"hrad","api_keys":["key-hrad"],"priority":1,"rate_per_s":2,"burst":3}],
		"listeners":[%s,%s,%s,%s],"clusters":[{"name":"shop"},{"name":"stock"},{"name":"rate"}]}`, version, base, keys,
		rule("shop", "idempotent", "shop", false), rule("order", "non_idempotent", "shop", false),
		rule("stock", "idempotent", "stock", true), rule("rate", "idempotent", "rate", true))
}

// put sends a document until there is no error and no 503, and returns the status.
func (m *mesh) put(vm string, text []byte) (status int) {
	m.t.Helper()
	eventually(m.t, func() string {
		var err error
		status, err = m.daemons[vm].api.PutDocument(m.t.Context(), text)
		if err != nil || status == http.StatusServiceUnavailable {
			return fmt.Sprint(status, err)
		}
		return ""
	})
	return status
}

// meshResponse is the response to a client of the mesh.
type meshResponse struct {
	id, body, signature string
	status              int
	header              http.Header
}

func (m *mesh) call(vm, method, host, path, key string, body []byte) (got meshResponse) {
	m.t.Helper()
	d := platform.Dialect()
	req, err := http.NewRequest(method, "http://"+m.daemons[vm].addr(portOutbound)+path, bytes.NewReader(body))
	assert.NilError(m.t, err)
	m.requests++
	got.id = fmt.Sprintf("attempt-%d", m.requests)
	req.Host = host
	req.Header.Set(d.Action, got.id)
	req.Header.Set(d.Timeout, "2000")
	req.Header.Set(d.Caller, "forged")
	req.Header.Set(d.Workspace, "forged")
	if key != "" {
		req.Header.Set("Authorization", d.KeyScheme+" "+key)
	}
	resp, err := m.client.Do(req)
	assert.NilError(m.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(m.t, err)
	got.status, got.header, got.signature, got.body = resp.StatusCode, resp.Header, resp.Header.Get(d.Signature), string(data)
	return got
}

// runs returns how many times the servers ran a request.
func (m *mesh) runs(id string) (total int) {
	for _, vm := range m.daemons {
		if vm.server != nil {
			n, _ := vm.server.Runs(id)
			total += n
		}
	}
	return total
}

func (m *mesh) isReady(vm string) bool {
	resp, err := m.client.Get("http://" + m.daemons[vm].addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *mesh) waitReady() {
	m.t.Helper()
	eventually(m.t, func() string {
		for name := range m.daemons {
			if !strings.HasPrefix(name, "core") && !m.isReady(name) {
				return name + " is not ready"
			}
		}
		return ""
	})
}

// TestMesh simulates the operator, the servers and the clients of the platform for
// a fleet with the settings templates of the deployment.
func TestMesh(t *testing.T) {
	m := newMesh(t)
	assert.Assert(t, !m.isReady("shop-1"), "ready without a configuration")
	m.serve("shop-1", stub.ChildCall{Host: "stock.example", Path: "/stock/x"})
	m.serve("shop-2", stub.ChildCall{Host: "stock.example", Path: "/stock/x"})
	m.serve("stock-1", stub.ChildCall{Host: "rate.example", Path: "/rate/y"}, stub.ChildCall{Host: "rate.example", Path: "/rate/z"})
	m.serve("stock-2", stub.ChildCall{Host: "rate.example", Path: "/rate/y"}, stub.ChildCall{Host: "rate.example", Path: "/rate/z"})
	m.serve("rate-1")
	assert.Equal(t, m.put("core-1", document(3, 0, `"key-mlyn","key-old"`)), http.StatusOK)
	m.waitReady()
	t.Run("a call over three hops gets a complete response", func(t *testing.T) { m.testHops(t) })
	t.Run("documents", func(t *testing.T) { m.testDocuments(t) })
	t.Run("refusals", func(t *testing.T) { m.testMeshRefusals(t) })
	t.Run("a draining server gets no new calls", func(t *testing.T) { m.testMeshDrain(t) })
	t.Run("a server that says it leaves gets no new calls", func(t *testing.T) { m.testLeaving(t) })
	t.Run("invalid announcements change nothing", func(t *testing.T) { m.testInvalid(t) })
	t.Run("a change among many routes is sent as a delta", func(t *testing.T) { m.testDelta(t) })
	t.Run("servers stop a run when its caller disconnects", func(t *testing.T) { m.testCancel(t) })
	t.Run("a stopping daemon serves calls during the shutdown delay", func(t *testing.T) { m.testStop(t) })
}

func (m *mesh) testHops(t *testing.T) {
	const path = "/shop/a%2Fb//c%20d?q=%2F&empty="
	eventually(t, func() string {
		got := m.call("rate-1", "GET", "shop.example", path, "key-mlyn", nil)
		if got.status != http.StatusOK {
			return got.body // the directory is still incomplete
		}
		return ""
	})
	body := bytes.Repeat([]byte("x"), 100_000)
	got := m.call("rate-1", "PATCH", "shop.example", path, "key-mlyn", body)
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, got.body, "PATCH "+path+" 100000 mlyn rate")
	assert.Assert(t, strings.HasSuffix(got.signature, "."+got.id), got.signature)
	assert.Equal(t, m.runs(got.id), 1)
	assert.Equal(t, m.runs(got.id+"-shop0"), 1)
	assert.Equal(t, m.runs(got.id+"-shop0-stock1"), 1)
}

func (m *mesh) testDocuments(t *testing.T) {
	first := document(3, 0, `"key-mlyn","key-old"`)
	assert.Equal(t, m.put("core-2", first), http.StatusOK, "a repeated document is acknowledged anywhere")
	assert.Equal(t, m.put("core-3", document(4, 2, `"other"`)), http.StatusPreconditionFailed)
	assert.Equal(t, m.put("core-3", document(3, 3, `"other"`)), http.StatusBadRequest)
	assert.Equal(t, m.put("core-3", []byte(`{"version":9,"base_version":3`)), http.StatusBadRequest)
	next := document(7, 3, `"key-mlyn"`)
	assert.Equal(t, m.put("core-3", next), http.StatusOK)
	assert.Equal(t, m.put("core-1", next), http.StatusOK)
	eventually(t, func() string {
		if got := m.call("shop-1", "GET", "shop.example", "/shop/1", "key-old", nil); got.status != http.StatusUnauthorized {
			return fmt.Sprint("a withdrawn key still gets status ", got.status)
		}
		return ""
	})
	for _, core := range []string{"core-1", "core-2", "core-3"} {
		text, status, err := m.daemons[core].api.GetDocument(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(text), string(compactJSON(t, next)))
	}
}

func (m *mesh) testMeshRefusals(t *testing.T) {
	assert.Equal(t, m.call("shop-1", "GET", "shop.example", "/shop/1", "", nil).status, http.StatusUnauthorized)
	assert.Equal(t, m.call("shop-1", "GET", "shop.example", "/shop/1", "nobody's", nil).status, http.StatusUnauthorized)
	assert.Equal(t, m.call("shop-1", "GET", "shop.example", "/other/1", "key-mlyn", nil).status, http.StatusNotFound)
	assert.Equal(t, m.call("shop-1", "GET", "other.example", "/shop/1", "key-mlyn", nil).status, http.StatusNotFound)
	assert.Equal(t, m.call("shop-1", "POST", "order.example", "/order/1", "key-mlyn", make([]byte, 2<<20)).status, http.StatusRequestEntityTooLarge)
	refused := 0
	for range 40 {
		got := m.call("shop-1", "POST", "order.example", "/order/1", "key-hrad", nil)
		if got.status == http.StatusTooManyRequests {
			refused++
			assert.Equal(t, m.runs(got.id), 0, "a refused call must not run")
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
	}
	assert.Assert(t, refused > 0, "a workspace above its rate was never refused")
}

func (m *mesh) testMeshDrain(t *testing.T) {
	vm := m.daemons["shop-1"]
	m.update(vm, func(a *proxy.Announcement) { a.Draining = true })
	_, before := vm.server.Runs("")
	for range 20 {
		got := m.call("shop-1", "GET", "shop.example", "/shop/1", "key-mlyn", nil)
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	}
	_, after := vm.server.Runs("")
	assert.Equal(t, after, before)
	// A new process of the server with the same id gets calls again.
	m.update(vm, func(a *proxy.Announcement) { a.Draining, a.StartedMs, a.Sequence = false, a.StartedMs+1, 0 })
	assert.Equal(t, vm.run.daemon.board.Upstream.Read().Phase, member.PhaseUp)
}

func (m *mesh) testInvalid(t *testing.T) {
	vm := m.daemons["stock-1"]
	before := *vm.run.daemon.board.Upstream.Read()
	for _, body := range []string{"", "{", `{"address":7}`, `{"address":"127.0.0.1:1","info":{"service":"nobody","slots":1},"status":{"state":"ready"}}`} {
		req, err := http.NewRequest("PUT", "http://"+vm.addr(portAPI)+"/instances/foreign", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := m.client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "%s", body)
	}
	assert.Equal(t, *vm.run.daemon.board.Upstream.Read(), before)
}

// testStop stops a daemon: it must report that it is not ready, and go on serving
// during the shutdown delay, but not on a connection that was opened before.
func (m *mesh) testStop(t *testing.T) {
	vm := m.daemons["shop-2"]
	eventually(t, func() string {
		// The other server has just ended its drain.
		if n := len(vm.run.daemon.board.Members.Read().ByService["shop"]); n != 2 {
			return fmt.Sprintf("%d servers of shop are known", n)
		}
		return ""
	})
	opened, err := net.Dial("tcp", vm.addr(portOutbound))
	assert.NilError(t, err)
	defer opened.Close()
	vm.run.stop()
	eventually(t, func() string {
		if m.isReady("shop-2") {
			return "still ready"
		}
		return ""
	})
	got := m.call("shop-2", "GET", "shop.example", "/shop/1", "key-mlyn", nil)
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	m.mustRefuseLate(t, vm, opened)
	assert.NilError(t, <-vm.run.done)
	vm.run = nil
}
