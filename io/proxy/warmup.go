package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/notice"
	"chicorymast/core/sample"
	"chicorymast/core/warm"
	"chicorymast/io/event"
	"chicorymast/io/header"

	"go.uber.org/zap"
)

// errUpstreamCold is returned for a call that an upstream would not bear while it is cold.
var errUpstreamCold = errors.New("the upstream is cold")

// healthTimeout limits the time of a health check. A later answer may describe a process
// that has ended since.
const healthTimeout = 500 * time.Millisecond

// warmup is the part of admission that bounds the calls to a cold upstream.
type warmup struct {
	tracker *warm.Tracker
	// followed is set once the settings have asked to follow the upstream. Calls take no
	// locks for it before that.
	followed atomic.Bool
	// stated is the rate that the upstream names in its responses, zero for any.
	stated ident.Rate
	// check starts a health check that has been noted at a time.
	check func(noted time.Time)
	// slowWindows and phase are those at the last look.
	slowWindows uint64
	phase       warm.Phase
	ramping     bool
	// process and takesCalls are those that were followed last.
	process    notice.Process
	takesCalls bool
	// tookCalls is set once the upstream has taken calls.
	tookCalls bool
	// nestedMade counts the calls that the upstream has made, nestedRunning those that have
	// not ended.
	nestedMade    atomic.Int64
	nestedRunning atomic.Int64
	// unanswered is the number of calls that wait for an answer. heardAt is when the last
	// call was answered, or the first of those that wait was sent.
	unanswered int
	heardAt    time.Time
}

func newWarmup() *warmup {
	return &warmup{tracker: warm.New(), check: func(time.Time) {}, phase: warm.PhaseWarm}
}

// followed is what the admission needs to know of the upstream on this VM.
type followed struct {
	process    notice.Process
	slots      int
	takesCalls bool
	checkable  bool
	spec       warm.Spec
}

// followUpstream passes the state of the upstream on this VM to the admission.
func (p *Proxy) followUpstream(upstream *board.Upstream) {
	settings := p.opt.Config().Admission
	if p.passThrough() {
		settings.WarmupOverrun, settings.Ramp = 0, false
	}
	if settings.WarmupOverrun == 0 && !settings.Ramp && !p.admission.warmup.followed.Load() {
		return
	}
	service := p.opt.Board.Config.Read().State.Intent.Services[upstream.Service]
	p.admission.follow(followed{
		process: upstream.Process(), slots: upstream.Slots, takesCalls: upstream.Present() && p.takesCalls(upstream),
		checkable: p.healthPath(upstream) != "",
		spec: warm.Spec{
			Time: service.Warmup, Rate: service.WarmupRate, Overrun: settings.WarmupOverrun, Slack: settings.WarmupSlack,
		},
	})
}

// healthPath returns the path of the health check of the upstream, empty for none.
func (p *Proxy) healthPath(upstream *board.Upstream) string {
	if path := p.opt.Board.Config.Read().State.Intent.Services[upstream.Service].HealthPath; path != "" {
		return path
	}
	return upstream.HealthPath
}

func (a *admission) follow(f followed) {
	a.warmup.followed.Store(true)
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.slots > 0 {
		a.resize(f.slots)
	}
	a.warmup.tracker.SetSpec(now, f.spec)
	a.warmup.tracker.SetCheckable(f.checkable)
	a.warmup.tracker.Serve(now, f.process, f.takesCalls)
	a.beginRampIfNew(now, f)
	a.setPace(now)
}

// beginRampIfNew begins a ramp if another process is on this VM, or if the upstream is taken
// back into service. A daemon that has just started knows no former process; the age of the
// one that it finds then decides. The mutex must be held.
func (a *admission) beginRampIfNew(now time.Time, f followed) {
	w := a.warmup
	first := w.process.Upstream == ""
	switch {
	case f.process.Upstream == "":
	case first:
		var started time.Time
		if f.process.StartedMs > 0 {
			started = time.UnixMilli(f.process.StartedMs)
		}
		a.controller.BeginRampIfStartedAt(now, started)
	case f.process != w.process || (f.takesCalls && !w.takesCalls && w.tookCalls):
		a.controller.BeginRamp(now)
	}
	if f.process.Upstream != "" {
		w.process = f.process
	}
	w.takesCalls = f.takesCalls
	w.tookCalls = w.tookCalls || f.takesCalls
}

// UpstreamAnnounced notes that a process has announced for how long it stays cold.
func (p *Proxy) UpstreamAnnounced(process notice.Process, left time.Duration) {
	p.followUpstream(p.opt.Board.Upstream.Read())
	p.admission.announced(process, left)
}

func (a *admission) announced(process notice.Process, left time.Duration) {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmup.tracker.Announced(now, process, left)
	a.setPace(now)
}

// setPace applies the lower of the rate that the upstream names and the one that it bears
// while it is cold. The mutex must be held.
func (a *admission) setPace(now time.Time) {
	pace := a.warmup.tracker.Pace(now)
	if a.warmup.stated > 0 && (pace.Rate == 0 || a.warmup.stated <= pace.Rate) {
		pace = warm.Pace{Rate: a.warmup.stated}
	}
	a.apply(a.controller.SetPace(now, pace.Rate, pace.Burst))
	a.notePhase(now)
	a.noteRamp()
}

// noteRamp logs that a ramp has begun or ended. The mutex must be held.
func (a *admission) noteRamp() {
	before, ramping := a.warmup.ramping, a.controller.RampActive()
	if a.warmup.ramping = ramping; ramping == before {
		return
	}
	id := event.RampEnded
	if ramping {
		id = event.RampBegun
	}
	a.opt.Trail.Note(id, sample.Key{}, func() []zap.Field { return nil })
}

