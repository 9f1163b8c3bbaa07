// Package daemon puts one daemon together and runs it from its start to its
// graceful end.
//
// # Usage
//
//	d, err := daemon.New(cfg, log)
//	err = d.Run(ctx)          // until ctx ends; then finishes what runs
//	err = d.Reload()          // reads the settings file again
//
// At a planned stop the daemon first tells its peers, then takes no new work,
// lets running calls finish within the shutdown timeout, and only then closes
// its listeners.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/admin"
	"chicorymast/io/agent"
	"chicorymast/io/change"
	"chicorymast/io/ctrl"
	"chicorymast/io/event"
	"chicorymast/io/proxy"
	"chicorymast/io/ration"
	"chicorymast/io/record"
	"chicorymast/io/relay"
	"chicorymast/io/secure"
	"chicorymast/io/timer"
	"chicorymast/io/trace"
	"chicorymast/io/wire"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
)

// Daemon is one running daemon.
type Daemon struct {
	cfg   atomic.Pointer[config.Config]
	log   *event.Log
	clock timer.Clock
	board *board.Board
	reg   *prometheus.Registry

	secure  *secure.Identity
	dial    wire.DialFunc
	pool    *wire.Pool
	server  *wire.Server
	relay   *relay.Relay
	agent   *agent.Agent
	control *ctrl.Control
	ration  *ration.Limiter
	records *record.Records
	proxy   *proxy.Proxy
	tracer  *trace.Tracer
	changes *change.Client
	host    *host

	listeners []*listener
	callers   *callerServer
	stops     []func()
	failed    chan error
}

// listener is one HTTP listener of the daemon.
type listener struct {
	name string
	ln   net.Listener
	srv  *http.Server
}

// New opens everything that a daemon needs; nothing serves yet.
func New(cfg config.Config, log *event.Log) (*Daemon, error) {
	return newWith(cfg, log, func(dial wire.DialFunc) wire.DialFunc { return dial })
}

// newWith lets tests stand between a daemon and its connections.
func newWith(cfg config.Config, log *event.Log, wrap func(wire.DialFunc) wire.DialFunc) (d *Daemon, err error) {
	defer fault.Note(&err, "set up daemon %s", cfg.Daemon.VM)
	d = &Daemon{
		log:    log.With(zap.String("vm", string(cfg.Daemon.VM))),
		clock:  timer.NewClock(),
		board:  board.New(),
		reg:    prometheus.NewRegistry(),
		server: wire.NewServer(),
		failed: make(chan error, 1),
	}
	d.cfg.Store(&cfg)
	if d.secure, err = secure.Load(cfg.Security); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: cfg.Calls.ConnectTimeout}
	d.dial = wrap(func(ctx context.Context, address string) (net.Conn, error) {
		return d.secure.Dial(ctx, dialer, address)
	})
	d.pool = wire.NewPool(d.dial)
	d.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if d.tracer, err = trace.Open(cfg.Trace, cfg.Daemon.VM); err != nil {
		return nil, err
	}
	d.host = &host{vm: cfg.Daemon.VM, clock: d.clock, board: d.board, log: d.log, lease: announcementLease(cfg.Platform)}
	d.changes = change.New(change.Options{Board: d.board, Clock: d.clock, Pool: d.pool, ControlAddresses: d.controls})
	if err := d.join(); err != nil {
		return nil, err
	}
	d.buildProxy()
	return d, d.listen()
}

// Config returns the settings in force.
func (d *Daemon) Config() *config.Config {
	return d.cfg.Load()
}

func (d *Daemon) join() error {
	cfg := d.Config()
	d.relay = relay.New(relay.Options{
		VM: cfg.Daemon.VM, Clock: d.clock, Board: d.board, Pool: d.pool, OtherRelays: d.otherRelays,
		Address: cfg.Listen.Control, Source: func() string { return d.agent.Relay() },
		AlwaysPull: slices.Contains(cfg.Control.JoinAddresses(), cfg.Listen.Control),
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
		Control:        cfg.Daemon.Role == config.RoleControl,
		FollowConfig:   cfg.Daemon.Role != config.RoleControl,
	})
	d.ration = ration.New(ration.Options{
		VM: cfg.Daemon.VM, DataCentre: cfg.Daemon.DataCentre, Clock: d.clock, Board: d.board, Pool: d.pool,
	})
	d.ration.Register(d.server)
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
	})
	if err == nil {
		d.control.Register(d.server)
	}
	return err
}

