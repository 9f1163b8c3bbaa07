package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// TestEndToEnd runs calls of callers and changes by operators against one fleet.
func TestEndToEnd(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	t.Run("a call goes three hops deep", func(t *testing.T) {
		got := f.call(request{entry: "grafika-1", path: "/objednavky/17", workspace: "mlyn"})
		mustSucceed(t, got, "/objednavky/17")
		assert.DeepEqual(t, got.reply.Children, []int{200})
	})
	t.Run("refusals", func(t *testing.T) { testRefusals(t, f) })
	t.Run("concurrent duplicates of an action run once", func(t *testing.T) { testIdempotentAction(t, f) })
	t.Run("concurrent confirmations", func(t *testing.T) { testConcurrentConfirmations(t, f) })
	t.Run("operators' tokens", func(t *testing.T) { testTokens(t, f) })
	t.Run("a withdrawn key is refused everywhere", func(t *testing.T) { testWithdraw(t, f) })
	t.Run("a drained VM gets no new calls", func(t *testing.T) { testDrain(t, f) })
}

func testRefusals(t *testing.T, f *fleet) {
	f.keys["stranger"] = "never granted"
	for name, c := range map[string]struct {
		req    request
		status int
		reason string
	}{
		"no key":             {request{path: "/objednavky/1"}, 401, "key_missing"},
		"unknown key":        {request{path: "/objednavky/1", workspace: "stranger"}, 401, "key_unknown"},
		"no route":           {request{path: "/nowhere", workspace: "mlyn"}, 404, "no_route"},
		"internal route":     {request{path: "/grafika/1", workspace: "mlyn"}, 404, "no_route"},
		"no idempotency key": {request{method: "POST", path: "/objednavky/1", workspace: "mlyn"}, 400, "idempotency_key_missing"},
		"no grant":           {request{path: "/katalog/1", workspace: "nogrant"}, 403, "no_grant"},
		"body too large":     {request{method: "POST", path: "/objednavky/1", workspace: "mlyn", action: "big", body: strings.Repeat("x", 2<<20)}, 413, "body_too_large"},
		"deadline expired":   {request{path: "/objednavky/1", workspace: "mlyn", header: map[string]string{"Request-Timeout": "0.000001"}}, 503, "deadline"},
		"forged header":      {request{path: "/objednavky/1", header: map[string]string{"Chicorymast-Call": `{"service":"objednavky"}`}}, 401, "key_missing"},
	} {
		t.Run(name, func(t *testing.T) {
			c.req.entry = "katalog-1"
			got := f.call(c.req)
			mustRefuse(t, got, c.status, c.reason, true)
		})
	}
}

func testIdempotentAction(t *testing.T, f *fleet) {
	const duplicates = 12
	responses := make([]response, duplicates)
	var wg sync.WaitGroup
	entries := []ident.VM{"katalog-1", "katalog-2", "grafika-1", "grafika-2", "objednavky-1", "objednavky-2"}
	for i := range duplicates {
		wg.Go(func() {
			responses[i] = f.call(request{entry: entries[i%len(entries)], method: "POST", path: "/objednavky/5", workspace: "mlyn", action: "order-5"})
		})
	}
	wg.Wait()
	for _, got := range responses {
		mustSucceed(t, got, "/objednavky/5")
		assert.Equal(t, got.reply.Upstream, responses[0].reply.Upstream)
	}
	other := f.call(request{entry: "katalog-1", method: "POST", path: "/objednavky/6", workspace: "mlyn", action: "order-5"})
	mustRefuse(t, other, 409, "action_conflict", true)
	assert.Equal(t, f.runs("order-5 /objednavky/5"), 1)
}

// runs returns how many times the stub upstreams ran an action.
func (f *fleet) runs(key string) int {
	f.t.Helper()
	total := 0
	for _, s := range f.files.Stubs {
		total += f.ledger(s).Runs[key]
	}
	return total
}

func testConcurrentConfirmations(t *testing.T, f *fleet) {
	req := admin.PlanRequest{Name: "intent", Text: "[data_centre kosice-1]\n[data_centre kosice-2]\n[workspace other]\n"}
	plan, _, err := callAdmin[admin.Plan](f, anyControl, "POST", "/v1/plans", req)
	assert.NilError(t, err)
	patch := plan.Patch
	patch.Routes, patch.Services, patch.Grants, patch.Workspaces = nil, nil, nil, nil
	const operators = 5
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted, winners := 0, map[ident.ChangeID]bool{}
	for i := range operators {
		wg.Go(func() {
			id := ident.ChangeID(fmt.Sprintf("race-%d", i))
			vm := ident.VM(fmt.Sprintf("control-%d", i%3+1))
			r, p, err := callAdmin[state.Result](f, vm, "POST", "/v1/confirmations", admin.Confirmation{ChangeID: id, Base: plan.Base, Patch: patch})
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, err)
			if p.Reason == "conflict" {
				winners[p.Result.ConflictsWith] = true
				return
			}
			assert.Check(t, r.Outcome == state.OutcomeAccepted, "%+v %+v", r, p)
			winners[id] = true
			accepted++
		})
	}
	wg.Wait()
	assert.Equal(t, accepted, 1)
	assert.Equal(t, len(winners), 1, "all conflicts must name the same accepted change: %v", winners)
	for id := range winners {
		again, _, err := callAdmin[state.Result](f, "control-2", "POST", "/v1/confirmations", admin.Confirmation{ChangeID: id, Base: plan.Base, Patch: patch})
		assert.NilError(t, err)
		assert.Equal(t, again.Outcome, state.OutcomeAccepted, "a change sent again must get its first outcome")
	}
}

func testTokens(t *testing.T, f *fleet) {
	good := f.token
	defer func() { f.token = good }()
	f.token = "wrong"
	_, p, err := callAdmin[admin.Status](f, anyControl, "GET", "/v1/status", nil)
	assert.NilError(t, err)
	assert.Equal(t, p.Status, http.StatusUnauthorized)
}

func testWithdraw(t *testing.T, f *fleet) {
	id := f.grantKey("hrad")
	mustSucceed(t, f.call(request{entry: "katalog-2", path: "/katalog/3", workspace: "hrad"}), "/katalog/3")
	f.mustAccept(callAdmin[state.Result](f, "control-3", "POST", "/v1/withdrawals", admin.KeyWithdrawal{ChangeID: f.changeID(), Key: id}))
	// The withdrawal must also apply on the connections that the client keeps open.
	eventually(t, func() string {
		for _, d := range f.files.Daemons {
			if got := f.call(request{entry: d.VM, path: "/katalog/3", workspace: "hrad"}); got.status != http.StatusUnauthorized {
				return fmt.Sprintf("%s still returns %d", d.VM, got.status)
			}
		}
		return ""
	})
}

func testDrain(t *testing.T, f *fleet) {
	drain := admin.Drain{ChangeID: f.changeID(), VM: "grafika-1", Draining: true}
	f.mustAccept(callAdmin[state.Result](f, anyControl, "POST", "/v1/drains", drain))
	f.waitInForce()
	eventually(t, func() string {
		if f.daemons["grafika-1"].daemon.board.Upstream.Read().Drained {
			return ""
		}
		return "grafika-1 does not know that it is drained"
	})
	before := f.ledger(f.stub("grafika-1")).Served
	for i := range 30 {
		path := fmt.Sprintf("/katalog/%d", i)
		mustSucceed(t, f.call(request{entry: "katalog-1", path: path, workspace: "mlyn"}), path)
	}
	assert.Equal(t, f.ledger(f.stub("grafika-1")).Served, before)
}
