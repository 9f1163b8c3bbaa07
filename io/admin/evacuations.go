package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
)

const evacuationPlanPath = "/v1/evacuations/plan"

// EvacuationRequest asks what an evacuation, or its end, would change.
type EvacuationRequest struct {
	DataCentre ident.DataCentre `json:"data_centre"`
	Evacuating bool             `json:"evacuating"`
}

// EvacuationPlan lists what remains of each service after an evacuation or its end.
type EvacuationPlan struct {
	Base       ident.Revision     `json:"base"`
	DataCentre ident.DataCentre   `json:"data_centre"`
	Evacuating bool               `json:"evacuating"`
	Services   []RemainingService `json:"services"`
	Warnings   []string           `json:"warnings"`
}

// RemainingService is one service in an EvacuationPlan.
type RemainingService struct {
	Service ident.Service `json:"service"`
	// Upstreams and Slots will take calls after the change.
	Upstreams int `json:"upstreams"`
	Slots     int `json:"slots"`
	// UpstreamsThere and SlotsThere are those in the data centre of the plan.
	UpstreamsThere int `json:"upstreams_there"`
	SlotsThere     int `json:"slots_there"`
}

// Evacuation starts or ends the evacuation of a data centre. Base is that of the plan; with
// zero the order does not depend on a plan.
type Evacuation struct {
	ChangeID   ident.ChangeID   `json:"change_id"`
	Base       ident.Revision   `json:"base"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Evacuating bool             `json:"evacuating"`
}

func (a *api) planEvacuation(r *http.Request, _ ident.Actor) (any, *Problem) {
	q, p := decode[EvacuationRequest](r)
	if p != nil {
		return nil, p
	}
	if p := a.unknownDataCentre(q.DataCentre); p != nil {
		return nil, p
	}
	return planEvacuation(a.opt.Board.Config.Read().State, a.opt.Board.Members.Read(), q), nil
}

func (a *api) evacuate(r *http.Request, actor ident.Actor) (any, *Problem) {
	q, p := decode[Evacuation](r)
	if p != nil {
		return nil, p
	}
	metadata, p := a.metadata(q.ChangeID, actor)
	if p != nil {
		return nil, p
	}
	if p := a.unknownDataCentre(q.DataCentre); p != nil {
		return nil, p
	}
	return a.propose(r.Context(), state.SetEvacuation{
		Metadata: metadata, Base: q.Base, DataCentre: q.DataCentre, Evacuating: q.Evacuating,
	})
}

// unknownDataCentre returns a problem if a data centre is not known, or if this daemon can't
// tell because it has just started.
func (a *api) unknownDataCentre(dc ident.DataCentre) *Problem {
	switch {
	case a.opt.Board.KnowsDataCentre(dc):
		return nil
	case a.opt.Board.Freshness.Read().AsOf.IsZero():
		return problem(http.StatusServiceUnavailable, reasonNotReady, "this daemon has just started and does not know the data centres yet; ask another one")
	default:
		return problem(http.StatusUnprocessableEntity, "invalid", "no data centre %q is known", dc)
	}
}

func planEvacuation(st *state.State, members *board.Members, q EvacuationRequest) EvacuationPlan {
	services := map[ident.Service]*RemainingService{}
	for name := range st.Intent.Services {
		services[name] = &RemainingService{Service: name}
	}
	for _, e := range members.Entries {
		if e.Upstream == nil || e.Phase != member.PhaseUp || e.Upstream.Phase != member.PhaseUp || !e.Upstream.Usable() || st.Drains[e.VM] {
			continue
		}
		s := services[e.Upstream.Service]
		if s == nil {
			s = &RemainingService{Service: e.Upstream.Service}
			services[e.Upstream.Service] = s
		}
		s.add(e, q, st.Evacuations[e.DataCentre])
	}
	plan := EvacuationPlan{
		Base: st.ConfirmedAt, DataCentre: q.DataCentre, Evacuating: q.Evacuating, Services: []RemainingService{}, Warnings: []string{},
	}
	for _, s := range services {
		plan.Services = append(plan.Services, *s)
	}
	slices.SortFunc(plan.Services, func(x, y RemainingService) int { return cmp.Compare(x.Service, y.Service) })
	for _, s := range plan.Services {
		if s.Upstreams == 0 {
			plan.Warnings = append(plan.Warnings, s.warning())
		}
	}
	return plan
}

// add counts an upstream; evacuated says whether its data centre is evacuated now.
func (s *RemainingService) add(e member.Entry, q EvacuationRequest, evacuated bool) {
	if e.DataCentre == q.DataCentre {
		s.UpstreamsThere++
		s.SlotsThere += e.Upstream.Slots
		evacuated = q.Evacuating
	}
	if !evacuated {
		s.Upstreams++
		s.Slots += e.Upstream.Slots
	}
}

func (s RemainingService) warning() string {
	if s.UpstreamsThere > 0 {
		return fmt.Sprintf("service %s has no upstream elsewhere: its calls will be refused (503, not run)", s.Service)
	}
	return fmt.Sprintf("service %s has no upstream: its calls are refused (503, not run)", s.Service)
}
