package daemon

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// fragile is an upstream that dies of some requests, and its supervisor, who
// starts it again.
type fragile struct {
	t       testing.TB
	address string
	deaths  atomic.Int64
	srv     atomic.Pointer[http.Server]
}

func newFragile(t testing.TB) *fragile {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fragile{t: t, address: ln.Addr().String()}
	f.serve(ln)
	return f
}

func (f *fragile) serve(ln net.Listener) {
	srv := &http.Server{Handler: http.HandlerFunc(f.handle)}
	f.srv.Store(srv)
	go func() { _ = srv.Serve(ln) }()
}

func (f *fragile) handle(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "poison") {
		f.deaths.Add(1)
		_ = f.srv.Load().Close()
		return
	}
	_, _ = fmt.Fprintf(w, `{"path":%q}`, r.URL.Path)
}

func (f *fragile) restart() {
	f.t.Helper()
	ln, err := net.Listen("tcp", f.address)
	assert.NilError(f.t, err)
	f.serve(ln)
}

// TestRequestThatCrashesUpstreams is sent again and again, by a caller who
// does not give up: after two deaths no upstream runs it, wherever it enters,
// while other requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	layout := trial.Small()
	layout.Services[1].Servers = 3 // katalog
	f := newFleet(t, layout)
	f.setUp()
	upstreams := map[ident.VM]*fragile{}
	for _, vm := range []ident.VM{"katalog-1", "katalog-2", "katalog-3"} {
		f.stubs[ident.Upstream(vm)].end(t)
		delete(f.stubs, ident.Upstream(vm))
		upstreams[vm] = newFragile(t)
	}
	f.announceAll("katalog", upstreams)
	bad := request{path: "/katalog/poison", workspace: "mlyn", at: "grafika-1"}
	f.call(bad)
	deaths := func() (n int64) {
		for _, u := range upstreams {
			n += u.deaths.Load()
		}
		return n
	}
	eventually(t, func() string {
		for _, d := range f.files.Daemons {
			bad.at = d.VM
			if a := f.call(bad); a.problem.Reason != "crash_suspect" || !a.problem.NotRun {
				return fmt.Sprintf("%s answers %d %s", d.VM, a.status, a.body)
			}
		}
		return ""
	})
	assert.Assert(t, deaths() <= 2, "%d deaths", deaths())
	for _, u := range upstreams {
		if u.deaths.Load() > 0 {
			u.restart()
		}
	}
	f.announceAll("katalog", upstreams)
	for i := range 20 {
		path := fmt.Sprintf("/katalog/good-%d", i)
		mustWhole(t, f.call(request{at: "grafika-2", path: path, workspace: "mlyn"}), path)
	}
}

// announceAll speaks for several upstreams until the whole fleet knows them.
func (f *fleet) announceAll(svc ident.Service, upstreams map[ident.VM]*fragile) {
	f.t.Helper()
	eventually(f.t, func() string {
		for vm, u := range upstreams {
			f.announceOnce(vm, fmt.Sprintf(`{"service":%q,"upstream":"fragile-%s","address":%q,"slots":5}`, svc, vm, u.address))
		}
		for _, r := range f.daemons {
			known := r.daemon.board.Members.Read().ByService[svc]
			if len(known) != len(upstreams) {
				return "not all known everywhere"
			}
			for _, e := range known {
				if !strings.HasPrefix(string(e.Upstream.ID), "fragile-") {
					return "an old one is still known"
				}
			}
		}
		return ""
	})
}

func (f *fleet) announceOnce(vm ident.VM, body string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.vm(vm).Addresses["local"]+"/-/upstream", strings.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := f.client.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
}
