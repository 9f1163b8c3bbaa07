package daemon

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/stub"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// TestFaultyUpstreams runs one fleet whose upstreams truncate, fail, shed or withhold
// responses.
func TestFaultyUpstreams(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	for name, test := range map[string]func(*testing.T, *fleet){
		"a truncated response never succeeds":          testTruncatedResponses,
		"retries of an action are bounded":             testRetryBound,
		"an action of unknown outcome is not repeated": testUnknownOutcome,
		"the rate limit holds over all VMs":            testFleetWideRate,
		"no call ran that was reported as not run":     testNotRun,
		"a graceful shutdown fails no call":            testGracefulStop,
	} {
		t.Run(name, func(t *testing.T) {
			test(t, f)
			f.setFaults("grafika", stub.Faults{})
			f.setFaults("objednavky", stub.Faults{})
		})
	}
}

// callConcurrently sends n calls concurrently, through the entries in turn.
func (f *fleet) callConcurrently(n int, build func(i int) request) []response {
	responses := make([]response, n)
	entries := []ident.VM{"katalog-1", "katalog-2", "grafika-2", "objednavky-1", "objednavky-2"}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			req := build(i)
			req.entry = entries[i%len(entries)]
			responses[i] = f.call(req)
		})
	}
	wg.Wait()
	return responses
}

func testTruncatedResponses(t *testing.T, f *fleet) {
	f.setFaults("objednavky", stub.Faults{Truncate: 0.5})
	path := func(i int) string { return fmt.Sprintf("/objednavky/cut-%d", i) }
	responses := f.callConcurrently(40, func(i int) request { return request{path: path(i), workspace: "mlyn"} })
	for i, got := range responses {
		if got.err == nil && got.status == http.StatusOK {
			mustSucceed(t, got, path(i))
		}
	}
	f.setFaults("objednavky", stub.Faults{})
	// The retries above have used up the retry budget of the service at this entry;
	// each success restores a tenth of a retry.
	const refillCalls = 120
	for i := range refillCalls {
		mustSucceed(t, f.call(request{entry: "katalog-1", path: path(1000 + i), workspace: "mlyn"}), path(1000+i))
	}
	// While one of two upstreams truncates every response, sequential idempotent
	// calls must all succeed, because they are retried at the other one.
	f.setStubFaults("objednavky-1", stub.Faults{Truncate: 1})
	faulty := f.stub("objednavky-1")
	before := f.ledger(faulty).Served
	const minCalls, maxCalls = 20, 400 // at first routing may avoid it for a while
	called := false
	for i := 0; i < minCalls || (!called && i < maxCalls); i++ {
		mustSucceed(t, f.call(request{entry: "katalog-1", path: path(100 + i), workspace: "mlyn"}), path(100+i))
		called = f.ledger(faulty).Served > before
	}
	assert.Assert(t, called, "the upstream that truncates its responses was never called")
}

func testRetryBound(t *testing.T, f *fleet) {
	before := f.servedCalls("grafika")
	f.setFaults("grafika", stub.Faults{Fail: 1})
	const calls, retries = 10, 3
	f.callConcurrently(calls, func(i int) request { return request{path: fmt.Sprintf("/objednavky/r-%d", i), workspace: "mlyn"} })
	got := f.servedCalls("grafika") - before
	assert.Assert(t, got >= calls && got <= calls*(1+retries), "%d runs for %d actions", got, calls)
}

func (f *fleet) servedCalls(svc ident.Service) (n int) {
	for _, s := range f.files.Stubs {
		if s.Service.Name == svc {
			n += f.ledger(s).Served
		}
	}
	return n
}

func testUnknownOutcome(t *testing.T, f *fleet) {
	f.setFaults("objednavky", stub.Faults{Silent: 1})
	req := request{entry: "katalog-1", method: "POST", path: "/objednavky/9", workspace: "mlyn", action: "silent-9", header: map[string]string{"Request-Timeout": "0.5"}}
	mustRefuse(t, f.call(req), 504, "deadline", false)
	f.setFaults("objednavky", stub.Faults{})
	req.entry = "grafika-2"
	mustRefuse(t, f.call(req), 409, "outcome_unknown", false)
	assert.Equal(t, f.runs("silent-9 /objednavky/9"), 1)
}

