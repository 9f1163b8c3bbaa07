// Package inflow decides which new work enters the fleet. A call that is
// refused deep in a call tree wastes all that was done above it, so what enters
// is decided at the first hop, by what its whole tree needs.
//
// # Usage
//
//	p := inflow.NewProfiles()               // beside an upstream
//	p.Ran(now, route, held)                 // a run has ended
//	p.Called(now, route, child, 1)          // a run has made a call
//	needs := p.Needs(now, route, own, tree) // travels back with answers
//
//	t := inflow.NewTree()                   // wherever calls enter
//	t.Learn(now, route, needs)              // from an answer
//	t.Offered(now, route, standing)
//	refuse := t.RefuseShare(now, route, standing) // of such new calls
//
// Each gate says which share of the work that reaches it should not have
// entered (admit.Gate). Answers carry that back along the tree, with what one
// call of the route costs there; routes that do not use a full service see
// nothing of it. An entry cuts the named share of its own demand for the
// service, the least important calls first. The load that this answers: calls
// that fan out into a small service deep in the tree, at more than it can do.
// After Rajomon (NSDI 2025), which propagates prices along the graph, and DAGOR
// (SoCC 2018), which sheds by business priority at the entry. Nothing here is
// safe for concurrent use.
package inflow

import (
	"math"
	"slices"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/meter"
)

// ServiceCost is what one call of a route needs of one service in its tree.
type ServiceCost struct {
	Service ident.Service `json:"s"`
	// SlotSeconds is in slot seconds.
	SlotSeconds float64 `json:"c"`
	// RefuseShare is the share of the demand that should not enter, from 0 to 1.
	RefuseShare float64 `json:"r"`
}

const (
	// profileMemory is over how long runs and their calls are averaged: some
	// hundred runs of a quiet route.
	profileMemory = 20 * time.Second
	// demandMemory is over how long an entry averages its demand.
	demandMemory = 2 * time.Second
	// needMemory is how long a share that no answer confirms goes on counting.
	needMemory = time.Second
	// needWeight is the weight of one answer in a route's needs.
	needWeight = 0.2
	// refuseLeast is the smallest share worth telling.
	refuseLeast = 0.01
	// refuseMost leaves a few calls in, whose answers tell when there is room.
	refuseMost = 0.97
)

// Shedder is what an entry knows of the routes that enter here.
type Shedder struct {
	routes map[ident.Route]*routeState
}

type routeState struct {
	// demand is counted apart for calls of each standing.
	demand map[ident.Priority]*meter.Meter
	needs  map[ident.Service]need
}

type need struct {
	cost, refuse float64
	at           time.Time
}

// NewShedder returns a tree of which nothing is known.
func NewShedder() *Shedder {
	return &Shedder{routes: map[ident.Route]*routeState{}}
}

func (t *Shedder) route(r ident.Route) *routeState {
	s := t.routes[r]
	if s == nil {
		s = &routeState{demand: map[ident.Priority]*meter.Meter{}, needs: map[ident.Service]need{}}
		t.routes[r] = s
	}
	return s
}

// Observe takes the needs that came with an answer to a call of a route. A
// service that is not named asks to refuse nothing.
func (t *Shedder) Observe(now time.Time, r ident.Route, needs []ServiceCost) {
	s := t.route(r)
	if len(needs) == 0 && len(s.needs) == 0 {
		return
	}
	for _, n := range needs {
		have, known := s.needs[n.Service]
		if !known {
			have.cost = n.SlotSeconds
		}
		have.cost += needWeight * (n.SlotSeconds - have.cost)
		have.refuse += needWeight * (min(n.RefuseShare, refuseMost) - have.refuse)
		have.at = now
		s.needs[n.Service] = have
	}
	s.relax(now, needs)
}

// relax lets the shares go down of services that an answer does not name.
func (s *routeState) relax(now time.Time, named []ServiceCost) {
	for svc, have := range s.needs {
		if slices.ContainsFunc(named, func(n ServiceCost) bool { return n.Service == svc }) {
			continue
		}
		have.refuse -= needWeight * have.refuse
		have.at = now
		s.needs[svc] = have
		if have.refuse < refuseLeast {
			delete(s.needs, svc)
		}
	}
}

// Costs returns what is known of a route's needs at the moment.
func (t *Shedder) Costs(now time.Time, r ident.Route) []ServiceCost {
	s := t.routes[r]
	if s == nil {
		return nil
	}
	var out []ServiceCost
	for svc, n := range s.needs {
		if refuse := n.now(now); refuse >= refuseLeast {
			out = append(out, ServiceCost{Service: svc, SlotSeconds: n.cost, RefuseShare: refuse})
		}
	}
	return out
}

// now is the share, less for the time that no answer has confirmed it.
func (n need) now(now time.Time) float64 {
	quiet := max(0, now.Sub(n.at)-needMemory)
	return n.refuse * math.Exp(-quiet.Seconds()/needMemory.Seconds())
}

// RecordOffered counts a new call, whether it is let in or not.
func (t *Shedder) RecordOffered(now time.Time, r ident.Route, as ident.Priority) {
	meter.GetOrCreate(t.route(r).demand, as, demandMemory).Add(now, 1)
}

// RefuseShare returns the share of a route's new calls of a standing that should
// be refused now: what its fullest service asks for, after less important work.
func (t *Shedder) RefuseShare(now time.Time, r ident.Route, as ident.Priority) float64 {
	s := t.routes[r]
	if s == nil {
		return 0
	}
	worst := 0.0
	for svc, n := range s.needs {
		if refuse := n.now(now); refuse >= refuseLeast {
			worst = max(worst, t.cut(now, svc, refuse, as))
		}
	}
	return min(worst, refuseMost)
}

// cut spreads the share that a service asks to refuse over the demand for it, from
// the least important one up, and returns the part of those that stand alike.
func (t *Shedder) cut(now time.Time, svc ident.Service, refuse float64, as ident.Priority) float64 {
	demand := t.demandFor(now, svc)
	total := 0.0
	for _, work := range demand {
		total += work
	}
	left := refuse * total
	for i := len(demand) - 1; i > as.Index(); i-- {
		left -= demand[i] * refuseMost
	}
	own := demand[as.Index()]
	if left <= 0 || own == 0 {
		return 0
	}
	return min(1, left/own)
}

// demandFor returns the demand for a service by standing, in slots.
func (t *Shedder) demandFor(now time.Time, svc ident.Service) (demand [ident.PriorityCount]float64) {
	for _, s := range t.routes {
		n, uses := s.needs[svc]
		if !uses {
			continue
		}
		for as, m := range s.demand {
			demand[as.Index()] += m.Rate(now) * n.cost
		}
	}
	return demand
}
