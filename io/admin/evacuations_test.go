package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/timer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func metadata(id ident.ChangeID) state.Metadata { return state.Metadata{ChangeID: id} }

// planned is a configuration with two services, of which "deep" is in the east only.
func planned(t *testing.T, evacuated ...ident.DataCentre) (*state.State, *board.Members) {
	t.Helper()
	st := state.New()
	r := st.Apply(state.Confirm{Metadata: metadata("services"), Patch: intent.Patch{
		Services: map[ident.Service]*intent.ServiceSpec{"shop": {}, "deep": {}, "empty": {}},
	}})
	assert.Equal(t, r.Outcome, state.OutcomeAccepted, "%s", r.Detail)
	st.Apply(state.SetDrain{Metadata: metadata("drain"), VM: "shop-w2", Draining: true})
	for _, dc := range evacuated {
		st.Apply(state.SetEvacuation{Metadata: metadata(ident.ChangeID(dc)), DataCentre: dc, Evacuating: true})
	}
	entry := func(vm ident.VM, dc ident.DataCentre, service ident.Service, p member.Phase) member.Entry {
		return member.Entry{VM: vm, DataCentre: dc, Phase: member.PhaseUp, Upstream: &member.Upstream{Service: service, ID: "u", Slots: 10, Phase: p}}
	}
	gone := entry("shop-e3", "east", "shop", member.PhaseUp)
	gone.Phase = member.PhaseGone
	return st, board.NewMembers([]member.Entry{
		entry("shop-e1", "east", "shop", member.PhaseUp), entry("shop-w1", "west", "shop", member.PhaseUp),
		entry("shop-w2", "west", "shop", member.PhaseUp), entry("deep-e1", "east", "deep", member.PhaseUp),
		entry("shop-n1", "north", "shop", member.PhaseDraining), gone,
		{VM: "core-1", DataCentre: "east", Phase: member.PhaseUp},
	})
}

// Guards against a plan that does not warn that calls will be refused, or that counts
// upstreams which take none.
func TestEvacuationPlan(t *testing.T) {
	for name, c := range map[string]struct {
		evacuated  []ident.DataCentre
		request    EvacuationRequest
		shop, deep RemainingService
		warnings   []string
	}{
		"evacuate one of two": {
			nil,
			EvacuationRequest{"east", true},
			RemainingService{"shop", 1, 10, 1, 10},
			RemainingService{"deep", 0, 0, 1, 10},
			[]string{
				"service deep has no upstream elsewhere: its calls will be refused (503, not run)",
				"service empty has no upstream: its calls are refused (503, not run)",
			},
		},
		"evacuate the second, too": {
			[]ident.DataCentre{"east"},
			EvacuationRequest{"west", true},
			RemainingService{"shop", 0, 0, 1, 10},
			RemainingService{"deep", 0, 0, 0, 0},
			[]string{
				"service deep has no upstream: its calls are refused (503, not run)", "service empty has no upstream: its calls are refused (503, not run)",
				"service shop has no upstream elsewhere: its calls will be refused (503, not run)",
			},
		},
		"order the same again": {
			[]ident.DataCentre{"west"},
			EvacuationRequest{"west", true},
			RemainingService{"shop", 1, 10, 1, 10},
			RemainingService{"deep", 1, 10, 0, 0},
			[]string{"service empty has no upstream: its calls are refused (503, not run)"},
		},
		"undo": {
			[]ident.DataCentre{"east"},
			EvacuationRequest{"east", false},
			RemainingService{"shop", 2, 20, 1, 10},
			RemainingService{"deep", 1, 10, 1, 10},
			[]string{"service empty has no upstream: its calls are refused (503, not run)"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			st, members := planned(t, c.evacuated...)
			plan := planEvacuation(st, members, c.request)
			assert.Equal(t, plan.Base, st.ConfirmedAt)
			assert.DeepEqual(t, plan.Services, []RemainingService{c.deep, {Service: "empty"}, c.shop})
			assert.DeepEqual(t, plan.Warnings, c.warnings)
		})
	}
}

// Guards against orders that a daemon can't judge or that are misspelt: they must be
// refused before anything is proposed. There is no client for proposals in this test.
func TestEvacuationOrdersThatAreRefused(t *testing.T) {
	const token = "operator-token"
	cfg := config.Default()
	cfg.Operators = map[string]config.Operator{"anna": {TokenSHA256: string(ident.DigestKey(token)), Role: config.OperatorConfirm}}
	b := board.New()
	h := New(Options{
		Config: func() *config.Config { return &cfg }, Board: b, Clock: timer.NewManual(time.Unix(1000, 0)), Log: event.Discard(),
		Gatherer: prometheus.NewRegistry(),
	})
	post := func(path, body string) (p Problem) {
		req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader([]byte(body)))
		req.Header.Set("Authorization", "Bearer "+token)
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &p))
		assert.Equal(t, rec.Code, p.Status)
		return p
	}
	const order = `{"change_id":"a","data_centre":"nowhere","evacuating":true}`
	assert.Equal(t, post("/v1/evacuations", order).Reason, reasonNotReady)
	assert.Equal(t, post(evacuationPlanPath, `{"data_centre":"east","evacuating":true}`).Reason, reasonNotReady)
	st, members := planned(t)
	b.Config.Write(board.NewConfig(st, nil))
	b.Members.Write(members)
	b.Freshness.Write(&board.Freshness{AsOf: time.Unix(999, 0)})
	for name, c := range map[string]struct {
		body   string
		status int
	}{
		"unknown data centre": {order, http.StatusUnprocessableEntity},
		"unknown, undone":     {`{"change_id":"a","data_centre":"nowhere"}`, http.StatusUnprocessableEntity},
		"no data centre":      {`{"change_id":"a","evacuating":true}`, http.StatusUnprocessableEntity},
		"no change id":        {`{"data_centre":"east","evacuating":true}`, http.StatusBadRequest},
		"unknown member":      {`{"change_id":"a","data_center":"east","evacuating":true}`, http.StatusBadRequest},
		"negative base":       {`{"change_id":"a","base":-1,"data_centre":"east"}`, http.StatusBadRequest},
		"not JSON":            {`evacuate east`, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, post("/v1/evacuations", c.body).Status, c.status)
		})
	}
	cfg.Operators["anna"] = config.Operator{TokenSHA256: string(ident.DigestKey(token)), Role: config.OperatorPlan}
	assert.Equal(t, post("/v1/evacuations", order).Status, http.StatusForbidden)
}
