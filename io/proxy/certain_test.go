package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/fresh"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// configWith returns a confirmed configuration with one open route for each path prefix.
func configWith(prefixes ...string) *board.Config {
	st := state.New()
	st.ConfirmedAt = 1
	in := intent.Empty()
	in.Services["shop"] = intent.ServiceSpec{}
	in.Workspaces["acme"] = intent.WorkspaceSpec{AllRoutes: true, Keys: []ident.KeyDigest{ident.DigestKey("old-key")}}
	for _, prefix := range prefixes {
		in.Routes[ident.Route(prefix)] = intent.RouteSpec{Host: "a.example", Prefix: prefix, Service: "shop", Timeout: time.Second, Idempotent: true}
	}
	st.Intent = in
	return board.NewConfig(st, nil)
}

// newLagging returns a proxy whose configuration was last confirmed before the given time.
func newLagging(t *testing.T, age time.Duration) (p *Proxy, clock *timer.Manual) {
	t.Helper()
	clock = timer.NewManual(time.Unix(1_000_000, 0))
	p = newUpstreamProxyAt(t, clock, "127.0.0.1:1", member.Upstream{})
	p.opt.Board.Config.Write(configWith("/old/"))
	p.opt.Board.Freshness.Write(&board.Freshness{AsOf: clock.Now().Add(-age)})
	return p, clock
}

// ask sends a request to the entry and returns its refusal, nil if it passes the checks.
func ask(t *testing.T, p *Proxy, path, key string) *fault.Refusal {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "a.example"
	r.Header.Set("Authorization", "Bearer "+key)
	_, refusal := p.checkRequest(httptest.NewRecorder(), r)
	return refusal
}

func mustRefuseWith(t *testing.T, r *fault.Refusal, reason fault.Reason) {
	t.Helper()
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Reason, reason)
	assert.Assert(t, r.NotRun)
}

// Guards against 401 and 404 for a key and a route that a newer configuration has.
func TestLaggingDaemonRefusesNothingForCertain(t *testing.T) {
	for name, age := range map[string]time.Duration{"lags": fresh.InForce, "cut off": time.Minute} {
		t.Run(name, func(t *testing.T) {
			p, _ := newLagging(t, age)
			mustRefuseWith(t, ask(t, p, "/new/", "old-key"), fault.ReasonConfigurationUnconfirmed)
			mustRefuseWith(t, ask(t, p, "/old/", "new-key"), fault.ReasonConfigurationUnconfirmed)
			assert.Assert(t, ask(t, p, "/old/", "old-key") == nil, "what it knows is served")
		})
	}
	t.Run("confirmed between two syncs", func(t *testing.T) {
		p, _ := newLagging(t, fresh.SyncHold+fresh.SyncSlack)
		mustRefuseWith(t, ask(t, p, "/new/", "old-key"), fault.ReasonNoRoute)
		mustRefuseWith(t, ask(t, p, "/old/", "new-key"), fault.ReasonKeyUnknown)
	})
}

// A request that meets a lagging daemon must pass once the newer configuration arrives.
func TestRequestWaitsForTheConfirmation(t *testing.T) {
	p, clock := newLagging(t, fresh.InForce)
	checks := 0
	r := httptest.NewRequest(http.MethodGet, "/new/", nil)
	r.Host = "a.example"
	refusal := p.refuseIfCertain(r, func() *fault.Refusal {
		defer func() {
			p.opt.Board.Config.Write(configWith("/old/", "/new/"))
			p.opt.Board.Freshness.Write(&board.Freshness{AsOf: clock.Now()})
		}()
		checks++
		if _, ok := findRoute(p.opt.Board.Config.Read(), r); !ok {
			return fault.Refuse(fault.ReasonNoRoute, "no route")
		}
		return nil
	})
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, checks, 2)
}

// Guards against a confirmation that arrives during the check and covers a newer configuration.
func TestConfirmationDuringTheCheckDoesNotCount(t *testing.T) {
	p, clock := newLagging(t, time.Minute)
	refusal := p.refuseIfCertain(httptest.NewRequest(http.MethodGet, "/", nil), func() *fault.Refusal {
		p.opt.Board.Freshness.Write(&board.Freshness{AsOf: clock.Now()})
		return fault.Refuse(fault.ReasonNoRoute, "no route")
	})
	mustRefuseWith(t, refusal, fault.ReasonConfigurationUnconfirmed)
}

func TestWaitForTheConfirmationEndsWithTheCaller(t *testing.T) {
	p, _ := newLagging(t, fresh.InForce)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.awaitConfirmation(ctx, time.Hour)
}
