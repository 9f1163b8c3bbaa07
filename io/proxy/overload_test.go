package proxy

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// The log must show which upstream asks entries to refuse calls, and why.
func TestOverloadIsReported(t *testing.T) {
	var out bytes.Buffer
	log, err := event.Open(&out, "info", "json")
	assert.NilError(t, err)
	clock := timer.NewManual(time.Unix(1000, 0))
	cfg := config.Default()
	p := &Proxy{opt: Options{
		Log: log, Clock: clock, Metrics: NewMetrics(prometheus.NewRegistry()), Config: func() *config.Config { return &cfg },
	}}
	p.admission, p.entryAdmission = newAdmission(p.opt), newEntryAdmission(p.opt)
	reporter := &overloadReporter{p: p}
	mustLog := func(t *testing.T, want ...string) {
		t.Helper()
		out.Reset()
		reporter.report(clock.Now())
		log.Sync()
		for _, text := range want {
			assert.Assert(t, strings.Contains(out.String(), text), "%s is not in %s", text, out.String())
		}
		assert.Equal(t, strings.Count(out.String(), "\n"), min(1, len(want)))
	}
	t.Run("nothing while no call is refused", func(t *testing.T) { mustLog(t) })
	t.Run("a full upstream", func(t *testing.T) {
		for n := range 20 {
			p.admission.controller.Arrive(clock.Now(), admit.Request{Ticket: admit.Ticket(n + 1), Deadline: clock.Now().Add(time.Minute)})
		}
		mustLog(t, `"event":1801`, `"arrived":20`, `"refused":15`, `"limit":1`)
	})
	t.Run("nothing without further refusals", func(t *testing.T) { mustLog(t) })
	t.Run("an entry that refuses", func(t *testing.T) {
		for range 20 {
			p.entryAdmission.recordCosts("browse", "vm", []inflow.ServiceCost{{Service: ident.Service("deep"), SlotSeconds: 1, RefuseShare: 0.5}})
		}
		mustLog(t, `"event":1802`, `"route":"browse"`, `"s":"deep"`)
	})
}

// Calls must leave the share of an upstream's slots free that the settings ask for.
func TestSlotShareLimitsRunningCalls(t *testing.T) {
	cfg := config.Default()
	cfg.Admission.SlotShare = 0.9
	opt := Options{Log: event.Discard(), Clock: timer.NewManual(time.Unix(1000, 0)), Config: func() *config.Config { return &cfg }}
	a := newAdmission(opt)
	for range 20 {
		a.arrive(header.Call{Route: "r", TimeoutMs: 1000, AdmittedShare: 1}, upstreamCapacity{slots: 10})
	}
	assert.Equal(t, a.load().Running, 9)
	assert.Equal(t, a.load().Waiting, 9+2)
}
