package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/admit"
	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// answer is what the daemon beside an upstream answers to an attempt.
type answer string

const (
	answerOK       answer = "ok"
	answerRejected answer = "rejected by the upstream"
	answerFailed   answer = "failed"
	answerFull     answer = "refused by the daemon"
)

// repeatingCaller dispatches calls to the daemons of a service, which answer by a script.
type repeatingCaller struct {
	t     *testing.T
	p     *Proxy
	clock *timer.Manual

	mu     sync.Mutex
	script []answer
	calls  []header.Call
	vms    []ident.VM
}

func newRepeatingCaller(t *testing.T, window time.Duration, vms ...ident.VM) *repeatingCaller {
	t.Helper()
	c := &repeatingCaller{t: t, clock: timer.NewManual(time.Unix(1000, 0))}
	c.p = newUpstreamProxyAt(t, c.clock, "127.0.0.1:1", member.Upstream{Service: "shop", ID: "i-1", Phase: member.PhaseUp, Slots: 4})
	c.setWindow(window)
	var entries []member.Entry
	for _, vm := range vms {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(vm, w, r) }))
		t.Cleanup(srv.Close)
		entries = append(entries, member.Entry{
			VM: vm, Addresses: member.Addresses{Peer: strings.TrimPrefix(srv.URL, "http://")}, Phase: member.PhaseUp,
			Upstream: &member.Upstream{Service: "deep", Slots: 4, Phase: member.PhaseUp},
		})
	}
	c.p.peerTransport.DialContext = newDialer(time.Second).DialContext
	c.p.opt.Board.Config.Write(board.NewConfig(state.New(), nil))
	c.p.opt.Board.Members.Write(board.NewMembers(entries))
	return c
}

func (c *repeatingCaller) setWindow(window time.Duration) {
	cfg := config.Default()
	cfg.Calls.RetryWindow = window
	c.p.opt.Config = func() *config.Config { return &cfg }
	c.p.router = newRouter(c.p.opt, c.p.notices, c.p.rng)
	c.clock.Advance(2 * window) // the slack is not usable in the first window
}

func (c *repeatingCaller) serve(vm ident.VM, w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, err := header.GetCall(r.Header)
	assert.Check(c.t, err)
	a := c.script[min(len(c.calls), len(c.script)-1)]
	c.calls, c.vms = append(c.calls, call), append(c.vms, vm)
	result, status := header.Result{UnspentRetries: call.Retries}, http.StatusOK
	switch a {
	case answerOK:
	case answerRejected:
		result.NotRun, status = true, http.StatusServiceUnavailable
	case answerFailed:
		result.Reason, status = fault.ReasonUpstreamFailed, http.StatusBadGateway
	case answerFull:
		result.Reason, result.NotRun, status = fault.ReasonOverload, true, http.StatusServiceUnavailable
	}
	header.SetResult(w.Header(), result)
	w.WriteHeader(status)
}

// dispatch sends a call with a number of retries and returns the number of attempts and
// the retries that are left.
func (c *repeatingCaller) dispatch(o outboundCall, script ...answer) (attempts, unspent int) {
	c.t.Helper()
	c.calls, c.vms, c.script = nil, nil, script
	o.call.Service, o.call.Route = "deep", "deep"
	o.method, o.url, o.header, o.body = http.MethodGet, &url.URL{Path: "/"}, http.Header{}, &payload{complete: true}
	_, retries, _ := c.p.dispatch(context.Background(), &o)
	return len(c.calls), retries.unspentRetries
}

// Without the setting, a rejected call must be repeated as before: by the retries of its
// action, and at no VM twice.
func TestRejectedCallWithoutWindow(t *testing.T) {
	c := newRepeatingCaller(t, 0, "a", "b", "c")
	attempts, unspent := c.dispatch(outboundCall{call: header.Call{Retries: 1}}, answerRejected)
	assert.Equal(t, attempts, 2)
	assert.Equal(t, unspent, 0)
	attempts, _ = c.dispatch(outboundCall{call: header.Call{Retries: 9}}, answerRejected)
	assert.Equal(t, attempts, 3)
	for _, call := range c.calls {
		assert.Assert(t, !call.Repeat)
	}
}

