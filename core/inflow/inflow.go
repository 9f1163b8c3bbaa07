// Package inflow sheds load at the entry: it decides which new calls enter the
// fleet. A call that is refused deep in a call tree wastes all the work done
// above it, so the decision is made at the first hop, from the cost of the
// whole call tree.
//
// # Usage
//
//	p := inflow.NewProfiles()                        // on the VM of an upstream
//	p.RecordRun(now, route, holdTime)                // a run has ended
//	p.RecordCall(now, route, child)                  // a run has made a call
//	costs := p.Costs(now, route, service, share, s)  // returned with responses
//
//	s := inflow.NewShedder()                         // on each VM where calls enter
//	s.Observe(now, route, costs)                     // from a response
//	s.RecordOffered(now, route, priority)
//	share := s.RefuseShare(now, route, priority)     // of new calls to refuse
//
//	c := inflow.NewCompletion()                      // trees through services that reject calls
//	c.Observe(now, route, acceptances)               // from a response
//	share = c.RefuseShare(now, route, retryRatio)    // of trees that can't end well
//
// The admission controller of each upstream computes the share of its demand
// that should not have entered (admit.Controller.RefuseShare). Responses carry
// this share back along the call tree, with the cost of one call of the route
// at that service; routes that do not use an overloaded service are not
// affected. An entry refuses the given share of its own demand for the service,
// the least important calls first. This handles calls that fan out to a small
// service deep in the tree at more than its capacity. The design follows
// Rajomon (NSDI 2025), which propagates prices along the call graph, and DAGOR
// (SoCC 2018), which sheds by business priority at the entry. Nothing here is
// safe for concurrent use.
package inflow

