package proxy

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/notice"
	"chicorymast/core/route"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// sayingUpstream is an upstream that says something about itself in its responses.
type sayingUpstream struct {
	*httptest.Server
	requests atomic.Int64
	limit    atomic.Pointer[string]
	// respond writes the rest of a response; nil responds without a body.
	respond http.HandlerFunc
}

func newSayingUpstream(t *testing.T, limit string) *sayingUpstream {
	t.Helper()
	u := &sayingUpstream{}
	u.say(limit)
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.requests.Add(1)
		if text := *u.limit.Load(); text != "" {
			w.Header().Set(header.UpstreamLimit, text)
		}
		if u.respond != nil {
			u.respond(w, r)
			return
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
		c.start()
	}
	c.settle()
}

// start sends a call.
func (c *peerCalls) start() {
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	header.SetCall(req.Header, c.call)
	c.sent++
	go func() {
		c.p.PeerHandler().ServeHTTP(httptest.NewRecorder(), req)
		c.done.Add(1)
	}()
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

// A wrong or foreign statement must not stop a service.
func TestStatementsThatDoNotLimitAnUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		limit   string
		respond http.HandlerFunc
	}{
		"no number":               {limit: "many"},
		"a negative number":       {limit: "-1"},
		"not a number":            {limit: "NaN"},
		"another server responds": {"1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }},
		"a spoilt response": {"1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = w.Write([]byte("without a length"))
		}},
		"an interim response": {"", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.UpstreamLimit, "1")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del(header.UpstreamLimit)
			w.WriteHeader(http.StatusOK)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			u := newSayingUpstream(t, c.limit)
			u.respond = c.respond
			calls := newPeerCalls(t, u.address())
			calls.offer(20, time.Second)
			assert.Equal(t, u.requests.Load(), int64(20))
		})
	}
	t.Run("a limit of zero still lets some calls through", func(t *testing.T) {
		u := newSayingUpstream(t, "0")
		calls := newPeerCalls(t, u.address())
		calls.send(1)
		calls.offer(20, 4*time.Second)
		got := u.requests.Load() - 1
		assert.Assert(t, got >= 3 && got <= 5, "%d calls in 4 s", got)
	})
}

// A daemon that restarts knows no limit, while the others go on sending.
func TestRestartedDaemonKeepsTheLimitThatOthersKnow(t *testing.T) {
	const limit = 10
	process := notice.Process{Upstream: "i-1", StartedMs: 1000}
	newCalls := func(t *testing.T, said string) (*sayingUpstream, *peerCalls) {
		t.Helper()
		u := newSayingUpstream(t, said)
		c := newPeerCalls(t, u.address())
		c.call.UpstreamNotice = &notice.Notice{Process: process, Limit: limit}
		return u, c
	}
	t.Run("before the upstream has said anything", func(t *testing.T) {
		u, c := newCalls(t, "10")
		c.send(100)
		assert.Equal(t, u.requests.Load(), int64(0))
		c.offer(4*limit, 4*time.Second)
		assert.Assert(t, u.requests.Load() <= 4*limit*3/2+5, "%d calls in 4 s", u.requests.Load())
	})
	t.Run("until the upstream says otherwise", func(t *testing.T) {
		u, c := newCalls(t, "")
		c.offer(4*limit, time.Second)
		before := u.requests.Load()
		c.offer(4*limit, time.Second)
		assert.Equal(t, u.requests.Load()-before, int64(4*limit))
	})
	t.Run("but not that of another process", func(t *testing.T) {
		u, c := newCalls(t, "")
		c.call.UpstreamNotice.StartedMs++
		c.offer(4*limit, time.Second)
		assert.Equal(t, u.requests.Load(), int64(4*limit))
	})
}

func TestDispatcherTellsWhatItKnowsOfALimit(t *testing.T) {
	now, process := time.Unix(1000, 0), notice.Process{Upstream: "i-1", StartedMs: 1000}
	vm := route.Candidate{VM: "vm-1", Process: process}
	n := newNotices()
	mustTell := func(t *testing.T, want ident.Rate) {
		t.Helper()
		told := n.limitOf(now, process)
		assert.Equal(t, told != nil, want > 0)
		assert.Assert(t, told == nil || told.Limit == want)
	}
	n.learn(now, vm, header.Result{Notice: &notice.Notice{Process: process, Limit: 7}})
	mustTell(t, 7)
	t.Run("also after a refusal of a daemon that has not heard of it", func(t *testing.T) {
		n.learn(now, vm, header.Result{Reason: fault.ReasonOverload})
		mustTell(t, 7)
	})
	t.Run("until the upstream responds without one", func(t *testing.T) {
		n.learn(now, vm, header.Result{})
		mustTell(t, 0)
	})
	t.Run("that another process at the VM leaves is not held against it", func(t *testing.T) {
		before := n.leavingCount()
		n.learn(now, vm, header.Result{Notice: &notice.Notice{Process: notice.Process{Upstream: "i-0"}, Leaving: true}})
		assert.Equal(t, n.leavingCount(), before+1)
		assert.DeepEqual(t, staying(now, n, []route.Candidate{vm}), []route.Candidate{vm})
	})
}
