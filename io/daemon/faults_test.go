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

// TestFaultyUpstreams drives one fleet whose upstreams misbehave.
func TestFaultyUpstreams(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	for name, test := range map[string]func(*testing.T, *fleet){
		"an answer cut short is never a good one":  testTruncated,
		"retries of an action are bounded":         testRetryBound,
		"a run without an outcome is not repeated": testUnknown,
		"the rate holds over all VMs":              testRateOverAll,
		"a refusal that says not run is true":      testNotRun,
		"a stopping daemon breaks no call":         testGracefulStop,
	} {
		t.Run(name, func(t *testing.T) {
			test(t, f)
			f.fail("grafika", stub.Faults{})
			f.fail("objednavky", stub.Faults{})
		})
	}
}

// many sends calls at once, through all entries in turn.
func (f *fleet) many(n int, build func(i int) request) []answer {
	answers := make([]answer, n)
	entries := []ident.VM{"katalog-1", "katalog-2", "grafika-2", "objednavky-1", "objednavky-2"}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			q := build(i)
			q.at = entries[i%len(entries)]
			answers[i] = f.call(q)
		})
	}
	wg.Wait()
	return answers
}

func testTruncated(t *testing.T, f *fleet) {
	f.fail("objednavky", stub.Faults{Truncate: 0.5})
	path := func(i int) string { return fmt.Sprintf("/objednavky/cut-%d", i) }
	answers := f.many(40, func(i int) request { return request{path: path(i), workspace: "mlyn"} })
	for i, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			mustWhole(t, a, path(i))
		}
	}
	f.fail("objednavky", stub.Faults{})
	// The retries above have used up the service's share of retries at this
	// entry; a tenth of one comes back with each success.
	const refill = 120
	for i := range refill {
		mustWhole(t, f.call(request{at: "katalog-1", path: path(1000 + i), workspace: "mlyn"}), path(1000+i))
	}
	// With one of two upstreams cutting every answer, plain reads sent one
	// after another are all answered whole: they are tried at the other one.
	f.failOne("objednavky-1", stub.Faults{Truncate: 1})
	bad := f.standIn("objednavky-1")
	before := f.ledger(bad).Served
	const least, most = 20, 400 // it may be put aside for a while at first
	asked := false
	for i := 0; i < least || (!asked && i < most); i++ {
		mustWhole(t, f.call(request{at: "katalog-1", path: path(100 + i), workspace: "mlyn"}), path(100+i))
		asked = f.ledger(bad).Served > before
	}
	assert.Assert(t, asked, "the upstream that cuts its answers was never asked")
}

func testRetryBound(t *testing.T, f *fleet) {
	before := f.served("grafika")
	f.fail("grafika", stub.Faults{Fail: 1})
	const calls, retries = 10, 3
	f.many(calls, func(i int) request { return request{path: fmt.Sprintf("/objednavky/r-%d", i), workspace: "mlyn"} })
	got := f.served("grafika") - before
	assert.Assert(t, got >= calls && got <= calls*(1+retries), "%d runs for %d actions", got, calls)
}

func (f *fleet) served(svc ident.Service) (n int) {
	for _, s := range f.files.Stubs {
		if s.Service.Name == svc {
			n += f.ledger(s).Served
		}
	}
	return n
}

func testUnknown(t *testing.T, f *fleet) {
	f.fail("objednavky", stub.Faults{Silent: 1})
	q := request{at: "katalog-1", method: "POST", path: "/objednavky/9", workspace: "mlyn", action: "silent-9", header: map[string]string{"Request-Timeout": "0.5"}}
	mustRefuse(t, f.call(q), 504, "deadline", false)
	f.fail("objednavky", stub.Faults{})
	q.at = "grafika-2"
	mustRefuse(t, f.call(q), 409, "outcome_unknown", false)
	assert.Equal(t, f.runs("silent-9 /objednavky/9"), 1)
}

