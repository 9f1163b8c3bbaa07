package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// Configuration is the response of GET /v1/configuration.
type Configuration struct {
	Revision ident.Revision    `json:"revision"`
	Digest   string            `json:"digest"`
	Intent   intent.Intent     `json:"intent"`
	Drains   map[ident.VM]bool `json:"drains"`
	// Evacuations are the data centres whose upstreams get no new calls.
	Evacuations map[ident.DataCentre]bool `json:"evacuations"`
}

// PlanRequest asks what an intent would change. Text is in INI form.
type PlanRequest struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Plan lists what a confirmation would change.
type Plan struct {
	Base     ident.Revision  `json:"base"`
	Changes  []intent.Change `json:"changes"`
	Warnings []string        `json:"warnings"`
	Patch    intent.Patch    `json:"patch"`
}

// Confirmation puts a plan in force.
type Confirmation struct {
	ChangeID ident.ChangeID `json:"change_id"`
	Base     ident.Revision `json:"base"`
	Patch    intent.Patch   `json:"patch"`
}

// KeyGrant adds a key. Only its digest is sent, never the key itself.
type KeyGrant struct {
	ChangeID      ident.ChangeID  `json:"change_id"`
	Digest        ident.KeyDigest `json:"digest"`
	Workspace     ident.Workspace `json:"workspace"`
	ExpiresMillis int64           `json:"expires_ms,omitempty"`
}

// KeyWithdrawal withdraws a key.
type KeyWithdrawal struct {
	ChangeID ident.ChangeID `json:"change_id"`
	Key      ident.KeyID    `json:"key"`
}

// Drain starts or ends the drain of a VM.
type Drain struct {
	ChangeID ident.ChangeID `json:"change_id"`
	VM       ident.VM       `json:"vm"`
	Draining bool           `json:"draining"`
}

// Status is the response of GET /v1/status.
type Status struct {
	// Ready is set once this daemon has received a confirmed configuration.
	Ready    bool           `json:"ready"`
	Revision ident.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	AgeMs    int64          `json:"age_ms"`
	Source   ident.VM       `json:"source"`
	Members  int            `json:"members"`
	InForce  int            `json:"in_force"`
	// Behind lists some of the VMs where the revision is not in force.
	Behind []ident.VM `json:"behind"`
	// Unreachable lists the relays that did not answer; their VMs are not counted.
	Unreachable []string        `json:"silent"`
	Services    []ServiceStatus `json:"services"`
}

// ServiceStatus is one service in a Status.
type ServiceStatus struct {
	Service   ident.Service `json:"service"`
	Upstreams int           `json:"upstreams"`
	Slots     int           `json:"slots"`
}

func (a *api) showConfiguration(*http.Request, ident.Actor) (any, *Problem) {
	c := a.opt.Board.Config.Read()
	return Configuration{
		Revision: c.State.Revision, Digest: c.Digest(), Intent: c.State.Intent, Drains: c.State.Drains, Evacuations: c.State.Evacuations,
	}, nil
}

func (a *api) status(r *http.Request, _ ident.Actor) (any, *Problem) {
	c, fresh, members := a.opt.Board.Config.Read(), a.opt.Board.Freshness.Read(), a.opt.Board.Members.Read()
	s := Status{
		Ready:       !fresh.AsOf.IsZero(),
		Revision:    c.State.Revision,
		Digest:      c.Digest(),
		AgeMs:       fresh.Age(a.opt.Clock.Now()).Milliseconds(),
		Source:      fresh.Source,
		Behind:      []ident.VM{},
		Unreachable: []string{},
		Services:    serviceStatuses(c.State, members),
	}
	a.addReports(r.Context(), &s)
	return s, nil
}

// addReports asks every relay on which members the revision is in force and adds
// the replies to s.
func (a *api) addReports(ctx context.Context, s *Status) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range a.opt.RelayAddresses() {
		wg.Go(func() {
			q := wire.ReportRequest{Revision: s.Revision}
			reply, err := wire.Call[wire.ReportReply](ctx, a.opt.Pool, address, wire.MethodReport, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Unreachable = append(s.Unreachable, address)
				return
			}
			s.Members += reply.Members
			s.InForce += reply.InForce
			s.Behind = append(s.Behind, reply.Behind...)
		})
	}
	wg.Wait()
	slices.Sort(s.Behind)
	slices.Sort(s.Unreachable)
}

