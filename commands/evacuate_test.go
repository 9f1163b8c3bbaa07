package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chicorymast/core/state"
	"chicorymast/io/admin"

	"gotest.tools/v3/assert"
)

// Guards against an evacuation that is ordered without the operator's confirmation, and
// against an order that differs from the plan that was shown.
func TestEvacuateSendsWhatWasPlanned(t *testing.T) {
	var orders []admin.Evacuation
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/evacuations/plan", func(w http.ResponseWriter, r *http.Request) {
		var q admin.EvacuationRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&q))
		_ = json.NewEncoder(w).Encode(admin.EvacuationPlan{Base: 7, DataCentre: q.DataCentre, Evacuating: q.Evacuating})
	})
	mux.HandleFunc("POST /v1/evacuations", func(w http.ResponseWriter, r *http.Request) {
		var order admin.Evacuation
		assert.Check(t, json.NewDecoder(r.Body).Decode(&order))
		orders = append(orders, order)
		_ = json.NewEncoder(w).Encode(state.Result{Outcome: state.OutcomeAccepted, Revision: 9})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte("secret"), 0o600))
	answer := func(text string) {
		path := filepath.Join(t.TempDir(), "answer")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		f, err := os.Open(path)
		assert.NilError(t, err)
		before := os.Stdin
		os.Stdin = f
		t.Cleanup(func() { os.Stdin = before })
	}
	evacuate := func(args ...string) int {
		orders = nil
		return Main(append([]string{"evacuate", "--server", server.Listener.Addr().String(), "--token-file", token}, args...))
	}
	for _, text := range []string{"", "no\n", "y\n", "YES\n"} {
		answer(text)
		assert.Equal(t, evacuate("east"), exitFailure)
		assert.Equal(t, len(orders), 0, "ordered after the answer %q", text)
	}
	answer("yes\n")
	assert.Equal(t, evacuate("east", "--change-id", "c"), exitSuccess)
	assert.DeepEqual(t, orders, []admin.Evacuation{{ChangeID: "c", Base: 7, DataCentre: "east", Evacuating: true}})
	assert.Equal(t, evacuate("east", "--undo", "--yes", "--change-id", "u"), exitSuccess)
	assert.DeepEqual(t, orders, []admin.Evacuation{{ChangeID: "u", Base: 7, DataCentre: "east"}})
	assert.Equal(t, evacuate(), exitUsage)
}

func TestEvacuationPlanText(t *testing.T) {
	var out bytes.Buffer
	printEvacuationPlan(&out, admin.EvacuationPlan{
		Base: 7, DataCentre: "east", Evacuating: true, Warnings: []string{"service deep has no upstream elsewhere"},
		Services: []admin.RemainingService{{Service: "shop", Upstreams: 2, Slots: 16, UpstreamsThere: 1, SlotsThere: 8}, {Service: "other", Upstreams: 5}},
	})
	for _, want := range []string{
		"evacuates east, on revision 7", "service shop: 1 upstreams there with 8 slots; 2 with 16 slots will take calls",
		"warning: service deep has no upstream elsewhere",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), "other"), "a service without upstreams there is listed")
}
