package trail

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/sample"
	"chicorymast/io/event"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

type fixture struct {
	*Trail
	out   *bytes.Buffer
	clock *timer.Manual
	cfg   *config.Config
	reg   *prometheus.Registry
}

func newFixture(t testing.TB) fixture {
	t.Helper()
	cfg := config.Default()
	var out bytes.Buffer
	log, err := event.Open(&out, "info", "json")
	assert.NilError(t, err)
	clock := timer.NewManual(time.Unix(1000, 0))
	reg := prometheus.NewRegistry()
	tr := New(Options{Config: func() *config.Config { return &cfg }, Clock: clock, Log: log, Registry: reg})
	return fixture{tr, &out, clock, &cfg, reg}
}

// metric returns the value of the first counter with a name.
func (f fixture) metric(t testing.TB, name string) float64 {
	t.Helper()
	families, err := f.reg.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

func (f fixture) refuse(n int) {
	for range n {
		f.Note(event.RequestRefused, sample.Key{Reason: "overload"}, func() []zap.Field { return []zap.Field{zap.String("request", "r")} })
	}
}

func (f fixture) lines() int {
	f.opt.Log.Sync()
	return strings.Count(f.out.String(), "\n")
}

func TestVolumeIsBoundedAndTheRestCounted(t *testing.T) {
	f := newFixture(t)
	stop := f.Start()
	defer stop()
	f.refuse(1000)
	burst := f.cfg.Log.DecisionBurst
	assert.Assert(t, f.lines() <= burst)
	f.clock.Advance(time.Second)
	f.opt.Log.Sync()
	assert.Assert(t, strings.Contains(f.out.String(), `"of_event":1901,"reason":"overload"`), f.out.String())
	assert.Equal(t, int(f.metric(t, "chicorymast_decisions_omitted_total"))+f.lines()-1, 1000)
}

func TestDecisionRateZeroTurnsLinesOff(t *testing.T) {
	f := newFixture(t)
	f.cfg.Log.DecisionRate = 0
	f.refuse(10)
	assert.Equal(t, f.lines(), 0)
}

func TestFieldsAreBuiltOnlyForLinesThatAreWritten(t *testing.T) {
	f := newFixture(t)
	f.refuse(10_000)
	allocations := testing.AllocsPerRun(100, func() { f.refuse(1) })
	assert.Equal(t, allocations, 0.0)
}

func TestNilTrailDropsLines(_ *testing.T) {
	var none *Trail
	none.Note(event.RequestRefused, sample.Key{}, func() []zap.Field { panic("built") })
}

func BenchmarkNoteLeftOut(b *testing.B) {
	f := newFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		f.refuse(1)
	}
}
