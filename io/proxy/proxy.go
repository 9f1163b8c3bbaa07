// Package proxy forwards calls: from callers to the daemon on the VM of an
// upstream, from that daemon to the upstream, and nested calls from the
// upstream to other services.
//
// # Usage
//
//	p := proxy.New(proxy.Options{...})
//	callers := &http.Server{Handler: p.EntryHandler()}         // any caller
//	peers := &http.Server{Handler: p.PeerHandler()}            // other daemons
//	local := &http.Server{Handler: p.LocalHandler(registry)}   // the upstream on this VM
//	stop := p.Start()
//
// The decisions are made by packages of core: match, quota, dedup, route,
// retry and admit. This package does the I/O, guards their state with mutexes
// and turns refusals into RFC 9457 problem documents. Every refusal states
// truthfully whether the request may have run.
package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/notice"
	"chicorymast/core/quota"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/limit"
	"chicorymast/io/record"
	"chicorymast/io/timer"
	"chicorymast/io/trace"
	"chicorymast/io/trail"
	"chicorymast/io/wire"

	oteltrace "go.opentelemetry.io/otel/trace"
)

// Options configures a Proxy.
type Options struct {
	Config  func() *config.Config
	Clock   timer.Clock
	Board   *board.Board
	Log     *event.Log
	Tracer  *trace.Tracer
	Metrics *Metrics
	// Trail logs the decisions on requests; nil logs none.
	Trail *trail.Trail
	// Dialect holds the names of the headers that callers and upstreams use.
	Dialect header.Dialect
	// Heads counts the heads of responses; nil counts none.
	Heads *limit.Guard
	// Dial connects to other daemons.
	Dial wire.DialFunc
	// Seed initialises the random number generators.
	Seed uint64
	// Quota enforces the rates of grants. An action is charged once, however
	// often it is retried.
	Quota Quota
	// UpstreamLeaves is called when the upstream on this VM has said in a response that
	// it leaves; nil ignores it.
	UpstreamLeaves func(notice.Process)
	// Records ensures that an action runs at most once.
	Records Records
}

// Quota charges calls to grants.
type Quota interface {
	// Charge returns zero if the call may proceed, or the time after which the
	// grant is expected to have a token.
	Charge(ctx context.Context, grant ident.Grant) (wait time.Duration, err error)
	// Refund returns the token of a call that is proved not to have run.
	Refund(grant ident.Grant)
	// Inputs returns what decisions on a grant stand on, for the log.
	Inputs(grant ident.Grant) quota.Inputs
}

// Records claims actions and records their outcomes.
type Records interface {
	Begin(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *record.Claim
	End(claim *record.Claim, phase dedup.Phase, resp dedup.Response)
}

// Proxy forwards calls. Its methods are safe for concurrent use.
type Proxy struct {
	opt Options
	// upstreamTransport connects to the upstream on this VM.
	upstreamTransport *http.Transport
	// freshTransport does the same, with a new connection for each request.
	freshTransport *http.Transport
	sentIDs        *sentIDs
	// peerTransport connects to other daemons.
	peerTransport  *http.Transport
	router         *router
	admission      *admission
	calls          *callTable
	entryAdmission *entryAdmission
	placement      *placement
	suspects       *suspects
	notices        *notices
	running        atomic.Int64
	rngMu          sync.Mutex
	rng            *rand.Rand
}

// New returns a proxy.
func New(opt Options) *Proxy {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed^0x9e3779b97f4a7c15))
	p := &Proxy{
		opt:               opt,
		upstreamTransport: newTransport(opt.Config().Calls),
		freshTransport:    newTransport(opt.Config().Calls),
		sentIDs:           newSentIDs(),
		peerTransport:     newTransport(opt.Config().Calls),
		rng:               rng,
		calls:             newCallTable(),
	}
	p.freshTransport.DisableKeepAlives = true
	p.peerTransport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return opt.Dial(ctx, address)
	}
	p.notices = newNotices()
	p.router = newRouter(opt, p.notices, rand.New(rand.NewPCG(opt.Seed+1, opt.Seed)))
	p.admission = newAdmission(opt)
	p.admission.warmup.check = p.checkHealth
	if settings := opt.Config().Admission; settings.WarmupOverrun > 0 || settings.Ramp {
		p.watchConnections(p.upstreamTransport)
		p.watchConnections(p.freshTransport)
	}
	// Outermost, since the guard recognises its connections by their type.
	for _, t := range []*http.Transport{p.upstreamTransport, p.freshTransport, p.peerTransport} {
		t.DialContext = counted(opt.Heads, t.DialContext)
	}
	p.entryAdmission = newEntryAdmission(opt)
	p.placement = newPlacement(opt, p.randomFloat)
	p.suspects = newSuspects(opt)
	return p
}

func newTransport(c config.Calls) *http.Transport {
	const (
		maxIdlePerHost = 256
		idleTimeout    = 15 * time.Second
	)
	dialer := newDialer(c.ConnectTimeout)
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: int64(c.HeaderLimit),
		DisableCompression:     true,
		ExpectContinueTimeout:  time.Second,
	}
}

type dialContext func(ctx context.Context, network, address string) (net.Conn, error)

// counted returns a function whose connections count the heads of responses.
func counted(g *limit.Guard, dial dialContext) dialContext {
	if g == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return g.Dialled(conn), nil
	}
}

// Start starts the proxy's periodic tasks.
func (p *Proxy) Start() (stop func()) {
	const admissionInterval = 10 * time.Millisecond
	stopAdmission := p.opt.Clock.Every(admissionInterval, func(now time.Time) {
		upstream := p.opt.Board.Upstream.Read()
		p.admission.observeRunQueue(now)
		p.followUpstream(upstream)
		p.admission.tick(now, !p.takesCalls(upstream))
	})
	stopSuspects := p.opt.Clock.Every(time.Second, p.suspects.expire)
	reporter := &overloadReporter{p: p}
	stopReports := p.opt.Clock.Every(overloadReportInterval, reporter.report)
	return func() {
		stopAdmission()
		stopSuspects()
		stopReports()
		p.upstreamTransport.CloseIdleConnections()
		p.peerTransport.CloseIdleConnections()
	}
}

// RunningCalls returns the number of calls in progress in this proxy.
func (p *Proxy) RunningCalls() int64 {
	return p.running.Load()
}

func (p *Proxy) passThrough() bool {
	return p.opt.Config().Daemon.Mode == config.ModePassThrough
}

// startSpan starts a span of a request, as a child of the one that its headers name. Where
// spans are neither exported nor passed on, nobody would see it and none is started.
func (p *Proxy) startSpan(r *http.Request, name string) (context.Context, oteltrace.Span) {
	if !p.opt.Dialect.PropagateTrace && !p.opt.Tracer.Exports() {
		return r.Context(), trace.None()
	}
	return p.opt.Tracer.Start(trace.Extract(r), name)
}

func (p *Proxy) newToken() string {
	const digits = "0123456789abcdef"
	p.rngMu.Lock()
	n := p.rng.Uint64()
	p.rngMu.Unlock()
	var text [16]byte
	for i := range text {
		text[i] = digits[n>>(4*i)&15]
	}
	return string(text[:])
}
