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

// TestWholePath drives one fleet through what callers and operators see.
func TestWholePath(t *testing.T) {
	f := newFleet(t, trial.Small())
	f.setUp()
	t.Run("a call goes three hops deep", func(t *testing.T) {
		a := f.call(request{at: "grafika-1", path: "/objednavky/17", workspace: "mlyn"})
		mustWhole(t, a, "/objednavky/17")
		assert.DeepEqual(t, a.reply.Children, []int{200})
	})
	t.Run("refusals", func(t *testing.T) { testRefusals(t, f) })
	t.Run("an action runs once however often it is sent", func(t *testing.T) { testOnce(t, f) })
	t.Run("racing operators", func(t *testing.T) { testRace(t, f) })
	t.Run("operators' tokens", func(t *testing.T) { testTokens(t, f) })
	t.Run("a withdrawn key ends", func(t *testing.T) { testWithdraw(t, f) })
	t.Run("a drained VM gets nothing new", func(t *testing.T) { testDrain(t, f) })
}

func testRefusals(t *testing.T, f *fleet) {
	f.keys["stranger"] = "never granted"
	for name, c := range map[string]struct {
		q      request
		status int
		reason string
	}{
		"no key":           {request{path: "/objednavky/1"}, 401, "key_missing"},
		"unknown key":      {request{path: "/objednavky/1", workspace: "stranger"}, 401, "key_unknown"},
		"no route":         {request{path: "/nowhere", workspace: "mlyn"}, 404, "no_route"},
		"internal route":   {request{path: "/grafika/1", workspace: "mlyn"}, 404, "no_route"},
		"no action id":     {request{method: "POST", path: "/objednavky/1", workspace: "mlyn"}, 400, "idempotency_key_missing"},
		"no grant":         {request{path: "/katalog/1", workspace: "nogrant"}, 403, "no_grant"},
		"body too large":   {request{method: "POST", path: "/objednavky/1", workspace: "mlyn", action: "big", body: strings.Repeat("x", 2<<20)}, 413, "body_too_large"},
		"time already up":  {request{path: "/objednavky/1", workspace: "mlyn", header: map[string]string{"Request-Timeout": "0.000001"}}, 503, "deadline"},
		"forged call head": {request{path: "/objednavky/1", header: map[string]string{"Chicorymast-Call": `{"service":"objednavky"}`}}, 401, "key_missing"},
	} {
		t.Run(name, func(t *testing.T) {
			c.q.at = "katalog-1"
			a := f.call(c.q)
			mustRefuse(t, a, c.status, c.reason, true)
		})
	}
}

func testOnce(t *testing.T, f *fleet) {
	const copies = 12
	answers := make([]answer, copies)
	var wg sync.WaitGroup
	entries := []ident.VM{"katalog-1", "katalog-2", "grafika-1", "grafika-2", "objednavky-1", "objednavky-2"}
	for i := range copies {
		wg.Go(func() {
			answers[i] = f.call(request{at: entries[i%len(entries)], method: "POST", path: "/objednavky/5", workspace: "mlyn", action: "order-5"})
		})
	}
	wg.Wait()
	for _, a := range answers {
		mustWhole(t, a, "/objednavky/5")
		assert.Equal(t, a.reply.Upstream, answers[0].reply.Upstream)
	}
	other := f.call(request{at: "katalog-1", method: "POST", path: "/objednavky/6", workspace: "mlyn", action: "order-5"})
	mustRefuse(t, other, 409, "action_conflict", true)
	assert.Equal(t, f.runs("order-5 /objednavky/5"), 1)
}

// runs adds up how often all stand-ins ran an action.
func (f *fleet) runs(key string) int {
	f.t.Helper()
	total := 0
	for _, s := range f.files.Stubs {
		total += f.ledger(s).Runs[key]
	}
	return total
}

func testRace(t *testing.T, f *fleet) {
	q := admin.PlanRequest{Name: "intent", Text: "[data_centre kosice-1]\n[data_centre kosice-2]\n[workspace other]\n"}
	plan, _, err := ask[admin.Plan](f, anyControl, "POST", "/v1/plans", q)
	assert.NilError(t, err)
	keep := plan.Patch
	keep.Routes, keep.Services, keep.Grants, keep.Workspaces = nil, nil, nil, nil
	const racers = 5
	var mu sync.Mutex
	var wg sync.WaitGroup
	won, winners := 0, map[ident.ChangeID]bool{}
	for i := range racers {
		wg.Go(func() {
			id := ident.ChangeID(fmt.Sprintf("race-%d", i))
			vm := ident.VM(fmt.Sprintf("control-%d", i%3+1))
			r, p, err := ask[state.Result](f, vm, "POST", "/v1/confirmations", admin.Confirmation{ChangeID: id, Base: plan.Base, Patch: keep})
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, err)
			if p.Reason == "conflict" {
				winners[p.Result.ConflictsWith] = true
				return
			}
			assert.Check(t, r.Outcome == state.OutcomeAccepted, "%+v %+v", r, p)
			winners[id] = true
			won++
		})
	}
	wg.Wait()
	assert.Equal(t, won, 1)
	assert.Equal(t, len(winners), 1, "all must name the same winner: %v", winners)
	for id := range winners {
		again, _, err := ask[state.Result](f, "control-2", "POST", "/v1/confirmations", admin.Confirmation{ChangeID: id, Base: plan.Base, Patch: keep})
		assert.NilError(t, err)
		assert.Equal(t, again.Outcome, state.OutcomeAccepted, "a resent change gets its first answer")
	}
}

func testTokens(t *testing.T, f *fleet) {
	good := f.token
	defer func() { f.token = good }()
	f.token = "wrong"
	_, p, err := ask[admin.Status](f, anyControl, "GET", "/v1/status", nil)
	assert.NilError(t, err)
	assert.Equal(t, p.Status, http.StatusUnauthorized)
}

func testWithdraw(t *testing.T, f *fleet) {
	id := f.grantKey("hrad")
	mustWhole(t, f.call(request{at: "katalog-2", path: "/katalog/3", workspace: "hrad"}), "/katalog/3")
	f.accepted(ask[state.Result](f, "control-3", "POST", "/v1/withdrawals", admin.KeyWithdrawal{ChangeID: f.changeID(), Key: id}))
	// The client keeps its connections open; the key ends on them, too.
	eventually(t, func() string {
		for _, d := range f.files.Daemons {
			if a := f.call(request{at: d.VM, path: "/katalog/3", workspace: "hrad"}); a.status != http.StatusUnauthorized {
				return fmt.Sprintf("%s still answers %d", d.VM, a.status)
			}
		}
		return ""
	})
}

func testDrain(t *testing.T, f *fleet) {
	drain := admin.Drain{ChangeID: f.changeID(), VM: "grafika-1", Draining: true}
	f.accepted(ask[state.Result](f, anyControl, "POST", "/v1/drains", drain))
	f.inForce()
	eventually(t, func() string {
		if f.daemons["grafika-1"].daemon.board.Upstream.Read().Drained {
			return ""
		}
		return "grafika-1 does not know that it is drained"
	})
	before := f.ledger(f.standIn("grafika-1")).Served
	for i := range 30 {
		path := fmt.Sprintf("/katalog/%d", i)
		mustWhole(t, f.call(request{at: "katalog-1", path: path, workspace: "mlyn"}), path)
	}
	assert.Equal(t, f.ledger(f.standIn("grafika-1")).Served, before)
}