// A rejection that proves that nothing has run must not use up the action's retries, which
// bound runs, and a VM that rejects a share of its calls may take the next one.
func TestRejectedCallIsSentAgain(t *testing.T) {
	const window = 10 * time.Second
	t.Run("without retries of the action", func(t *testing.T) {
		c := newRepeatingCaller(t, window, "a", "b")
		attempts, _ := c.dispatch(outboundCall{}, answerRejected, answerRejected, answerRejected, answerOK)
		assert.Equal(t, attempts, 4)
		assert.Assert(t, c.vms[0] != c.vms[1], "another VM comes first")
		assert.Assert(t, !c.calls[0].Repeat)
		assert.Assert(t, c.calls[1].Repeat && c.calls[3].Repeat)
	})
	t.Run("the retries of the action are left", func(t *testing.T) {
		c := newRepeatingCaller(t, window, "a", "b")
		_, unspent := c.dispatch(outboundCall{call: header.Call{Retries: 3}}, answerRejected, answerRejected, answerOK)
		assert.Equal(t, unspent, 3)
	})
	t.Run("not without end", func(t *testing.T) {
		for _, vms := range [][]ident.VM{{"a"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e", "f"}} {
			c := newRepeatingCaller(t, window, vms...)
			attempts, _ := c.dispatch(outboundCall{}, answerRejected)
			assert.Equal(t, attempts, 1+min(max(2*len(vms), minRejections), maxRejections))
		}
	})
	t.Run("not at more VMs than the route allows", func(t *testing.T) {
		c := newRepeatingCaller(t, window, "a", "b", "c", "d")
		c.dispatch(outboundCall{vmLimit: 2}, answerRejected)
		reached := map[ident.VM]bool{}
		for _, vm := range c.vms {
			reached[vm] = true
		}
		assert.Equal(t, len(reached), 2)
		assert.Assert(t, len(c.vms) > 2)
	})
	t.Run("not if an earlier attempt may have run", func(t *testing.T) {
		c := newRepeatingCaller(t, window, "a", "b", "c")
		attempts, _ := c.dispatch(outboundCall{call: header.Call{Retries: 1, Idempotent: true}}, answerFailed, answerRejected)
		assert.Equal(t, attempts, 2)
	})
	t.Run("not beyond the window of the service", func(t *testing.T) {
		c := newRepeatingCaller(t, window, "a", "b")
		c.p.router.recordSend(header.Call{Service: "deep"})
		for range 200 { // more than the slack of the whole fleet
			c.p.router.recordSend(header.Call{Service: "deep", Repeat: true})
		}
		attempts, _ := c.dispatch(outboundCall{}, answerRejected)
		assert.Equal(t, attempts, 1)
	})
}

// Only arrivals at upstreams beyond the first count as repeats.
func TestRefusalByDaemonMakesNoRepeat(t *testing.T) {
	c := newRepeatingCaller(t, 10*time.Second, "a", "b", "c")
	attempts, _ := c.dispatch(outboundCall{}, answerFull, answerRejected, answerOK)
	assert.Equal(t, attempts, 3)
	assert.Assert(t, !c.calls[1].Repeat)
	assert.Assert(t, c.calls[2].Repeat)
	attempts, _ = c.dispatch(outboundCall{}, answerRejected, answerRejected, answerFull, answerOK)
	assert.Equal(t, attempts, 4, "the refusal of a daemon needs no budget after rejections either")
}

// Calls of a run that was itself a repeat must use up the retries of their service.
func TestCallsOfRepeatedRunAreRepeats(t *testing.T) {
	c := newRepeatingCaller(t, 10*time.Second, "a")
	before := c.p.router.retryCredit("deep")
	c.dispatch(outboundCall{call: header.Call{Repeat: true}}, answerOK)
	assert.Assert(t, c.calls[0].Repeat)
	assert.Equal(t, c.p.router.retryCredit("deep"), before-1)
}

// A late call must get a retry that is earned shortly after it was denied one, unless its
// caller has left.
func TestDeniedNestedCallAsksAgain(t *testing.T) {
	c := newRepeatingCaller(t, 10*time.Second, "a")
	repeat, first := header.Call{Service: "deep", Repeat: true}, header.Call{Service: "deep"}
	for range 102 { // the slack and a little more
		c.p.router.recordSend(repeat)
	}
	o := &outboundCall{call: first, served: &servedCall{call: header.Call{Depth: 1}}}
	left, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !c.p.awaitRetry(left, o))
	assert.Assert(t, !c.p.awaitRetry(context.Background(), &outboundCall{call: first}), "a call of a caller")
	earned := make(chan struct{})
	go func() {
		defer close(earned)
		for range 100 {
			c.p.router.recordSend(first)
		}
	}()
	assert.Assert(t, c.p.awaitRetry(context.Background(), o))
	<-earned
}

// The daemon beside a run that was a repeat must mark the calls that the run makes, whether
// the trace context or the deadline tells that they are its own.
func TestCallsOfRepeatedRunAreMarked(t *testing.T) {
	p, _ := newLagging(t, 0)
	for _, repeat := range []bool{true, false} {
		parent := &servedCall{call: header.Call{Route: "shop", Repeat: repeat}, deadline: p.opt.Clock.Now().Add(time.Second)}
		r := httptest.NewRequest(http.MethodGet, "http://a.example/old/", nil)
		o, refusal := p.newNestedCall(httptest.NewRecorder(), r, parent)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, o.call.Repeat, repeat)
		in := &incomingCall{config: p.opt.Board.Config.Read(), parent: parent, body: &payload{}}
		assert.Equal(t, p.newOutboundCall(r, in).call.Repeat, repeat)
	}
}

// The last calls of a tree must get scarce retries before its first, and a run that has
// failed none.
func TestWorthOfRetries(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	opt := Options{Clock: clock, Log: event.Discard(), Metrics: NewMetrics(prometheus.NewRegistry())}
	p := &Proxy{opt: opt, entryAdmission: newEntryAdmission(opt)}
	parent := &servedCall{call: header.Call{Depth: 1, Route: "shop"}}
	worth := func(parent *servedCall, rank admit.Rank) float64 {
		return p.retryWorth(&outboundCall{served: parent, call: header.Call{Rank: rank}})
	}
	p.entryAdmission.recordRun("shop", time.Second)
	last := worth(nil, 100)
	for range 4 {
		p.entryAdmission.recordNestedCall("shop", "deep")
	}
	for range 6 {
		next := worth(parent, 100)
		assert.Assert(t, next > last && next < 1, "%v after %v", next, last)
		last = next
		parent.lendRetries(clock.Now())
		parent.settleRetries(clock.Now(), 0, 0, false)
	}
	assert.Assert(t, worth(&servedCall{call: header.Call{Depth: 3}}, 100) > worth(&servedCall{call: header.Call{Depth: 1}}, 100))
	assert.Assert(t, worth(parent, 10) > worth(parent, 20), "one action has the same rank everywhere")
	parent.lendRetries(clock.Now())
	parent.settleRetries(clock.Now(), 0, 0, true)
	assert.Equal(t, worth(parent, 0), 0.0)
}
