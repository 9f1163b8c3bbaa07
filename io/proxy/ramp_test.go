package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/member"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// newRampCalls returns calls to a daemon beside an upstream that is at full pace.
func newRampCalls(t *testing.T) (*peerCalls, *httptest.Server) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	u := newColdUpstream(t, clock)
	return newRampCallsTo(t, clock, u.Listener.Addr().String()), u.Server
}

func newRampCallsTo(t *testing.T, clock *timer.Manual, address string) *peerCalls {
	t.Helper()
	p := newUpstreamProxyAt(t, clock, address,
		member.Upstream{Service: "shop", ID: "i-1", StartedMs: 1_000_000, Phase: member.PhaseUp, Slots: 100},
		func(c *config.Config) { c.Admission.Ramp = true })
	c := &peerCalls{t: t, p: p, clock: clock, call: header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 600_000}}
	c.send(1)
	assert.Assert(t, p.admission.load().Limit < 100, "the process has just started")
	c.recover()
	return c
}

// recover lets calls succeed one after the other.
func (c *peerCalls) recover() {
	const enough = 200
	for range enough {
		c.send(1)
		c.clock.Advance(time.Millisecond)
	}
	assert.Equal(c.t, c.p.admission.load().Limit, 100)
}

// change writes another state of the upstream.
func (c *peerCalls) change(f func(u *board.Upstream)) {
	next := *c.p.opt.Board.Upstream.Read()
	f(&next)
	c.p.opt.Board.Upstream.Write(&next)
	c.clock.Advance(20 * time.Millisecond)
}

// Guards against an upstream that gets the calls of all its slots in the moment in which it
// is back.
func TestRampBeginsWhenAnUpstreamComesBack(t *testing.T) {
	t.Run("as another process", func(t *testing.T) {
		c, _ := newRampCalls(t)
		c.change(func(u *board.Upstream) { u.StartedMs++ })
		assert.Equal(t, c.p.admission.load().Limit, 10)
		c.recover()
	})
	t.Run("into service", func(t *testing.T) {
		c, _ := newRampCalls(t)
		c.change(func(u *board.Upstream) { u.Drained = true })
		assert.Equal(t, c.p.admission.load().Limit, 100)
		c.change(func(u *board.Upstream) { u.Drained = false })
		assert.Equal(t, c.p.admission.load().Limit, 10)
		c.recover()
	})
	t.Run("after it refused connections", func(t *testing.T) {
		c, u := newRampCalls(t)
		u.Close()
		c.p.upstreamTransport.CloseIdleConnections() // else the call may go out on one that is dead
		c.send(1)
		assert.Equal(t, c.p.admission.load().Limit, 10)
	})
	t.Run("but not at every renewal", func(t *testing.T) {
		c, _ := newRampCalls(t)
		c.change(func(u *board.Upstream) { u.LoadPath = "/load" })
		assert.Equal(t, c.p.admission.load().Limit, 100)
	})
}

// Guards against a daemon that slows down an upstream beside which only the daemon restarts.
func TestDaemonRestartsBesideARunningUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		startedMs int64
		limit     int
	}{
		"that has run for long":      {900_000, 100},
		"that started a moment ago":  {999_000, 10},
		"with a clock that is ahead": {1_003_000, 10},
		"that does not say its age":  {0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			u := newColdUpstream(t, clock)
			p := newUpstreamProxyAt(t, clock, u.Listener.Addr().String(),
				member.Upstream{Service: "shop", ID: "i-1", StartedMs: c.startedMs, Phase: member.PhaseUp, Slots: 100},
				func(c *config.Config) { c.Admission.Ramp = true })
			clock.Advance(20 * time.Millisecond)
			assert.Equal(t, p.admission.load().Limit, c.limit)
		})
	}
}

// Guards against an upstream that is taken for silent while its calls wait for another service.
func TestCallsThatWaitForNestedCallsAreNotSilence(t *testing.T) {
	c, _ := newRampCalls(t)
	a := c.p.admission
	now := c.clock.Now()
	for ticket := range admit.Ticket(5) {
		a.controller.Arrive(now, admit.Request{Ticket: 1_000_000 + ticket, Route: "shop", Deadline: now.Add(time.Minute)})
	}
	a.warmup.unanswered, a.warmup.heardAt = 5, now
	a.warmup.nestedRunning.Store(5)
	c.clock.Advance(10 * time.Second)
	assert.Equal(t, a.load().Limit, 100)
	a.warmup.nestedRunning.Store(0)
	c.clock.Advance(10 * time.Second)
	assert.Equal(t, a.load().Limit, 10)
}

// Guards against an upstream that is slowed after each pause, or is not when it is silent.
func TestPauseIsNoSilence(t *testing.T) {
	const calls = 3
	var holds atomic.Bool
	started, release := make(chan struct{}, calls), make(chan struct{})
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if holds.Load() {
			started <- struct{}{}
			<-release
		}
		w.Header().Set("Content-Length", "0")
	}))
	defer u.Close()
	c := newRampCallsTo(t, timer.NewManual(time.Unix(1000, 0)), u.Listener.Addr().String())
	holds.Store(true)
	c.clock.Advance(10 * time.Second)
	for range calls {
		c.start()
	}
	for range calls {
		<-started
	}
	c.clock.Advance(50 * time.Millisecond)
	afterPause := c.p.admission.load().Limit
	c.clock.Advance(2 * time.Second)
	afterSilence := c.p.admission.load().Limit
	close(release)
	c.settle()
	assert.Equal(t, afterPause, 100)
	assert.Equal(t, afterSilence, 10)
}
