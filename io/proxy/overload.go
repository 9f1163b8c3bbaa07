package proxy

import (
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/inflow"
	"chicorymast/io/event"

	"go.uber.org/zap"
)

const (
	// overloadReportInterval bounds the log to two lines per interval.
	overloadReportInterval = time.Second
	// maxReportedRoutes bounds the length of an EntryShedding line.
	maxReportedRoutes = 16
)

// overloadReporter shows what load shedding decides on, in metrics and, while
// calls are shed, in the log.
type overloadReporter struct {
	p *Proxy
	// last is the status at the previous report.
	last admit.Status
}

func (o *overloadReporter) report(now time.Time) {
	limit, delay := o.p.admission.runQueueState()
	o.p.opt.Metrics.processorLimit.Set(limit)
	o.p.opt.Metrics.runQueueDelay.Set(delay.Seconds())
	o.reportUpstream(o.p.admission.status(now))
	o.p.opt.Metrics.warmupRate.Set(float64(o.p.admission.warmupRate(now)))
	o.reportEntry(o.p.entryAdmission.status(now), o.p.entryAdmission.acceptanceStatus(now))
}

func (o *overloadReporter) reportUpstream(s admit.Status) {
	m := o.p.opt.Metrics
	m.limit.Set(float64(s.Limit))
	m.upstreamLimit.Set(float64(s.RateLimit))
	m.startedRate.Set(s.StartedPerSecond)
	m.arrivingSlots.Set(s.ArrivingSlots)
	m.refuseShare.Set(s.RefuseShare)
	m.acceptedShare.Set(s.AcceptedShare)
	last := o.last
	o.last = s
	if s.RefuseShare == 0 && s.Limit == s.Slots && s.Refused == last.Refused && s.RateLimit == 0 && s.AcceptedShare == 1 {
		return
	}
	o.p.opt.Log.Emit(event.UpstreamOverloaded,
		zap.Int("slots", s.Slots), zap.Int("limit", s.Limit), zap.Int("running", s.Running), zap.Int("waiting", s.Waiting),
		zap.Float64("limit_per_second", float64(s.RateLimit)), zap.Float64("started_per_second", s.StartedPerSecond),
		zap.Float64("arriving_slots", s.ArrivingSlots), zap.Float64("refuse_share", s.RefuseShare), zap.Duration("mean_hold", s.MeanHold),
		zap.Float64("accepted_share", s.AcceptedShare),
		zap.Uint64("arrived", s.Arrived-last.Arrived), zap.Uint64("refused", s.Refused-last.Refused),
		zap.Uint64("shed_by_upstream", s.ShedByUpstream-last.ShedByUpstream))
}

func (o *overloadReporter) reportEntry(routes []inflow.RouteStatus, rejected []inflow.RouteAcceptance) {
	gauge, accepted := o.p.opt.Metrics.entryRefuseShare, o.p.opt.Metrics.entryAcceptedShare
	gauge.Reset()
	accepted.Reset()
	for _, r := range rejected {
		for _, a := range r.Services {
			accepted.WithLabelValues(string(r.Route), string(a.Service)).Set(a.Share)
		}
	}
	for _, r := range routes {
		for _, c := range r.Costs {
			gauge.WithLabelValues(string(r.Route), string(c.Service)).Set(c.RefuseShare)
		}
	}
	if len(routes)+len(rejected) == 0 {
		return
	}
	fields := []zap.Field{zap.Int("routes", len(routes)), zap.Any("first_routes", routes[:min(len(routes), maxReportedRoutes)])}
	if len(rejected) > 0 {
		fields = append(fields, zap.Any("first_rejected", rejected[:min(len(rejected), maxReportedRoutes)]))
	}
	o.p.opt.Log.Emit(event.EntryShedding, fields...)
}