func (d *Daemon) buildProxy() {
	cfg := d.Config()
	d.proxy = proxy.New(proxy.Options{
		Config:  d.Config,
		Clock:   d.clock,
		Board:   d.board,
		Log:     d.log,
		Tracer:  d.tracer,
		Metrics: proxy.NewMetrics(d.reg),
		Seed:    uint64(d.clock.Now().UnixNano()),
		Quota:   d.ration,
		Records: d.records,
		Dial:    d.dial,
		Dialect: dialectOf(cfg.Platform),
	})
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
		{"local", cfg.Listen.Local, d.proxy.LocalHandler(d.host)},
		{"admin", cfg.Listen.Admin, d.adminHandler()},
		{"platform", cfg.Platform.API, d.platform().API()},
		{"ready", cfg.Platform.Ready, d.platform().Ready()},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		if err := d.open(h.name, h.address, h.handler); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", cfg.Listen.Control)
	if err != nil {
		return err
	}
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

func (d *Daemon) open(name, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	limits := d.callerLimits()
	if name == "caller" {
		d.callers = newCallerServer(limitListener(ln, d.Config().Calls.Connections), handler, limits)
		return nil
	}
	if name == "peer" {
		ln = d.secure.Listen(ln)
	}
	d.listeners = append(d.listeners, &listener{name: name, ln: ln, srv: newServer(handler, limits)})
	return nil
}

func (d *Daemon) callerLimits() connLimits {
	return limitsOf(d.board.Config.Read().State.Intent.Limits, d.Config().Calls)
}

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer fault.Note(&err, "run daemon %s", d.Config().Daemon.VM)
	d.start()
	d.log.Emit(event.DaemonStarted, zap.String("data_centre", string(d.Config().Daemon.DataCentre)))
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		d.log.Emit(event.ListenerFailed, zap.Error(err))
	}
	d.shutdown()
	return err
}

func (d *Daemon) start() {
	const hostTick = 200 * time.Millisecond
	for _, l := range d.listeners {
		go d.serve(l)
	}
	if d.callers != nil {
		go func() { d.ended(d.callers.Serve()) }()
		d.stops = append(d.stops, d.clock.Every(hostTick, func(time.Time) { d.callers.Apply(d.callerLimits()) }))
	}
	d.stops = append(d.stops, d.relay.Start(), d.ration.Start(), d.records.Start(), d.proxy.Start(), d.clock.Every(hostTick, d.host.tick))
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
	d.ended(err)
}

// ended stops the daemon when a listener ended by itself.
func (d *Daemon) ended(err error) {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	select {
	case d.failed <- err:
	default:
	}
}

// shutdown tells the peers, waits until they no longer send work, finishes
// what runs and closes.
func (d *Daemon) shutdown() {
	d.log.Emit(event.DaemonStopping)
	d.board.Lifecycle.Write(&board.Lifecycle{Phase: board.PhaseStopping})
	ctx, cancel := context.WithTimeout(context.Background(), d.Config().Daemon.ShutdownTimeout)
	defer cancel()
	d.linger(ctx)
	d.agent.Stop(ctx)
	d.closeListeners(ctx)
	for _, stop := range d.stops {
		stop()
	}
	d.server.Close()
	for _, l := range d.listeners {
		_ = l.ln.Close()
	}
	d.pool.Close()
	d.tracer.Close(ctx)
	if n := d.proxy.RunningCalls(); n > 0 {
		d.log.Emit(event.ShutdownTimedOut, zap.Int64("running", n))
		return
	}
	d.log.Emit(event.DaemonStopped)
}

// linger goes on serving until callers and peers have had time to learn that
// this daemon stops. Answers ask callers to close their connections.
func (d *Daemon) linger(ctx context.Context) {
	if d.callers != nil {
		d.callers.CloseAfterAnswers()
	}
	t := time.NewTimer(d.Config().Daemon.ShutdownDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// closeListeners finishes what runs, on all listeners at once.
func (d *Daemon) closeListeners(ctx context.Context) {
	var wg sync.WaitGroup
	if d.callers != nil {
		wg.Go(func() { _ = d.callers.Shutdown(ctx) })
	}
	for _, l := range d.listeners {
		if l.srv != nil {
			wg.Go(func() { _ = l.srv.Shutdown(ctx) })
		}
	}
	wg.Wait()
}

// Reload reads the settings file again. Settings that are not valid change
// nothing. Identity and addresses stay until the next start.
func (d *Daemon) Reload() (err error) {
	have := d.Config()
	next, err := config.Load(have.File)
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
	next.Daemon, next.Listen, next.Security, next.Platform = have.Daemon, have.Listen, have.Security, have.Platform
	d.cfg.Store(&next)
	d.log.SetLevel(next.Log.Level)
	d.log.Emit(event.SettingsReloaded)
	return nil
}
