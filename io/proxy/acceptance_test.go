package proxy

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// acceptedOf returns what a daemon reports beside an upstream that rejects all calls.
func acceptedOf(t *testing.T, learn bool, status int) (accepted []inflow.Acceptance) {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.NotRun, "true")
		w.WriteHeader(status)
	}))
	t.Cleanup(upstream.Close)
	p := newUpstreamProxy(t, strings.TrimPrefix(upstream.URL, "http://"))
	cfg := config.Default()
	cfg.Admission.LearnAcceptance = learn
	p.entryAdmission.opt.Config = func() *config.Config { return &cfg }
	for range 40 {
		r := httptest.NewRequest(http.MethodGet, "http://shop.example/", nil)
		header.SetCall(r.Header, header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 5000})
		w := httptest.NewRecorder()
		p.PeerHandler().ServeHTTP(w, r)
		result, ok := header.GetResult(w.Header())
		assert.Assert(t, ok)
		accepted = result.Accepted
	}
	return accepted
}

// The daemon beside an upstream must report that it rejects calls, if the settings ask for
// it; otherwise answers stay as they were.
func TestAcceptedShareIsReported(t *testing.T) {
	accepted := acceptedOf(t, true, http.StatusServiceUnavailable)
	assert.Equal(t, len(accepted), 1)
	assert.Equal(t, accepted[0].Service, ident.Service("shop"))
	assert.Equal(t, accepted[0].Calls, 1.0)
	assert.Assert(t, accepted[0].Share < 0.1, "%v", accepted[0].Share)
	assert.Equal(t, len(acceptedOf(t, false, http.StatusServiceUnavailable)), 0)
	assert.Equal(t, len(acceptedOf(t, true, http.StatusMisdirectedRequest)), 0, "an upstream that was replaced rejects nothing")
}

// An entry must refuse a part of the calls that can't succeed, but only of routes that use
// the service, and only if the settings ask for it; the log must show why.
func TestEntryLearnsAcceptance(t *testing.T) {
	var out bytes.Buffer
	log, err := event.Open(&out, "info", "json")
	assert.NilError(t, err)
	clock := timer.NewManual(time.Unix(1000, 0))
	cfg := config.Default()
	opt := Options{Log: log, Clock: clock, Metrics: NewMetrics(prometheus.NewRegistry()), Config: func() *config.Config { return &cfg }}
	p := &Proxy{opt: opt, admission: newAdmission(opt), entryAdmission: newEntryAdmission(opt)}
	o := &outboundCall{call: header.Call{Route: "tree"}}
	learn := func(list ...inflow.Acceptance) {
		for range 40 {
			p.recordAcceptances(o, "vm", list)
		}
	}
	admitted := func(r ident.Route) float64 {
		return p.entryAdmission.admittedShare(r, ident.Priority{Class: ident.ClassNormal})
	}
	rejecting := inflow.Acceptance{Service: "deep", Calls: 4, Share: 0.45}
	learn(rejecting)
	assert.Equal(t, admitted("tree"), 1.0, "the setting is off")
	cfg.Admission.LearnAcceptance = true
	learn(rejecting)
	assert.Assert(t, admitted("tree") < 0.9, "%v", admitted("tree"))
	assert.Equal(t, admitted("plain"), 1.0)
	(&overloadReporter{p: p}).reportEntry(nil, p.entryAdmission.acceptanceStatus(clock.Now()))
	log.Sync()
	assert.Assert(t, strings.Contains(out.String(), `"event":1802`) && strings.Contains(out.String(), `"s":"deep"`), "%s", out.String())
	learn()
	assert.Equal(t, admitted("tree"), 1.0, "the service has recovered")
}
