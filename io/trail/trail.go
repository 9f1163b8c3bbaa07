// Package trail logs the decisions that touch requests, in bounded volume.
//
// # Usage
//
//	t := trail.New(trail.Options{...})
//	stop := t.Start()
//	t.Note(event.RequestRefused, key, func() []zap.Field { ... })
//
// Each kind of event has a budget of its own ([log] decision_rate and
// decision_burst); core/sample chooses what is written when it is short. The fields
// are built only if the line is written. What was left out is counted in a metric
// and, once a second, in a line. The nil Trail drops everything.
package trail

import (
	"sync"
	"time"

	"chicorymast/config"
	"chicorymast/core/sample"
	"chicorymast/io/event"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options are the settings and dependencies of a Trail.
type Options struct {
	Config   func() *config.Config
	Clock    timer.Clock
	Log      *event.Log
	Registry prometheus.Registerer
}

const (
	reportInterval = time.Second
	// maxReportedKeys bounds the length of a DecisionsOmitted line.
	maxReportedKeys = 16
)

// Trail logs decisions. Its methods are safe for concurrent use.
type Trail struct {
	opt     Options
	omitted *prometheus.CounterVec
	dropped prometheus.Counter

	mu       sync.Mutex
	samplers map[event.ID]*sample.Sampler
}

// New returns a trail and registers its metrics.
func New(opt Options) *Trail {
	t := &Trail{
		opt:      opt,
		samplers: map[event.ID]*sample.Sampler{},
		omitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicorymast_decisions_omitted_total", Help: "Lines about decisions that were left out of the log, by event.",
		}, []string{"event"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicorymast_log_lines_dropped_total", Help: "Lines of the log that its reader did not take in time.",
		}),
	}
	opt.Registry.MustRegister(t.omitted, t.dropped)
	return t
}

// Start starts the report of what was left out.
func (t *Trail) Start() (stop func()) {
	return t.opt.Clock.Every(reportInterval, t.report)
}

// Note logs a decision if its kind has room for another line.
func (t *Trail) Note(id event.ID, k sample.Key, fields func() []zap.Field) {
	if t == nil || !t.allow(id, k) {
		return
	}
	t.opt.Log.Emit(id, fields()...)
}

func (t *Trail) allow(id event.ID, k sample.Key) bool {
	cfg := t.opt.Config().Log
	if cfg.DecisionRate == 0 || !t.opt.Log.Enabled(id) {
		return false
	}
	now := t.opt.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.samplers[id]
	if s == nil {
		s = sample.New(cfg.DecisionRate, cfg.DecisionBurst)
		t.samplers[id] = s
	}
	return s.Allow(now, k)
}

// omission is an entry of a DecisionsOmitted line.
type omission struct {
	event event.ID
	sample.Omission
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (o omission) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt("of_event", int(o.event))
	enc.AddString("reason", o.Key.Reason)
	enc.AddString("route", string(o.Key.Route))
	enc.AddString("service", string(o.Key.Service))
	enc.AddUint64("count", o.Count)
	return nil
}

func (t *Trail) report(time.Time) {
	omitted, total := t.takeOmitted()
	dropped := t.opt.Log.TakeDropped()
	t.dropped.Add(float64(dropped))
	if total == 0 && dropped == 0 {
		return
	}
	t.opt.Log.Emit(event.DecisionsOmitted, zap.Uint64("omitted", total), zap.Uint64("dropped", dropped),
		zap.Objects("most", omitted[:min(len(omitted), maxReportedKeys)]))
}

// takeOmitted returns what was left out since the last call and counts it in the
// metrics. It also applies changed settings.
func (t *Trail) takeOmitted() (omitted []omission, total uint64) {
	cfg := t.opt.Config().Log
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range event.Catalogue() {
		s := t.samplers[d.ID]
		if s == nil {
			continue
		}
		s.Configure(cfg.DecisionRate, cfg.DecisionBurst)
		for _, o := range s.TakeOmitted() {
			omitted = append(omitted, omission{d.ID, o})
			total += o.Count
			t.omitted.WithLabelValues(d.ID.String()).Add(float64(o.Count))
		}
	}
	return omitted, total
}
