// Package daemon assembles a daemon from its components and runs it until its
// graceful shutdown.
//
// # Usage
//
//	d, err := daemon.New(cfg, log)
//	err = d.Run(ctx)          // until ctx ends; then shuts down gracefully
//	err = d.Reload()          // reads the settings file again
//
// A graceful shutdown first tells the peers that the daemon is stopping and goes
// on serving for the shutdown delay. Then no new calls are accepted and running
// calls may finish within the shutdown timeout; the control listener closes last.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/halt"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/admin"
	"chicorymast/io/agent"
	"chicorymast/io/change"
	"chicorymast/io/ctrl"
	"chicorymast/io/event"
	"chicorymast/io/limit"
	"chicorymast/io/proxy"
	"chicorymast/io/ration"
	"chicorymast/io/record"
	"chicorymast/io/relay"
	"chicorymast/io/secure"
	"chicorymast/io/store"
	"chicorymast/io/timer"
	"chicorymast/io/trace"
	"chicorymast/io/trail"
	"chicorymast/io/wire"
	"chicorymast/platform"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
)

// Daemon is a daemon with all its components.
type Daemon struct {
	cfg   atomic.Pointer[config.Config]
	log   *event.Log
	clock timer.Clock
	board *board.Board
	reg   *prometheus.Registry
	// panics counts requests whose handler panicked.
	panics *prometheus.CounterVec

	secure    *secure.Identity
	openFile  store.OpenFunc
	dial      wire.DialFunc
	pool      *wire.Pool
	server    *wire.Server
	relay     *relay.Relay
	agent     *agent.Agent
	control   *ctrl.Control
	limiter   *ration.Limiter
	records   *record.Records
	trail     *trail.Trail
	proxy     *proxy.Proxy
	tracer    *trace.Tracer
	changes   *change.Client
	upstreams *upstreamRegistry

	heads     *limit.Guard
	listeners []*listener
	callers   *callerServer
	stops     []func()
	serveErr  chan error
}

// listener is a listener with its HTTP server; the control listener has none.
type listener struct {
	name string
	ln   net.Listener
	srv  *drainingServer
}

// New builds the components of a daemon and opens its listeners; Run serves on
// them. It fails if a certificate, the trace file, the data folder or a listener
// can't be opened.
func New(cfg config.Config, log *event.Log) (*Daemon, error) {
	return newWrapped(cfg, log, wrappers{dial: func(dial wire.DialFunc) wire.DialFunc { return dial }})
}

// wrappers replace what a daemon uses of the system; tests interrupt connections and
// fill disks with them.
type wrappers struct {
	// dial wraps the function that dials other daemons.
	dial func(wire.DialFunc) wire.DialFunc
	// file opens the files of the data folder.
	file store.OpenFunc
}

func newWrapped(cfg config.Config, log *event.Log, wrap wrappers) (d *Daemon, err error) {
	defer fault.Note(&err, "set up daemon %s", cfg.Daemon.VM)
	d = &Daemon{
		log:      log.With(zap.String("vm", string(cfg.Daemon.VM))),
		clock:    timer.NewClock(),
		board:    board.New(),
		reg:      prometheus.NewRegistry(),
		panics:   newPanicCounter(),
		server:   wire.NewServer(),
		serveErr: make(chan error, 1),
	}
	d.cfg.Store(&cfg)
	if d.secure, err = secure.Load(cfg.Security); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: cfg.Calls.ConnectTimeout}
	d.openFile = wrap.file
	d.dial = wrap.dial(func(ctx context.Context, address string) (net.Conn, error) {
		return d.secure.Dial(ctx, dialer, address)
	})
	d.pool = wire.NewPool(d.dial)
	d.reg.MustRegister(d.panics, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if d.tracer, err = trace.Open(cfg.Trace, cfg.Daemon.VM); err != nil {
		return nil, err
	}
	d.upstreams = newUpstreamRegistry(cfg.Daemon.VM, cfg.Daemon.DataCentre, d.clock, d.board, d.log, upstreamLease(cfg.Platform))
	d.upstreams.recalling = true // until the agent has reached a relay
	d.changes = change.New(change.Options{Board: d.board, Clock: d.clock, Pool: d.pool, ControlAddresses: d.controls})
	if err := d.buildPeerServices(); err != nil {
		return nil, err
	}
	d.registerBulkMetrics()
	d.registerEvacuationMetrics()
	d.limitHeads()
	d.buildProxy()
	return d, d.listen()
}

