package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/notice"
	"chicorymast/core/state"
	"chicorymast/core/warm"
	"chicorymast/io/header"
	"chicorymast/io/limit"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

const (
	warmupTime = 3 * time.Second
	warmupRate = 7.2
	// warmupBound is what a cold upstream may get in any second.
	warmupBound = 1.5*warmupRate + 8
	// fullRate is in calls per second.
	fullRate = 100
)

// coldUpstream is an upstream that is cold at times, and says so if it is asked.
type coldUpstream struct {
	*httptest.Server
	clock *timer.Manual

	mu        sync.Mutex
	silent    bool
	coldUntil time.Time
	// cold holds the times of the requests that arrived while it was cold.
	cold        []time.Time
	all, checks int
}

func newColdUpstream(t *testing.T, clock *timer.Manual) *coldUpstream {
	t.Helper()
	u := &coldUpstream{clock: clock}
	u.Server = httptest.NewServer(u)
	t.Cleanup(u.Close)
	return u
}

// ServeHTTP answers calls, and health checks with the time left.
func (u *coldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.all++
	if now := u.clock.Now(); now.Before(u.coldUntil) {
		u.cold = append(u.cold, now)
	}
	if r.URL.Path == "/health" {
		u.checks++
		if !u.silent {
			w.Header().Set(header.UpstreamWarmup, strconv.FormatInt(max(0, u.coldUntil.Sub(u.clock.Now())).Milliseconds(), 10))
		}
	}
	w.Header().Set("Content-Length", "0")
}

// turnCold makes the upstream cold.
func (u *coldUpstream) turnCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil = u.clock.Now().Add(warmupTime)
}

func (u *coldUpstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.all
}

// mustKeepBound checks the arrivals while the upstream was cold.
func (u *coldUpstream) mustKeepBound(t *testing.T) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	first, most := 0, 0
	for i, at := range u.cold {
		for at.Sub(u.cold[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	assert.Assert(t, float64(most) <= warmupBound, "%d of %v arrivals in a second", most, warmupBound)
	assert.Assert(t, float64(len(u.cold)) >= warmupRate*warmupTime.Seconds()/2, "%d calls, it was left idle", len(u.cold))
}

// newColdCalls returns calls to a daemon beside an upstream whose service has a warm-up.
func newColdCalls(t *testing.T, overrun float64) (*peerCalls, *coldUpstream) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	u := newColdUpstream(t, clock)
	p := newUpstreamProxyAt(t, clock, u.Listener.Addr().String(),
		member.Upstream{Service: "shop", ID: "i-1", StartedMs: 1000, Phase: member.PhaseUp, Slots: 100},
		func(c *config.Config) { c.Admission.WarmupOverrun, c.Admission.WarmupSlack = overrun, 8 })
	st := state.New()
	st.Intent.Services = map[ident.Service]intent.ServiceSpec{
		"shop": {Warmup: warmupTime, WarmupRate: warmupRate, HealthPath: "/health"},
	}
	p.opt.Board.Config.Write(board.NewConfig(st, nil))
	return &peerCalls{t: t, p: p, clock: clock, call: header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 600_000}}, u
}

func (c *peerCalls) phase() warm.Phase {
	c.p.admission.mu.Lock()
	defer c.p.admission.mu.Unlock()
	return c.p.admission.warmup.tracker.Phase()
}

func (c *peerCalls) checking() bool {
	c.p.admission.mu.Lock()
	defer c.p.admission.mu.Unlock()
	return c.p.admission.warmup.tracker.Checking()
}

// offerFull sends calls at the full rate for a time. Health checks are answered within a step.
func (c *peerCalls) offerFull(d time.Duration) {
	const step = 10 * time.Millisecond
	for range int(d / step) {
		c.send(fullRate / int(time.Second/step))
		for c.checking() {
			runtime.Gosched()
		}
		c.clock.Advance(step)
		c.settle()
	}
}

// mustServeAll checks that all calls of a second reach the upstream.
func (c *peerCalls) mustServeAll(t *testing.T, u *coldUpstream) {
	t.Helper()
	before := u.requests()
	c.offerFull(time.Second)
	after := u.requests()
	assert.Assert(t, after-before >= fullRate, "%d of %d calls", after-before, fullRate)
}

// awaitDoubt waits until the daemon has noticed that connections have ended.
func (c *peerCalls) awaitDoubt() {
	for c.phase() == warm.PhaseWarm {
		runtime.Gosched()
	}
}

