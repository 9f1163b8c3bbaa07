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

// Need is what one call of a route needs of one service in its tree.
type Need struct {
	Service ident.Service `json:"s"`
	// Cost is in slot seconds.
	Cost float64 `json:"c"`
	// Refuse is the share of the demand that should not enter, from 0 to 1.
	Refuse float64 `json:"r"`
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

// Tree is what an entry knows of the routes that enter here.
type Tree struct {
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

// NewTree returns a tree of which nothing is known.
func NewTree() *Tree {
	return &Tree{routes: map[ident.Route]*routeState{}}
}

func (t *Tree) route(r ident.Route) *routeState {
	s := t.routes[r]
	if s == nil {
		s = &routeState{demand: map[ident.Priority]*meter.Meter{}, needs: map[ident.Service]need{}}
		t.routes[r] = s
	}
	return s
}

// Learn takes the needs that came with an answer to a call of a route. A
// service that is not named asks to refuse nothing.
func (t *Tree) Learn(now time.Time, r ident.Route, needs []Need) {
	s := t.route(r)
	if len(needs) == 0 && len(s.needs) == 0 {
		return
	}
	for _, n := range needs {
		have, known := s.needs[n.Service]
		if !known {
			have.cost = n.Cost
		}
		have.cost += needWeight * (n.Cost - have.cost)
		have.refuse += needWeight * (min(n.Refuse, refuseMost) - have.refuse)
		have.at = now
		s.needs[n.Service] = have
	}
	s.relax(now, needs)
}

// relax lets the shares go down of services that an answer does not name.
func (s *routeState) relax(now time.Time, named []Need) {
	for svc, have := range s.needs {
		if slices.ContainsFunc(named, func(n Need) bool { return n.Service == svc }) {
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

// Needs returns what is known of a route's needs at the moment.
func (t *Tree) Needs(now time.Time, r ident.Route) []Need {
	s := t.routes[r]
	if s == nil {
		return nil
	}
	var out []Need
	for svc, n := range s.needs {
		if refuse := n.now(now); refuse >= refuseLeast {
			out = append(out, Need{Service: svc, Cost: n.cost, Refuse: refuse})
		}
	}
	return out
}

// now is the share, less for the time that no answer has confirmed it.
func (n need) now(now time.Time) float64 {
	quiet := max(0, now.Sub(n.at)-needMemory)
	return n.refuse * math.Exp(-quiet.Seconds()/needMemory.Seconds())
}

// Offered counts a new call, whether it is let in or not.
func (t *Tree) Offered(now time.Time, r ident.Route, as ident.Priority) {
	meter.Of(t.route(r).demand, as, demandMemory).Add(now, 1)
}

// RefuseShare returns the share of a route's new calls of a standing that should
// be refused now: what its fullest service asks for, after less important work.
func (t *Tree) RefuseShare(now time.Time, r ident.Route, as ident.Priority) float64 {
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
func (t *Tree) cut(now time.Time, svc ident.Service, refuse float64, as ident.Priority) float64 {
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
func (t *Tree) demandFor(now time.Time, svc ident.Service) (demand [ident.PriorityCount]float64) {
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