// Config returns the current settings.
func (d *Daemon) Config() *config.Config {
	return d.cfg.Load()
}

// buildPeerServices creates the components that communicate with other daemons.
func (d *Daemon) buildPeerServices() error {
	cfg := d.Config()
	d.relay = relay.New(relay.Options{
		VM: cfg.Daemon.VM, Clock: d.clock, Board: d.board, Pool: d.pool, OtherRelays: d.otherRelays,
		Address: cfg.Listen.Control, Source: func() string { return d.agent.Relay() },
		Root: d.rootRelay,
	})
	d.relay.Register(d.server)
	d.agent = agent.New(agent.Options{
		VM:             cfg.Daemon.VM,
		DataCentre:     cfg.Daemon.DataCentre,
		Addresses:      member.Addresses{Peer: cfg.Listen.Peer, Control: cfg.Listen.Control},
		Clock:          d.clock,
		Board:          d.board,
		Pool:           d.pool,
		Log:            d.log,
		RelayAddresses: d.relays,
		RelayActive:    d.relay.Active,
		Recall:         d.upstreams.Recall,
		Control:        cfg.Daemon.Role == config.RoleControl,
		FollowConfig:   cfg.Daemon.Role != config.RoleControl,
	})
	d.limiter = ration.New(ration.Options{
		VM: cfg.Daemon.VM, DataCentre: cfg.Daemon.DataCentre, Clock: d.clock, Board: d.board, Pool: d.pool, Config: d.Config,
	})
	d.limiter.Register(d.server)
	d.records = record.New(record.Options{
		VM: cfg.Daemon.VM, Clock: d.clock, Board: d.board, Pool: d.pool, Seed: uint64(d.clock.Now().UnixNano()),
	})
	d.records.Register(d.server)
	if cfg.Daemon.Role != config.RoleControl {
		return nil
	}
	return d.openControl()
}

func (d *Daemon) openControl() (err error) {
	cfg := d.Config()
	addresses := map[ident.VM]string{}
	for _, v := range cfg.Control.VoterList() {
		addresses[v.VM] = v.Address
	}
	d.control, err = ctrl.Open(ctrl.Options{
		VM:                cfg.Daemon.VM,
		Address:           cfg.Listen.Control,
		Folder:            cfg.Daemon.DataFolder,
		Voters:            ctrl.InitialVoters(addresses),
		Join:              cfg.Control.Join,
		Seeds:             cfg.Control.SeedAddresses(),
		Bootstrap:         cfg.Control.Bootstrap,
		ControlAddresses:  d.autoJoin(),
		ToleratedFailures: cfg.Control.ToleratedFailures,
		Clock:             d.clock,
		Board:             d.board,
		Pool:              d.pool,
		Log:               d.log,
		Seed:              uint64(d.clock.Now().UnixNano()),
		OpenFile:          d.openFile,
	})
	if err == nil {
		d.control.Register(d.server)
		d.registerDataFolderMetrics()
	}
	return err
}