// Guards against upstreams that crash again because of the calls they get while cold.
func TestColdUpstreamGetsFewCalls(t *testing.T) {
	t.Run("after a restart of its daemon", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		u.turnCold()
		c.offerFull(warmupTime)
		u.mustKeepBound(t)
		c.offerFull(100 * time.Millisecond)
		c.mustServeAll(t, u)
	})
	t.Run("after its process has come back at once", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		c.offerFull(time.Second)
		c.mustServeAll(t, u)
		u.turnCold()
		u.CloseClientConnections()
		c.awaitDoubt()
		c.offerFull(warmupTime)
		u.mustKeepBound(t)
		c.offerFull(time.Second)
		c.mustServeAll(t, u)
	})
	t.Run("after an evacuation", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		c.offerFull(time.Second)
		next := *c.p.opt.Board.Upstream.Read()
		for _, drained := range []bool{true, false} {
			next.Drained = drained
			written := next
			c.p.opt.Board.Upstream.Write(&written)
			c.clock.Advance(50 * time.Millisecond)
		}
		u.turnCold()
		c.offerFull(warmupTime)
		u.mustKeepBound(t)
	})
	t.Run("if only its announcements say so", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		u.silent = true
		c.offerFull(warmupTime + 2*time.Second)
		c.mustServeAll(t, u)
		c.p.UpstreamAnnounced(notice.Process{Upstream: "i-1", StartedMs: 1000}, warmupTime)
		u.turnCold()
		c.offerFull(warmupTime)
		u.mustKeepBound(t)
		c.offerFull(time.Second)
		c.mustServeAll(t, u)
	})
}

// Guards against connections that are counted and not watched, or the reverse: the daemon
// would not notice that a process has come back, or not bound the heads of its responses.
func TestConnectionsAreCountedAndWatched(t *testing.T) {
	c, _ := newColdCalls(t, 1.5)
	c.offerFull(time.Second)
	assert.Equal(t, c.phase(), warm.PhaseWarm)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	conn, err := c.p.upstreamTransport.DialContext(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, counted := conn.(*limit.Conn)
	assert.Assert(t, counted)
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
	_, err = io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, c.phase(), warm.PhaseUncertain)
}

// Guards against entries that take a limited upstream for idle while its daemon is in doubt.
func TestDoubtKeepsTheUseOfAStatedLimit(t *testing.T) {
	const limit = 50
	c, _ := newColdCalls(t, 1.5)
	c.offerFull(time.Second)
	c.p.admission.setRate(limit)
	before := c.p.admission.load()
	assert.Equal(t, before.RateLimit, ident.Rate(limit))
	assert.Assert(t, before.RateUse > 1)
	c.p.admission.doubt()
	assert.Equal(t, c.phase(), warm.PhaseUncertain)
	assert.DeepEqual(t, c.p.admission.load(), before)
}

func TestWarmUpstreamIsNotSlowed(t *testing.T) {
	t.Run("which its health check shows at once", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		c.offerFull(200 * time.Millisecond)
		c.mustServeAll(t, u)
		assert.Assert(t, u.checks <= 2, "%d health checks", u.checks)
	})
	t.Run("once the setting is turned off", func(t *testing.T) {
		c, u := newColdCalls(t, 1.5)
		u.turnCold()
		c.offerFull(200 * time.Millisecond)
		assert.Equal(t, c.phase(), warm.PhaseCold)
		c.p.opt.Config().Admission.WarmupOverrun = 0
		c.mustServeAll(t, u)
	})
	t.Run("whatever it says, without the setting", func(t *testing.T) {
		c, u := newColdCalls(t, 0)
		u.turnCold()
		c.mustServeAll(t, u)
		assert.Equal(t, u.checks, 0)
	})
}

// Entries that do not know that a refused call has not run, or that the upstream is slow,
// would not try another, or send as many calls as before.
func TestRefusalOfAColdUpstreamTellsEntries(t *testing.T) {
	c, u := newColdCalls(t, 1.5)
	u.turnCold()
	c.offerFull(time.Second)
	c.send(20) // those that wait now are ahead of the next
	call := c.call
	call.Rank = 255
	req, w := httptest.NewRequest(http.MethodGet, "/", nil), httptest.NewRecorder()
	header.SetCall(req.Header, call)
	c.p.PeerHandler().ServeHTTP(w, req)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	result, ok := header.GetResult(w.Result().Header)
	assert.Assert(t, ok)
	assert.Equal(t, result.Reason, fault.ReasonOverload)
	assert.Assert(t, result.NotRun)
	assert.Equal(t, result.Load.RateLimit, ident.Rate(warmupRate))
	assert.Assert(t, result.Load.RateUse > 1)
}
