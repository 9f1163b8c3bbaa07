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

// crashingUpstream is an upstream that crashes on some requests and can be restarted at
// the same address.
type crashingUpstream struct {
	t       testing.TB
	address string
	crashes atomic.Int64
	srv     atomic.Pointer[http.Server]
}

func newCrashingUpstream(t testing.TB) *crashingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &crashingUpstream{t: t, address: ln.Addr().String()}
	u.serve(ln)
	return u
}

func (u *crashingUpstream) serve(ln net.Listener) {
	srv := &http.Server{Handler: http.HandlerFunc(u.handle)}
	u.srv.Store(srv)
	go func() { _ = srv.Serve(ln) }()
}

func (u *crashingUpstream) handle(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "poison") {
		u.crashes.Add(1)
		_ = u.srv.Load().Close()
		return
	}
	_, _ = fmt.Fprintf(w, `{"path":%q}`, r.URL.Path)
}

func (u *crashingUpstream) restart() {
	u.t.Helper()
	ln, err := net.Listen("tcp", u.address)
	assert.NilError(u.t, err)
	u.serve(ln)
}

// TestRequestThatCrashesUpstreams repeats a request that crashes each upstream that
// runs it. After two crashes it must be refused at every entry and must not reach
// another upstream, while other requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	layout := trial.Small()
	layout.Services[1].Servers = 3 // katalog
	f := newFleet(t, layout)
	f.setUp()
	upstreams := map[ident.VM]*crashingUpstream{}
	for _, vm := range []ident.VM{"katalog-1", "katalog-2", "katalog-3"} {
		f.stubs[ident.Upstream(vm)].shutdown(t)
		delete(f.stubs, ident.Upstream(vm))
		upstreams[vm] = newCrashingUpstream(t)
	}
	f.announceAll("katalog", upstreams)
	bad := request{path: "/katalog/poison", workspace: "mlyn", entry: "grafika-1"}
	f.call(bad)
	crashes := func() (n int64) {
		for _, u := range upstreams {
			n += u.crashes.Load()
		}
		return n
	}
	eventually(t, func() string {
		for _, d := range f.files.Daemons {
			bad.entry = d.VM
			if got := f.call(bad); got.problem.Reason != "crash_suspect" || !got.problem.NotRun {
				return fmt.Sprintf("%s returns %d %s", d.VM, got.status, got.body)
			}
		}
		return ""
	})
	assert.Assert(t, crashes() <= 2, "%d crashes", crashes())
	for _, u := range upstreams {
		if u.crashes.Load() > 0 {
			u.restart()
		}
	}
	f.announceAll("katalog", upstreams)
	for i := range 20 {
		path := fmt.Sprintf("/katalog/good-%d", i)
		mustSucceed(t, f.call(request{entry: "grafika-2", path: path, workspace: "mlyn"}), path)
	}
}

// announceAll announces upstreams until all daemons know exactly these.
func (f *fleet) announceAll(svc ident.Service, upstreams map[ident.VM]*crashingUpstream) {
	f.t.Helper()
	eventually(f.t, func() string {
		for vm, u := range upstreams {
			f.announceOnce(vm, fmt.Sprintf(`{"service":%q,"upstream":"fragile-%s","address":%q,"slots":5}`, svc, vm, u.address))
		}
		for _, r := range f.daemons {
			known := r.daemon.board.Members.Read().ByService[svc]
			if len(known) != len(upstreams) {
				return "some daemon does not know all upstreams"
			}
			for _, e := range known {
				if !strings.HasPrefix(string(e.Upstream.ID), "fragile-") {
					return "some daemon still knows a replaced upstream"
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