func (d *Daemon) buildProxy() {
	cfg := d.Config()
	d.trail = trail.New(trail.Options{Config: d.Config, Clock: d.clock, Log: d.log, Registry: d.reg})
	d.proxy = proxy.New(proxy.Options{
		Config:  d.Config,
		Clock:   d.clock,
		Board:   d.board,
		Log:     d.log,
		Tracer:  d.tracer,
		Metrics: proxy.NewMetrics(d.reg),
		Trail:   d.trail,
		Seed:    uint64(d.clock.Now().UnixNano()),
		Quota:   d.limiter,
		Records: d.records,
		Dial:    d.dial,
		Heads:   d.heads,
		Dialect: dialectFor(cfg.Platform),

		UpstreamLeaves: d.upstreams.Leave,
	})
	d.upstreams.onAnnounced = d.proxy.UpstreamAnnounced
}

func (d *Daemon) listen() (err error) {
	defer fault.Note(&err, "open listeners")
	cfg := d.Config()
	handlers := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"caller", cfg.Listen.Caller, d.proxy.EntryHandler()},
		{"peer", cfg.Listen.Peer, d.proxy.PeerHandler()},
		{"local", cfg.Listen.Local, d.proxy.LocalHandler(d.upstreams)},
		{"admin", cfg.Listen.Admin, d.adminHandler()},
		{"platform", cfg.Platform.API, limitBodies(d.platform().API(), platform.DocumentLimit)},
		{"ready", cfg.Platform.Ready, d.platform().Ready()},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		if err := d.addListener(h.name, h.address, h.handler); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", cfg.Listen.Control)
	if err != nil {
		return err
	}
	ln = newPatientListener(ln, "control", d.log)
	d.listeners = append(d.listeners, &listener{name: "control", ln: d.secure.Listen(ln)})
	return nil
}

func (d *Daemon) adminHandler() http.Handler {
	return admin.New(admin.Options{
		Config:         d.Config,
		Board:          d.board,
		Clock:          d.clock,
		Log:            d.log,
		Pool:           d.pool,
		Changes:        d.changes,
		RelayAddresses: d.allRelays,
		Gatherer:       d.reg,
	})
}

func (d *Daemon) addListener(name, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ln = newPatientListener(ln, name, d.log)
	handler = reportPanics(handler, name, d.log, d.panics.WithLabelValues(name))
	limits := d.callerLimits()
	if name == "caller" {
		accepted := func(c net.Conn) net.Conn { return d.heads.Accepted(c, d.proxy.RefuseHead) }
		d.callers = newCallerServer(limitListener(ln, d.Config().Calls.Connections), handler, limits, accepted)
		return nil
	}
	refuse := d.proxy.RefuseHead
	if name == "peer" {
		ln, refuse = d.secure.Listen(ln), d.proxy.RefusePeerHead
	}
	ln = d.heads.Listen(ln, refuse)
	d.listeners = append(d.listeners, &listener{name: name, ln: ln, srv: newServer(handler, limits)})
	return nil
}

func (d *Daemon) callerLimits() connLimits {
	return effectiveLimits(d.board.Config.Read().State.Intent.Limits, d.Config().Calls)
}

// Run serves until ctx ends or a listener fails, and then shuts down gracefully.
// It returns the error of the failed listener.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer fault.Note(&err, "run daemon %s", d.Config().Daemon.VM)
	d.start()
	d.log.Emit(event.DaemonStarted, zap.String("data_centre", string(d.Config().Daemon.DataCentre)))
	select {
	case <-ctx.Done():
	case err = <-d.serveErr:
		d.log.Emit(event.ListenerFailed, zap.Error(err))
	}
	d.shutdown()
	return err
}

func (d *Daemon) start() {
	const tickInterval = 200 * time.Millisecond
	for _, l := range d.listeners {
		go d.serve(l)
	}
	if d.callers != nil {
		go func() { d.reportServeError(d.callers.Serve()) }()
		d.stops = append(d.stops, d.clock.Every(tickInterval, func(time.Time) { d.callers.Apply(d.callerLimits()) }))
	}
	d.stops = append(d.stops, d.relay.Start(), d.limiter.Start(), d.records.Start(), d.proxy.Start(), d.trail.Start(), d.clock.Every(tickInterval, d.upstreams.tick),
		d.clock.Every(tickInterval, (&evacuationWatch{board: d.board, log: d.log}).tick))
	if d.control != nil {
		d.control.Start()
		d.stops = append(d.stops, d.control.Stop)
	}
	d.board.Lifecycle.Write(&board.Lifecycle{Phase: board.PhaseRunning})
	d.agent.Start()
}