// serviceStatuses returns the upstreams that take calls.
func serviceStatuses(st *state.State, m *board.Members) []ServiceStatus {
	statuses := []ServiceStatus{}
	for name, entries := range m.ByService {
		status := ServiceStatus{Service: name}
		for _, e := range entries {
			if st.TakesCalls(e.VM, e.DataCentre) {
				status.Upstreams++
				status.Slots += e.Upstream.Slots
			}
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(x, y ServiceStatus) int { return cmp.Compare(x.Service, y.Service) })
	return statuses
}

func (a *api) history(r *http.Request, _ ident.Actor) (any, *Problem) {
	const maxLimit = 1000
	limit, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("limit"), "50"))
	if err != nil || limit < 1 || limit > maxLimit {
		return nil, problem(http.StatusBadRequest, "bad_request", "limit must be between 1 and %d", maxLimit)
	}
	st := a.opt.Board.Config.Read().State
	results := []state.Result{}
	for i := len(st.AuditTrail) - 1; i >= 0 && len(results) < limit; i-- {
		results = append(results, st.Results[st.AuditTrail[i]])
	}
	return results, nil
}

func (a *api) listKeys(*http.Request, ident.Actor) (any, *Problem) {
	keys := []state.Key{}
	for _, key := range a.opt.Board.Config.Read().State.Keys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y state.Key) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.ID, y.ID))
	})
	return keys, nil
}

func (a *api) plan(r *http.Request, _ ident.Actor) (any, *Problem) {
	q, p := decode[PlanRequest](r)
	if p != nil {
		return nil, p
	}
	want, err := intent.Parse(cmp.Or(q.Name, "intent"), []byte(q.Text))
	if err != nil {
		return nil, problem(http.StatusUnprocessableEntity, "invalid", "%v", err)
	}
	st := a.opt.Board.Config.Read().State
	return Plan{
		Base:     st.ConfirmedAt,
		Changes:  intent.Compare(st.Intent, want),
		Warnings: intent.Review(want, intent.ReviewInput{KeyCounts: st.KeyCounts()}),
		Patch:    intent.Diff(st.Intent, want),
	}, nil
}

func (a *api) metadata(id ident.ChangeID, actor ident.Actor) (state.Metadata, *Problem) {
	if id == "" {
		return state.Metadata{}, problem(http.StatusBadRequest, "bad_request", "change_id is missing")
	}
	return state.Metadata{ChangeID: id, Actor: actor, AtMillis: a.opt.Clock.Now().UnixMilli()}, nil
}

func (a *api) confirm(r *http.Request, actor ident.Actor) (any, *Problem) {
	q, p := decode[Confirmation](r)
	if p != nil {
		return nil, p
	}
	metadata, p := a.metadata(q.ChangeID, actor)
	if p != nil {
		return nil, p
	}
	return a.propose(r.Context(), state.Confirm{Metadata: metadata, Base: q.Base, Patch: q.Patch})
}

func (a *api) grantKey(r *http.Request, actor ident.Actor) (any, *Problem) {
	q, p := decode[KeyGrant](r)
	if p != nil {
		return nil, p
	}
	metadata, p := a.metadata(q.ChangeID, actor)
	if p != nil {
		return nil, p
	}
	if q.ExpiresMillis != 0 && q.ExpiresMillis <= a.opt.Clock.Now().UnixMilli() {
		return nil, problem(http.StatusBadRequest, "bad_request", "expires_ms lies in the past: %s", time.UnixMilli(q.ExpiresMillis).UTC())
	}
	return a.propose(r.Context(), state.GrantKey{Metadata: metadata, Digest: q.Digest, Workspace: q.Workspace, ExpiresMillis: q.ExpiresMillis})
}

func (a *api) withdrawKey(r *http.Request, actor ident.Actor) (any, *Problem) {
	q, p := decode[KeyWithdrawal](r)
	if p != nil {
		return nil, p
	}
	metadata, p := a.metadata(q.ChangeID, actor)
	if p != nil {
		return nil, p
	}
	return a.propose(r.Context(), state.WithdrawKey{Metadata: metadata, Key: q.Key})
}

func (a *api) drain(r *http.Request, actor ident.Actor) (any, *Problem) {
	q, p := decode[Drain](r)
	if p != nil {
		return nil, p
	}
	if !slices.ContainsFunc(a.opt.Board.Members.Read().Entries, func(e member.Entry) bool { return e.VM == q.VM }) && q.Draining {
		return nil, problem(http.StatusUnprocessableEntity, "invalid", "no VM %q is known", q.VM)
	}
	metadata, p := a.metadata(q.ChangeID, actor)
	if p != nil {
		return nil, p
	}
	return a.propose(r.Context(), state.SetDrain{Metadata: metadata, VM: q.VM, Draining: q.Draining})
}
