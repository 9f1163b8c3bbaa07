package proxy

import (
	"net/http"
	"strconv"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of calls.
type Metrics struct {
	calls    *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  prometheus.Counter
	repeats  *prometheus.CounterVec
	replays  prometheus.Counter
	// elsewhere and treesAway are set where calls are dispatched.
	elsewhere *prometheus.CounterVec
	treesAway *prometheus.GaugeVec
	// The gauges below are set by overloadReporter.
	limit              prometheus.Gauge
	upstreamLimit      prometheus.Gauge
	warmupRate         prometheus.Gauge
	startedRate        prometheus.Gauge
	arrivingSlots      prometheus.Gauge
	refuseShare        prometheus.Gauge
	runQueueDelay      prometheus.Gauge
	processorLimit     prometheus.Gauge
	acceptedShare      prometheus.Gauge
	entryRefuseShare   *prometheus.GaugeVec
	entryAcceptedShare *prometheus.GaugeVec
}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicorymast_calls_total", Help: "Calls by hop, route and status.",
		}, []string{"hop", "route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicorymast_refusals_total", Help: "Refusals by hop and reason.",
		}, []string{"hop", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chicorymast_call_seconds", Help: "Time of calls by hop, upstream included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"hop"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicorymast_retries_total", Help: "Calls sent again by this daemon.",
		}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicorymast_service_retries_total", Help: "Retries that the window of a service allowed or denied at this daemon.",
		}, []string{"service", "verdict"}),
		replays: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicorymast_replays_total", Help: "Answers given again from an action's record.",
		}),
		elsewhere: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicorymast_calls_elsewhere_total", Help: "Calls sent to other data centres, by reason.",
		}, []string{"why"}),
		treesAway: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chicorymast_trees_away_share", Help: "Share of a route's calls that run in other data centres as whole trees.",
		}, []string{"route"}),
		entryRefuseShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chicorymast_entry_refuse_share", Help: "Share of the demand for a service to refuse, as known at this entry.",
		}, []string{"route", "service"}),
		entryAcceptedShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chicorymast_entry_accepted_share", Help: "Share of its calls that a service accepts, as known at this entry, if below 1.",
		}, []string{"route", "service"}),
	}
	m.addGauges(reg)
	reg.MustRegister(m.calls, m.refusals, m.seconds, m.retries, m.repeats, m.replays, m.elsewhere, m.treesAway,
		m.entryRefuseShare, m.entryAcceptedShare)
	return m
}

// addGauges adds the gauges of the upstream on this VM and of this daemon.
func (m *Metrics) addGauges(reg prometheus.Registerer) {
	for _, g := range []struct {
		gauge      *prometheus.Gauge
		name, help string
	}{
		{&m.limit, "chicorymast_admission_limit", "Concurrency limit of the upstream on this VM."},
		{&m.upstreamLimit, "chicorymast_upstream_limit_per_second", "Rate of calls that the upstream on this VM says it takes; 0 for any."},
		{&m.warmupRate, "chicorymast_upstream_warmup_rate_per_second", "Rate to which calls are slowed while the upstream on this VM may be cold; 0 if it is warm."},
		{&m.startedRate, "chicorymast_admission_started_per_second", "Rate of calls that this daemon starts at the upstream on this VM."},
		{&m.arrivingSlots, "chicorymast_admission_arriving_slots", "Work that arrives for the upstream on this VM, in slots."},
		{&m.refuseShare, "chicorymast_admission_refuse_share", "Share of the demand that entries are asked to refuse."},
		{&m.runQueueDelay, "chicorymast_run_queue_delay_seconds", "Smallest delay of this daemon's run queue in the last tenth of a second."},
		{&m.processorLimit, "chicorymast_processor_limit_per_second", "Rate of calls that this daemon's processor time carries; 0 for any."},
		{&m.acceptedShare, "chicorymast_admission_accepted_share", "Share of the calls sent to the upstream on this VM that it accepts."},
	} {
		*g.gauge = prometheus.NewGauge(prometheus.GaugeOpts{Name: g.name, Help: g.help})
		reg.MustRegister(*g.gauge)
	}
}

func (m *Metrics) call(hop string, route ident.Route, status int, duration time.Duration) {
	label := "200" // of most calls
	if status != http.StatusOK {
		label = strconv.Itoa(status)
	}
	m.calls.WithLabelValues(hop, string(route), label).Inc()
	m.seconds.WithLabelValues(hop).Observe(duration.Seconds())
}

func (m *Metrics) repeat(service ident.Service, allowed bool) {
	verdict := "denied"
	if allowed {
		verdict = "allowed"
	}
	m.repeats.WithLabelValues(string(service), verdict).Inc()
}

func (m *Metrics) refused(hop string, reason fault.Reason) {
	m.refusals.WithLabelValues(hop, string(reason)).Inc()
}