// testRateOverAll sends far more than the rate through all entries. What is
// served in a time is at most burst and rate times that time.
func testRateOverAll(t *testing.T, f *fleet) {
	const rate, burst = 30.0, 30.0 // of skauti
	began := time.Now()
	served, refused := 0, 0
	for _, a := range f.many(400, func(i int) request { return request{path: fmt.Sprintf("/katalog/x-%d", i), workspace: "skauti"} }) {
		switch {
		case a.status == http.StatusOK:
			served++
		default:
			mustRefuse(t, a, 429, "over_rate", true)
			assert.Assert(t, a.header.Get("Retry-After") != "")
			refused++
		}
	}
	allowed := burst + rate*time.Since(began).Seconds()
	assert.Assert(t, float64(served) <= allowed, "%d served, %.1f allowed", served, allowed)
	assert.Assert(t, refused > 0 && served > 0)
}

// testNotRun lets upstreams shed and fail and compares what callers were told
// with what ran.
func testNotRun(t *testing.T, f *fleet) {
	f.fail("objednavky", stub.Faults{Shed: 0.6, Truncate: 0.2})
	name := func(i int) string { return fmt.Sprintf("nr-%d", i) }
	path := func(i int) string { return "/objednavky/" + name(i) }
	answers := f.many(60, func(i int) request {
		return request{method: "POST", path: path(i), workspace: "mlyn", action: name(i)}
	})
	for i, a := range answers {
		runs := f.runs(name(i) + " " + path(i))
		assert.Assert(t, runs <= 1, "%s ran %d times", name(i), runs)
		if a.problem.NotRun {
			assert.Equal(t, runs, 0, "%s was said not to have run: %s", name(i), a.body)
		}
		if a.status == http.StatusOK {
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
				a := f.call(request{at: "katalog-2", path: path, workspace: "mlyn"})
				if a.problem.Reason != "over_rate" {
					assert.Check(t, a.err == nil && a.reply.Path == path, "%d %v %s", a.status, a.err, a.body)
				}
			}
		})
	}
	f.stopDaemon("grafika-1")
	close(stop)
	wg.Wait()
}

// recorder is an upstream that remembers the headers it got.
type recorder struct {
	mu   sync.Mutex
	seen []http.Header
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, q.Header.Clone())
	w.Header().Set("Chicorymast-Answer", `{"reason":"forged"}`)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"path":%q}`, q.URL.Path)
}

// TestHeadersAtTheUpstream checks that neither keys nor headers of the system
// or of a connection reach an upstream, and that forged ones are dropped.
func TestHeadersAtTheUpstream(t *testing.T) {
	layout := trial.Small()
	layout.Services[1].Servers = 1 // katalog
	f := newFleet(t, layout)
	f.setUp()
	f.stubs["katalog-1"].end(t)
	delete(f.stubs, "katalog-1")
	rec := &recorder{}
	srv := httptest.NewServer(rec)
	defer srv.Close()
	f.announce("katalog-1", "katalog", strings.TrimPrefix(srv.URL, "http://"))
	a := f.call(request{at: "grafika-1", path: "/katalog/1", workspace: "mlyn", header: map[string]string{
		"Chicorymast-Call": "forged", "Chicorymast-Other": "forged", "Connection": "X-Hop", "X-Hop": "1",
		"X-Kept": "yes", "Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}})
	mustWhole(t, a, "/katalog/1")
	assert.Equal(t, a.header.Get("Chicorymast-Answer"), "")
	assert.Equal(t, len(rec.seen), 1)
	got := rec.seen[0]
	for name, values := range got {
		assert.Assert(t, !strings.HasPrefix(name, "Chicorymast-"), "%s", name)
		assert.Assert(t, !strings.Contains(strings.Join(values, ""), f.keys["mlyn"]), "the key stands in %s", name)
	}
	assert.Equal(t, got.Get("Authorization"), "")
	assert.Equal(t, got.Get("X-Hop"), "")
	assert.Equal(t, got.Get("X-Kept"), "yes")
	assert.Equal(t, strings.Split(got.Get("Traceparent"), "-")[1], "0af7651916cd43dd8448eb211c80319c")
	assert.Assert(t, got.Get("Request-Timeout") != "")
}

// announce speaks for an upstream once and waits until the fleet knows it.
func (f *fleet) announce(vm ident.VM, svc ident.Service, address string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":%q,"upstream":"recorder","address":%q,"slots":5}`, svc, address)
	eventually(f.t, func() string {
		f.announceOnce(vm, body)
		for _, r := range f.daemons {
			known := r.daemon.board.Members.Read().ByService[svc]
			if len(known) != 1 || known[0].Upstream.ID != "recorder" {
				return "not known everywhere"
			}
		}
		return ""
	})
}