func (d *Daemon) serve(l *listener) {
	var err error
	if l.srv == nil {
		err = d.server.Serve(l.ln)
	} else {
		err = l.srv.Serve(l.ln)
	}
	d.reportServeError(err)
}

// reportServeError makes Run end if a server stopped for another reason than the
// closing of its listener.
func (d *Daemon) reportServeError(err error) {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	select {
	case d.serveErr <- err:
	default:
	}
}

// shutdown tells the peers that the daemon is stopping, waits until they send no
// more calls, lets running calls finish and closes all components.
func (d *Daemon) shutdown() {
	d.log.Emit(event.DaemonStopping)
	cfg := d.Config().Daemon
	d.board.Lifecycle.Write(&board.Lifecycle{
		Phase: board.PhaseStopping, Stop: halt.New(d.clock.Now(), cfg.ShutdownDelay, cfg.ShutdownTimeout),
	})
	ctx, cancel := context.WithTimeout(context.Background(), cfg.ShutdownTimeout)
	defer cancel()
	d.delayShutdown(ctx)
	d.leave(ctx)
	d.shutdownServers(ctx)
	for _, stop := range d.stops {
		stop()
	}
	d.server.Close()
	for _, l := range d.listeners {
		_ = l.ln.Close()
	}
	d.pool.Close()
	d.tracer.Close(ctx)
	defer d.log.Sync()
	if n := d.proxy.RunningCalls(); n > 0 {
		d.log.Emit(event.ShutdownTimedOut, zap.Int64("running", n))
		return
	}
	d.log.Emit(event.DaemonStopped)
}

// leave announces that this VM is gone. A relay that does not answer must not keep the
// listeners open.
func (d *Daemon) leave(ctx context.Context) {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.agent.Stop(ctx)
}

// delayShutdown waits while callers and peers learn that this daemon is stopping;
// calls are still served. Responses ask callers to close their connections.
func (d *Daemon) delayShutdown(ctx context.Context) {
	if d.callers != nil {
		d.callers.DisableKeepAlives()
	}
	t := time.NewTimer(d.Config().Daemon.ShutdownDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// shutdownServers shuts down all HTTP servers concurrently; each waits for its
// running requests until ctx ends.
func (d *Daemon) shutdownServers(ctx context.Context) {
	var wg sync.WaitGroup
	if d.callers != nil {
		wg.Go(func() { _ = d.callers.Shutdown(ctx) })
	}
	for _, l := range d.listeners {
		if l.srv != nil {
			_ = l.ln.Close()
			wg.Go(func() { _ = l.srv.drain(ctx) })
		}
	}
	wg.Wait()
}

// Reload reads the settings file and the certificates again. Invalid settings are
// rejected as a whole. The sections daemon, listen, security and platform change
// only at the next start.
func (d *Daemon) Reload() (err error) {
	current := d.Config()
	next, err := config.Load(current.File)
	if err != nil {
		d.log.Emit(event.SettingsInvalid, zap.Error(err))
		return err
	}
	if d.secure != nil {
		if err := d.secure.Reload(); err != nil {
			d.log.Emit(event.SettingsInvalid, zap.Error(err))
			return err
		}
	}
	next.Daemon, next.Listen, next.Security, next.Platform = current.Daemon, current.Listen, current.Security, current.Platform
	d.cfg.Store(&next)
	d.log.SetLevel(next.Log.Level)
	d.log.Emit(event.SettingsReloaded)
	return nil
}
