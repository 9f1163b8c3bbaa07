// Package admin is the administration API for operators: JSON over HTTP.
//
// # Usage
//
//	handler := admin.New(admin.Options{...})
//
// Every request below /v1/ needs an operator's token; /healthz and /metrics
// need none. Errors are RFC 9457 problem documents. docs/OPERATIONS.md lists
// the resources.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/change"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// reasonNotReady tells a client to use another daemon.
const reasonNotReady = "not_ready"

// bodyLimit is the size of the largest request body in bytes.
const bodyLimit = 16 << 20

// Options are the settings and dependencies of the API.
type Options struct {
	Config func() *config.Config
	Board  *board.Board
	Clock  timer.Clock
	Log    *event.Log
	Pool   *wire.Pool
	// Changes sends changes to the leader of the control daemons.
	Changes *change.Client
	// RelayAddresses returns the control addresses of all relays.
	RelayAddresses func() []string
	Gatherer       prometheus.Gatherer
}

type api struct{ opt Options }

// endpoint handles a request whose token and role have been checked.
type endpoint func(a *api, r *http.Request, actor ident.Actor) (any, *Problem)

// New returns the handler of the API.
func New(opt Options) http.Handler {
	a := &api{opt: opt}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(opt.Gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", a.health)
	routes := []struct {
		pattern string
		role    config.OperatorRole
		handle  endpoint
	}{
		{"GET /v1/configuration", config.OperatorView, (*api).showConfiguration},
		{"GET /v1/status", config.OperatorView, (*api).status},
		{"GET /v1/history", config.OperatorView, (*api).history},
		{"GET /v1/keys", config.OperatorView, (*api).listKeys},
		{"POST /v1/plans", config.OperatorPlan, (*api).plan},
		{"POST /v1/confirmations", config.OperatorConfirm, (*api).confirm},
		{"POST /v1/keys", config.OperatorAdminister, (*api).grantKey},
		{"POST /v1/withdrawals", config.OperatorAdminister, (*api).withdrawKey},
		{"GET /v1/backup", config.OperatorAdminister, (*api).backup},
		{"GET /v1/control", config.OperatorView, (*api).listControl},
		{"POST /v1/control", config.OperatorAdminister, (*api).changeControl},
		{"POST /v1/drains", config.OperatorConfirm, (*api).drain},
		{"POST " + evacuationPlanPath, config.OperatorPlan, (*api).planEvacuation},
		{"POST /v1/evacuations", config.OperatorConfirm, (*api).evacuate},
	}
	for _, route := range routes {
		mux.HandleFunc(route.pattern, a.authorize(route.role, route.handle))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, problem(http.StatusNotFound, "no_resource", "nothing at %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// Problem is an RFC 9457 problem document of the API.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	// Result is the outcome of the change, if there is one.
	Result *state.Result `json:"result,omitempty"`
}

func problem(status int, reason, format string, args ...any) *Problem {
	return &Problem{
		Type:   "urn:chicorymast:problem:" + reason,
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Reason: reason,
	}
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="chicorymast operators"`)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// authorize checks the operator's token and role before it calls an endpoint.
func (a *api) authorize(required config.OperatorRole, handle endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		actor, role, ok := a.operator(r)
		if !ok {
			writeProblem(w, problem(http.StatusUnauthorized, "token_unknown", "show an operator's token as Authorization: Bearer TOKEN"))
			return
		}
		if !role.Allows(required) {
			writeProblem(w, problem(http.StatusForbidden, "role_too_small",
				"operator %s has the role %s; this needs %s", actor, role, required))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		if p := a.notReady(r); p != nil {
			writeProblem(w, p)
			return
		}
		response, p := handle(a, r, actor)
		if p != nil {
			writeProblem(w, p)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

// notReady returns a problem for requests that read the configuration on a
// daemon that has received no confirmed configuration since its start. A plan
// must also be based on everything accepted before it, or its confirmation would
// be refused.
func (a *api) notReady(r *http.Request) *Problem {
	isPlan := r.URL.Path == "/v1/plans" || r.URL.Path == evacuationPlanPath
	if r.Method != http.MethodGet && !isPlan || r.URL.Path == "/v1/status" {
		return nil
	}
	if a.opt.Board.Freshness.Read().AsOf.IsZero() {
		return problem(http.StatusServiceUnavailable, reasonNotReady,
			"this daemon has just started and has no confirmed configuration yet; ask another one")
	}
	if !isPlan {
		return nil
	}
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	if err := a.opt.Changes.CatchUp(ctx); err != nil {
		return problem(http.StatusServiceUnavailable, reasonNotReady,
			"this daemon can't tell whether it has the newest configuration (%v); ask another one", err)
	}
	return nil
}

func (a *api) operator(r *http.Request) (ident.Actor, config.OperatorRole, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") || token == "" {
		return "", "", false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	digest := []byte(hex.EncodeToString(sum[:]))
	var actor ident.Actor
	var role config.OperatorRole
	found := false
	for name, op := range a.opt.Config().Operators {
		if subtle.ConstantTimeCompare(digest, []byte(op.TokenSHA256)) == 1 {
			actor, role, found = ident.Actor(name), op.Role, true
		}
	}
	return actor, role, found
}

func (a *api) health(w http.ResponseWriter, _ *http.Request) {
	phase := a.opt.Board.Lifecycle.Read().Phase
	if phase != board.PhaseRunning {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, phase)
}

func decode[T any](r *http.Request) (v T, p *Problem) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, problem(http.StatusBadRequest, "bad_request", "the body does not fit: %v", err)
	}
	return v, nil
}

// propose sends a command to the control daemons until one returns its outcome.
func (a *api) propose(ctx context.Context, cmd state.Command) (any, *Problem) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := a.opt.Changes.Propose(ctx, cmd)
	if err != nil {
		return nil, problem(http.StatusGatewayTimeout, "outcome_unknown",
			"the change may or may not be accepted (%v); send it again with the same change_id to learn its outcome", err)
	}
	a.logResult(result)
	return outcome(result)
}

func (a *api) logResult(r state.Result) {
	id := event.ChangeAccepted
	if r.Outcome != state.OutcomeAccepted {
		id = event.ChangeRefused
	}
	a.opt.Log.Emit(id, zap.String("change_id", string(r.ChangeID)), zap.String("actor", string(r.Actor)),
		zap.String("kind", string(r.Kind)), zap.Uint64("revision", uint64(r.Revision)), zap.String("detail", r.Detail))
}

func outcome(r state.Result) (any, *Problem) {
	switch r.Outcome {
	case state.OutcomeAccepted:
		return r, nil
	case state.OutcomeConflict:
		p := problem(http.StatusConflict, "conflict", "%s; change %s won", r.Detail, r.ConflictsWith)
		p.Result = &r
		return nil, p
	default:
		p := problem(http.StatusUnprocessableEntity, "invalid", "%s", r.Detail)
		p.Result = &r
		return nil, p
	}
}
