package proxy

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// sayingUpstream is an upstream that says something about itself in its responses.
type sayingUpstream struct {
	*httptest.Server
	requests atomic.Int64
	limit    atomic.Pointer[string]
}

func newSayingUpstream(t *testing.T, limit string) *sayingUpstream {
	t.Helper()
	u := &sayingUpstream{}
	u.say(limit)
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		u.requests.Add(1)
		if text := *u.limit.Load(); text != "" {
			w.Header().Set(header.UpstreamLimit, text)
		}
		w.Header().Set("Content-Length", "0")
	}))
	t.Cleanup(u.Close)
	return u
}

func (u *sayingUpstream) say(limit string) { u.limit.Store(&limit) }

func (u *sayingUpstream) address() string { return u.Listener.Addr().String() }

// peerCalls sends calls to a daemon with a manual clock, as other daemons do.
type peerCalls struct {
	t     *testing.T
	p     *Proxy
	clock *timer.Manual
	sent  int
	done  atomic.Int64
	call  header.Call
}

func newPeerCalls(t *testing.T, address string) *peerCalls {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	p := newUpstreamProxyAt(t, clock, address, member.Upstream{Service: "shop", ID: "i-1", StartedMs: 1000, Phase: member.PhaseUp, Slots: 100})
	return &peerCalls{t: t, p: p, clock: clock, call: header.Call{Service: "shop", Route: "shop", AdmittedShare: 1, TimeoutMs: 600_000}}
}

// send sends calls and returns when each of them waits for admission or has ended.
func (c *peerCalls) send(n int) {
	for range n {
		req := httptest.NewRequest(http.MethodGet, "/", nil)
		header.SetCall(req.Header, c.call)
		c.sent++
		go func() {
			c.p.PeerHandler().ServeHTTP(httptest.NewRecorder(), req)
			c.done.Add(1)
		}()
	}
	c.settle()
}

func (c *peerCalls) settle() {
	for int(c.done.Load())+c.p.admission.load().Waiting < c.sent {
		runtime.Gosched()
	}
}

// offer sends calls at a rate for a time.
func (c *peerCalls) offer(rate ident.Rate, d time.Duration) {
	const step = 100 * time.Millisecond
	due := 0.0
	for range int(d / step) {
		due += float64(rate) * step.Seconds()
		c.send(int(due))
		due -= float64(int(due))
		c.clock.Advance(step)
		c.settle()
	}
}

func TestUpstreamGetsNoMoreCallsThanItsLimit(t *testing.T) {
	const limit = 10
	u := newSayingUpstream(t, "10")
	c := newPeerCalls(t, u.address())
	c.send(1)
	before := u.requests.Load()
	for range 3 {
		c.offer(4*limit, 4*time.Second)
		got := u.requests.Load() - before
		before += got
		assert.Assert(t, got <= 4*limit*3/2+5, "%d calls in 4 s", got)
		assert.Assert(t, got >= 4*limit*9/10, "%d calls in 4 s, the limit is not used", got)
	}
	t.Run("until it names none", func(t *testing.T) {
		u.say("")
		c.offer(4*limit, time.Second)
		before := u.requests.Load()
		c.offer(4*limit, time.Second)
		assert.Equal(t, u.requests.Load()-before, int64(4*limit))
	})
}