// testFleetWideRate sends calls far above the rate through all entries. The calls
// served must not exceed the burst plus the rate times the duration.
func testFleetWideRate(t *testing.T, f *fleet) {
	const rate, burst = 30.0, 30.0 // limits of workspace skauti
	start := time.Now()
	served, refused := 0, 0
	for _, got := range f.callConcurrently(400, func(i int) request { return request{path: fmt.Sprintf("/katalog/x-%d", i), workspace: "skauti"} }) {
		switch {
		case got.status == http.StatusOK:
			served++
		default:
			mustRefuse(t, got, 429, "over_rate", true)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			refused++
		}
	}
	allowed := burst + rate*time.Since(start).Seconds()
	assert.Assert(t, float64(served) <= allowed, "%d served, %.1f allowed", served, allowed)
	assert.Assert(t, refused > 0 && served > 0)
}

// testNotRun lets upstreams shed calls and truncate responses, and compares the
// responses to callers with the runs in the ledgers.
func testNotRun(t *testing.T, f *fleet) {
	f.setFaults("objednavky", stub.Faults{Shed: 0.6, Truncate: 0.2})
	name := func(i int) string { return fmt.Sprintf("nr-%d", i) }
	path := func(i int) string { return "/objednavky/" + name(i) }
	responses := f.callConcurrently(60, func(i int) request {
		return request{method: "POST", path: path(i), workspace: "mlyn", action: name(i)}
	})
	for i, got := range responses {
		runs := f.runs(name(i) + " " + path(i))
		assert.Assert(t, runs <= 1, "%s ran %d times", name(i), runs)
		if got.problem.NotRun {
			assert.Equal(t, runs, 0, "%s ran although the response says not run: %s", name(i), got.body)
		}
		if got.status == http.StatusOK {
			assert.Equal(t, runs, 1)
		}
	}
}

func testGracefulStop(t *testing.T, f *fleet) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/katalog/s-%d", i)
				got := f.call(request{entry: "katalog-2", path: path, workspace: "mlyn"})
				if got.problem.Reason != "over_rate" {
					assert.Check(t, got.err == nil && got.reply.Path == path, "%d %v %s", got.status, got.err, got.body)
				}
			}
		})
	}
	f.stopDaemon("grafika-1")
	close(stop)
	wg.Wait()
}

// recorder is an upstream that records the request headers it receives.
type recorder struct {
	mu      sync.Mutex
	headers []http.Header
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headers = append(r.headers, req.Header.Clone())
	w.Header().Set("Chicorymast-Answer", `{"reason":"forged"}`)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"path":%q}`, req.URL.Path)
}

// TestHeadersAtTheUpstream checks that neither keys nor internal or hop-by-hop
// headers reach an upstream, and that forged internal headers are dropped in both
// directions.
func TestHeadersAtTheUpstream(t *testing.T) {
	layout := trial.Small()
	layout.Services[1].Servers = 1 // katalog
	f := newFleet(t, layout)
	f.setUp()
	f.stubs["katalog-1"].shutdown(t)
	delete(f.stubs, "katalog-1")
	rec := &recorder{}
	srv := httptest.NewServer(rec)
	defer srv.Close()
	f.announce("katalog-1", "katalog", strings.TrimPrefix(srv.URL, "http://"))
	got := f.call(request{entry: "grafika-1", path: "/katalog/1", workspace: "mlyn", header: map[string]string{
		"Chicorymast-Call": "forged", "Chicorymast-Other": "forged", "Connection": "X-Hop", "X-Hop": "1",
		"X-Kept": "yes", "Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}})
	mustSucceed(t, got, "/katalog/1")
	assert.Equal(t, got.header.Get("Chicorymast-Answer"), "")
	assert.Equal(t, len(rec.headers), 1)
	headers := rec.headers[0]
	for name, values := range headers {
		assert.Assert(t, !strings.HasPrefix(name, "Chicorymast-"), "%s", name)
		assert.Assert(t, !strings.Contains(strings.Join(values, ""), f.keys["mlyn"]), "the key is in %s", name)
	}
	assert.Equal(t, headers.Get("Authorization"), "")
	assert.Equal(t, headers.Get("X-Hop"), "")
	assert.Equal(t, headers.Get("X-Kept"), "yes")
	assert.Equal(t, strings.Split(headers.Get("Traceparent"), "-")[1], "0af7651916cd43dd8448eb211c80319c")
	assert.Assert(t, headers.Get("Request-Timeout") != "")
}

// announce announces the recorder as the only upstream of a service until all
// daemons know it.
func (f *fleet) announce(vm ident.VM, svc ident.Service, address string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":%q,"upstream":"recorder","address":%q,"slots":5}`, svc, address)
	eventually(f.t, func() string {
		f.announceOnce(vm, body)
		for _, r := range f.daemons {
			known := r.daemon.board.Members.Read().ByService[svc]
			if len(known) != 1 || known[0].Upstream.ID != "recorder" {
				return "some daemon does not know the recorder"
			}
		}
		return ""
	})
}