// notePhase logs that the upstream has become cold, or warm again. A doubt is logged only if
// calls wait because of it: a service with few calls has one after each pause. The mutex must
// be held.
func (a *admission) notePhase(now time.Time) {
	before, phase := a.warmup.phase, a.warmup.tracker.Phase()
	if phase == warm.PhaseUncertain && (a.warmup.tracker.Provisional(now) || !a.controller.Short(now)) {
		return
	}
	if a.warmup.phase = phase; phase == before {
		return
	}
	id := event.UpstreamCold
	if phase == warm.PhaseWarm {
		id = event.UpstreamWarm
	}
	a.opt.Trail.Note(id, sample.Key{Reason: string(phase)}, func() []zap.Field {
		return []zap.Field{zap.String("phase", string(phase)), zap.String("before", string(before))}
	})
}

// suspectIfSlow notes calls that were rejected or slow. The mutex must be held.
func (a *admission) suspectIfSlow(now time.Time, s admit.Sample) {
	slow := a.controller.SlowWindows()
	if s.Shed || slow > a.warmup.slowWindows {
		a.warmup.tracker.Suspect(now)
	}
	a.warmup.slowWindows = slow
}

// checkIfWanted starts a health check if it is worth its cost. The mutex must be held.
func (a *admission) checkIfWanted(now time.Time) {
	if a.warmup.tracker.WantsCheck(now, a.controller.Short(now)) {
		a.warmup.tracker.StartCheck(now)
		go a.warmup.check(now)
	}
}

// checked applies the result of a health check that was started at a time.
func (a *admission) checked(noted time.Time, r warm.Result) {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmup.tracker.Checked(now, noted, r)
	a.setPace(now)
}

// doubt notes that the process of the upstream may have ended.
func (a *admission) doubt() {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmup.tracker.Doubt(now)
	a.setPace(now)
}

// unreachable notes that the upstream refuses connections.
func (a *admission) unreachable() {
	a.mu.Lock()
	a.controller.BeginRamp(a.opt.Clock.Now())
	a.mu.Unlock()
	a.doubt()
}

// beginRampIfSilent begins a ramp if the upstream has answered none of several calls for
// much longer than calls take. Calls that wait for nested calls are not counted: it is
// another service that does not answer these. The mutex must be held.
func (a *admission) beginRampIfSilent(now time.Time) {
	const minUnanswered, holds = 3, 4
	_, hold := a.controller.RunningHold()
	unanswered := a.warmup.unanswered - int(a.warmup.nestedRunning.Load())
	if unanswered < minUnanswered || now.Sub(a.warmup.heardAt) < max(time.Second, holds*hold) {
		return
	}
	a.warmup.heardAt = now
	a.controller.BeginRamp(now)
}

// send reports whether a call that was admitted may be sent now.
func (a *admission) send(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.warmup.tracker.Send(now) {
		return false
	}
	if a.warmup.unanswered == 0 {
		a.warmup.heardAt = now
	}
	a.warmup.unanswered++
	return true
}

// sent notes how a call ended that was sent at a time; resp is nil without an answer.
func (a *admission) sent(at time.Time, resp *http.Response) {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmup.unanswered--
	if resp == nil || resp.StatusCode == http.StatusMisdirectedRequest {
		a.warmup.tracker.Ended()
		return
	}
	a.warmup.heardAt = now
	a.warmup.tracker.Answered(now, at)
}

// warmupRate returns the rate to which calls are slowed, zero while the upstream is warm.
func (a *admission) warmupRate(now time.Time) ident.Rate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.warmup.tracker.Pace(now).Rate
}

// sendToUpstream sends a request to the upstream, unless that is cold and has got as many
// as it bears. Errors: errUpstreamCold, and those of the transport.
func (p *Proxy) sendToUpstream(req *http.Request) (resp *http.Response, err error) {
	if !p.admission.warmup.followed.Load() {
		return p.transportFor(req).RoundTrip(req)
	}
	at := p.opt.Clock.Now()
	if !p.admission.send(at) {
		return nil, errUpstreamCold
	}
	resp, err = p.transportFor(req).RoundTrip(req)
	p.admission.sent(at, resp)
	return resp, err
}

// checkHealth asks the upstream for how long it stays cold.
func (p *Proxy) checkHealth(noted time.Time) {
	result := warm.Result(warm.Unanswered{})
	defer func() { p.admission.checked(noted, result) }()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	upstream := p.opt.Board.Upstream.Read()
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: upstream.Address, Path: p.healthPath(upstream)},
		Header: http.Header{}, Host: upstream.Address,
	}
	p.opt.Dialect.SetUpstream(req.Header, header.UpstreamHeaders{TimeLeft: healthTimeout, Target: upstream.ID})
	// A connection that is kept may bring an earlier answer once more.
	resp, err := p.freshTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return
	}
	discardBody(resp)
	if left, ok := p.opt.Dialect.WarmupLeft(resp); ok {
		result = warm.Stated{Left: left}
	}
}

// watchConnections lets a transport to the upstream note connections that the upstream
// refuses, resets or closes: its process may have ended. The transport sends a request again
// on its own if a kept connection is found closed, so the errors of requests don't show it.
func (p *Proxy) watchConnections(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			if ctx.Err() == nil && !fault.TooManyFiles(err) {
				p.admission.unreachable()
			}
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			return &watchedConn{TCPConn: tcp, onEnd: p.admission.doubt}, nil
		}
		return conn, nil
	}
}

// watchedConn is a connection to the upstream that notes its end by the upstream.
type watchedConn struct {
	*net.TCPConn
	onEnd func()
}

// Read reads and notes an end that is not this daemon's own.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.onEnd()
	}
	return n, err
}