import (
	"math"
	"slices"
	"strings"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

// ServiceCost is what one call of a route costs at one service of its call tree.
type ServiceCost struct {
	Service ident.Service `json:"s"`
	// SlotSeconds is the time for which the call occupies slots of the service.
	SlotSeconds float64 `json:"c"`
	// RefuseShare is the share of the demand for the service that should be
	// refused at the entry, from 0 to 1.
	RefuseShare float64 `json:"r"`
}

// WithoutService returns the costs at all services but one.
func WithoutService(costs []ServiceCost, svc ident.Service) (others []ServiceCost) {
	for _, c := range costs {
		if c.Service != svc {
			others = append(others, c)
		}
	}
	return others
}

const (
	// profileWindow is the averaging time of runs and their calls; it covers
	// about a hundred runs of a route with little traffic.
	profileWindow = 20 * time.Second
	// minCallsPerRun is the mean number of nested calls per run from which a route
	// counts as making calls; below it, they are calls of other routes that were
	// attributed to the wrong run.
	minCallsPerRun = 0.1
	// demandWindow is the averaging time of the demand at an entry.
	demandWindow = 2 * time.Second
	// costTTL is how long a reported share stays in full effect without another
	// response; then it decays with the same time constant.
	costTTL = time.Second
	// responseWeight is the smallest weight of one response in the moving averages of
	// costs and shares.
	responseWeight = 0.2
	// shareMemory is the time constant with which older reports of a share lose weight.
	// In a large fleet an entry admits few calls, and each response has to count.
	shareMemory = 250 * time.Millisecond
	// maxResponseWeight is the largest weight of one response: it tells the state of
	// a few of the upstreams of a service.
	maxResponseWeight = 0.6
	// minRefuseShare is the smallest share that is reported or applied.
	minRefuseShare = 0.01
	// minRelativeCost is the cost of a route at a service, relative to that of the
	// route that uses the service most, below which its calls are not refused for
	// this service. Refusing them would free next to nothing, and their cost may be
	// that of nested calls attributed to the wrong run.
	minRelativeCost = 0.05
	// maxRefuseShare is below 1 so that a few calls still enter, whose responses
	// show when the service has capacity again.
	maxRefuseShare = 0.97
)

// Shedder estimates the demand and the costs of the routes that enter at one
// VM and returns the share of their new calls to refuse.
type Shedder struct {
	routes map[ident.Route]*routeState
	// shares holds the share to refuse of each service, from the responses of all
	// routes that use it.
	shares map[ident.Service]shareEstimate
}

type routeState struct {
	// demand holds one meter of offered calls for each priority.
	demand map[ident.Priority]*meter.Meter
	// slotSeconds is what a call costs at each service that has asked to refuse some.
	slotSeconds map[ident.Service]float64
}

// shareEstimate is a moving average of the reported shares of a service.
type shareEstimate struct {
	share   float64
	updated time.Time
}

func (e shareEstimate) observe(now time.Time, share float64) shareEstimate {
	elapsed := now.Sub(e.updated).Seconds()
	weight := min(max(1-math.Exp(-elapsed/shareMemory.Seconds()), responseWeight), maxResponseWeight)
	return shareEstimate{share: e.share + weight*(min(share, maxRefuseShare)-e.share), updated: now}
}

// NewShedder returns a shedder without routes.
func NewShedder() *Shedder {
	return &Shedder{routes: map[ident.Route]*routeState{}, shares: map[ident.Service]shareEstimate{}}
}

func (s *Shedder) route(r ident.Route) *routeState {
	st := s.routes[r]
	if st == nil {
		st = &routeState{demand: map[ident.Priority]*meter.Meter{}, slotSeconds: map[ident.Service]float64{}}
		s.routes[r] = st
	}
	return st
}

// Observe updates the costs of a route, and the shares of the services that it uses,
// from the response to one of its calls. A service that the response does not list has
// nothing to refuse.
func (s *Shedder) Observe(now time.Time, r ident.Route, costs []ServiceCost) {
	st := s.route(r)
	if len(costs) == 0 && len(st.slotSeconds) == 0 {
		return
	}
	for _, c := range costs {
		slotSeconds, known := st.slotSeconds[c.Service]
		if !known {
			slotSeconds = c.SlotSeconds
		}
		st.slotSeconds[c.Service] = slotSeconds + responseWeight*(c.SlotSeconds-slotSeconds)
		s.shares[c.Service] = s.shares[c.Service].observe(now, c.RefuseShare)
	}
	for svc := range st.slotSeconds {
		if !slices.ContainsFunc(costs, func(c ServiceCost) bool { return c.Service == svc }) {
			s.observeUnlisted(now, st, svc)
		}
	}
}

// observeUnlisted lowers the share of a service that a response of a route that uses
// it did not list.
func (s *Shedder) observeUnlisted(now time.Time, st *routeState, svc ident.Service) {
	s.shares[svc] = s.shares[svc].observe(now, 0)
	if s.shares[svc].share < minRefuseShare {
		delete(st.slotSeconds, svc)
	}
}

// Costs returns the current costs of a route at the services that have
// something to refuse.
func (s *Shedder) Costs(now time.Time, r ident.Route) []ServiceCost {
	st := s.routes[r]
	if st == nil {
		return nil
	}
	var out []ServiceCost
	for svc, slotSeconds := range st.slotSeconds {
		if share := s.shares[svc].current(now); share >= minRefuseShare {
			out = append(out, ServiceCost{Service: svc, SlotSeconds: slotSeconds, RefuseShare: share})
		}
	}
	return out
}

// CostInput is a cost and its age, for the log.
type CostInput struct {
	ServiceCost
	Age time.Duration
}

// Inputs returns what the refusals of a route's calls stand on.
func (s *Shedder) Inputs(now time.Time, r ident.Route) (out []CostInput) {
	for _, c := range s.Costs(now, r) {
		out = append(out, CostInput{ServiceCost: c, Age: now.Sub(s.shares[c.Service].updated)})
	}
	return out
}

// current returns the share, reduced exponentially for the time since the last
// response beyond costTTL.
func (e shareEstimate) current(now time.Time) float64 {
	pastTTL := max(0, now.Sub(e.updated)-costTTL)
	return e.share * math.Exp(-pastTTL.Seconds()/costTTL.Seconds())
}

// ServiceRefuseShare returns the share of the demand for a service that should be
// refused, as known from the responses to the calls of a route.
func (s *Shedder) ServiceRefuseShare(now time.Time, r ident.Route, svc ident.Service) float64 {
	st := s.routes[r]
	if st == nil {
		return 0
	}
	if _, known := st.slotSeconds[svc]; !known {
		return 0
	}
	return s.shares[svc].current(now)
}

// RecordOffered counts a new call, whether it is admitted or not.
func (s *Shedder) RecordOffered(now time.Time, r ident.Route, p ident.Priority) {
	meter.GetOrCreate(s.route(r).demand, p, demandWindow).Add(now, 1)
}

// RefuseShare returns the share of a route's new calls of a priority to refuse
// now. It is the largest of the shares that the services of its call tree ask
// for, each applied to less important calls first.
func (s *Shedder) RefuseShare(now time.Time, r ident.Route, p ident.Priority) float64 {
	st := s.routes[r]
	if st == nil {
		return 0
	}
	largest := 0.0
	for svc, slotSeconds := range st.slotSeconds {
		if slotSeconds < minRelativeCost*s.highestCost(svc) {
			continue
		}
		if share := s.shares[svc].current(now); share >= minRefuseShare {
			largest = max(largest, s.shareForPriority(now, svc, share, p))
		}
	}
	return min(largest, maxRefuseShare)
}

// highestCost returns the cost at a service of the route that uses it most.
func (s *Shedder) highestCost(svc ident.Service) (slotSeconds float64) {
	for _, st := range s.routes {
		slotSeconds = max(slotSeconds, st.slotSeconds[svc])
	}
	return slotSeconds
}

// shareForPriority distributes the share that a service asks to refuse over the
// demand for the service, the least important priority first, and returns the
// part to refuse of the demand at priority p.
func (s *Shedder) shareForPriority(now time.Time, svc ident.Service, refuseShare float64, p ident.Priority) float64 {
	demand := s.demandFor(now, svc)
	total := 0.0
	for _, slots := range demand {
		total += slots
	}
	excess := refuseShare * total
	for i := len(demand) - 1; i > p.Index(); i-- {
		excess -= demand[i] * maxRefuseShare
	}
	own := demand[p.Index()]
	if excess <= 0 || own == 0 {
		return 0
	}
	return min(1, excess/own)
}

// demandFor returns the demand for a service by priority, in slots.
func (s *Shedder) demandFor(now time.Time, svc ident.Service) (demand [ident.PriorityCount]float64) {
	for _, st := range s.routes {
		slotSeconds, uses := st.slotSeconds[svc]
		if !uses {
			continue
		}
		for p, m := range st.demand {
			demand[p.Index()] += m.Rate(now) * slotSeconds
		}
	}
	return demand
}

// RouteStatus is what the shedder knows of one route that it refuses calls of.
type RouteStatus struct {
	Route ident.Route `json:"route"`
	// OfferedPerSecond is the rate of new calls of all priorities.
	OfferedPerSecond float64 `json:"offered_per_second"`
	// Costs lists the services of the call tree that ask to refuse calls.
	Costs []ServiceCost `json:"costs"`
}

// Status returns the routes with something to refuse, in the order of their names.
func (s *Shedder) Status(now time.Time) []RouteStatus {
	var out []RouteStatus
	for r, st := range s.routes {
		costs := s.Costs(now, r)
		if len(costs) == 0 {
			continue
		}
		offered := 0.0
		for _, m := range st.demand {
			offered += m.Rate(now)
		}
		out = append(out, RouteStatus{Route: r, OfferedPerSecond: offered, Costs: costs})
	}
	slices.SortFunc(out, func(a, b RouteStatus) int { return strings.Compare(string(a.Route), string(b.Route)) })
	return out
}
