// Package proxy carries calls: from callers to the daemon beside an upstream,
// from there to the upstream, and from an upstream on to other services.
//
// # Usage
//
//	p := proxy.New(proxy.Options{...})
//	callers := &http.Server{Handler: p.Entry()} // any caller
//	peers := &http.Server{Handler: p.Peer()} // other daemons
//	local := &http.Server{Handler: p.Local()} // the upstream on this VM
//	stop := p.Start()
//
// The decisions are those of core/: match, quota, dedup, route, retry and
// admit. This package moves bytes, keeps the decisions' state under locks and
// turns refusals into RFC 9457 problem documents. Every refusal says
// truthfully whether the work may have run.
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
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/record"
	"chicorymast/io/timer"
	"chicorymast/io/trace"
	"chicorymast/io/wire"
)

// Options is what a proxy needs.
type Options struct {
	Config  func() *config.Config
	Clock   timer.Clock
	Board   *board.Board
	Log     *event.Log
	Tracer  *trace.Tracer
	Metrics *Metrics
	// Dialect says which headers callers and upstreams use.
	Dialect header.Dialect
	// Dial connects to other daemons.
	Dial wire.DialFunc
	// Seed starts the random choices.
	Seed uint64
	// Quota decides on rates; it is asked once for each action.
	Quota Quota
	// Records keeps actions from running twice.
	Records Records
}

// Quota charges one call to a grant.
type Quota interface {
	// Charge returns zero when the call may go on, or how long to wait.
	Charge(ctx context.Context, grant ident.Grant) (wait time.Duration, err error)
	// Refund takes a charge back for a call that is proved not to have run.
	Refund(grant ident.Grant)
}

// Records claims actions that must not run twice.
type Records interface {
	Begin(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *record.Claim
	End(run *record.Claim, phase dedup.Phase, a dedup.Response)
}

// Proxy handles calls.
type Proxy struct {
	opt       Options
	transport *http.Transport
	// peers carries calls to other daemons.
	peers    *http.Transport
	fleet    *fleet
	gate     *gate
	calls    *callTable
	intake   *intake
	suspects *suspects
	running  atomic.Int64
	rngMu    sync.Mutex
	rng      *rand.Rand
}

// New returns a proxy.
func New(opt Options) *Proxy {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed^0x9e3779b97f4a7c15))
	p := &Proxy{
		opt:       opt,
		transport: newTransport(opt.Config().Calls),
		peers:     newTransport(opt.Config().Calls),
		rng:       rng,
		calls:     newCallTable(),
	}
	p.peers.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return opt.Dial(ctx, address)
	}
	p.fleet = newFleet(opt, rand.New(rand.NewPCG(opt.Seed+1, opt.Seed)))
	p.gate = newGate(opt)
	p.intake = newIntake(opt)
	p.suspects = newSuspects(opt)
	return p
}

func newTransport(c config.Calls) *http.Transport {
	const (
		idlePerHost = 256
		idleTime    = 15 * time.Second
	)
	dialer := newDialer(c.ConnectTimeout)
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: int64(c.HeaderLimit),
		DisableCompression:     true,
		ExpectContinueTimeout:  time.Second,
	}
}

// Start begins the proxy's periodic work.
func (p *Proxy) Start() (stop func()) {
	const gateTick = 10 * time.Millisecond
	stopGate := p.opt.Clock.Every(gateTick, p.gate.tick)
	stopSuspects := p.opt.Clock.Every(time.Second, p.suspects.tick)
	return func() {
		stopGate()
		stopSuspects()
		p.transport.CloseIdleConnections()
		p.peers.CloseIdleConnections()
	}
}

// RunningCalls returns how many calls this daemon handles at the moment.
func (p *Proxy) RunningCalls() int64 {
	return p.running.Load()
}

func (p *Proxy) passThrough() bool {
	return p.opt.Config().Daemon.Mode == config.ModePassThrough
}

func (p *Proxy) newToken() string {
	const digits = "0123456789abcdef"
	p.rngMu.Lock()
	n := p.rng.Uint64()
	p.rngMu.Unlock()
	text := make([]byte, 16)
	for i := range text {
		text[i] = digits[n>>(4*i)&15]
	}
	return string(text)
}
