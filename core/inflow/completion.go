package inflow

import (
	"math"
	"slices"
	"strings"
	"time"

	"chicorymast/core/ident"
)

// Acceptance is how many calls one call of a route needs at a service of its call tree,
// and which share of its calls the service accepts.
type Acceptance struct {
	Service ident.Service `json:"s"`
	Calls   float64       `json:"n"`
	Share   float64       `json:"a"`
}

const (
	// doomedRefuseShare is the part of the calls that can't end well that an entry refuses.
	// A service that rejects a share of its calls at any load is not helped by fewer calls,
	// and retries are earned by calls: an entry that refused all that will fail, whichever
	// they are, would also refuse the same part of those that end well.
	doomedRefuseShare = 0.2
	// maxTreeCalls bounds the calls of a tree at one service in reports; it also bounds
	// what is computed from them.
	maxTreeCalls = 64
	// maxAcceptances bounds the services of a call tree that are known.
	maxAcceptances = 32
	// minKnownAcceptance is the smallest share that a report may state.
	minKnownAcceptance = 0.01
	// bisections is the number of steps in which the calls that are retried are found.
	bisections = 20
)

// Completion estimates which share of the call trees of a route end well, where services
// reject a share of their calls without running them, and which share of new calls an entry
// should refuse for it. Routes that do not use such a service are not affected.
type Completion struct {
	routes map[ident.Route]map[ident.Service]float64
	// rejected holds the share of its calls that a service rejects.
	rejected map[ident.Service]shareEstimate
}

// NewCompletion returns an estimate without routes.
func NewCompletion() *Completion {
	return &Completion{routes: map[ident.Route]map[ident.Service]float64{}, rejected: map[ident.Service]shareEstimate{}}
}

// Observe updates the shares of the services that a route uses from the response to one
// of its calls. A service that the response does not list accepts all calls. It returns
// the number of reports that can't be right; they are ignored.
func (c *Completion) Observe(now time.Time, r ident.Route, list []Acceptance) (ignored int) {
	calls := c.routes[r]
	if len(list) == 0 && len(calls) == 0 {
		return 0
	}
	if calls == nil {
		calls = map[ident.Service]float64{}
		c.routes[r] = calls
	}
	listed := map[ident.Service]bool{}
	for i, a := range list {
		before, known := calls[a.Service]
		if i >= maxAcceptances || !a.valid() || (!known && len(calls) >= maxAcceptances) {
			ignored++
			continue
		}
		listed[a.Service] = true
		if !known {
			before = min(a.Calls, maxTreeCalls)
		}
		calls[a.Service] = before + responseWeight*(min(a.Calls, maxTreeCalls)-before)
		c.rejected[a.Service] = c.rejected[a.Service].observe(now, 1-min(max(a.Share, minKnownAcceptance), 1))
	}
	for svc := range calls {
		if !listed[svc] {
			c.observeUnlisted(now, calls, svc)
		}
	}
	return ignored
}

func (a Acceptance) valid() bool {
	return a.Service != "" && a.Calls > 0 && !math.IsInf(a.Calls, 1) && !math.IsNaN(a.Share)
}

func (c *Completion) observeUnlisted(now time.Time, calls map[ident.Service]float64, svc ident.Service) {
	c.rejected[svc] = c.rejected[svc].observe(now, 0)
	if c.rejected[svc].share < minRefuseShare {
		delete(calls, svc)
		delete(c.rejected, svc)
	}
}

// Acceptances returns what is known of the services of a route's call tree that reject
// calls, in the order of their names.
func (c *Completion) Acceptances(now time.Time, r ident.Route) (list []Acceptance) {
	for svc, calls := range c.routes[r] {
		if rejected := c.rejected[svc].current(now); rejected >= minRefuseShare {
			list = append(list, Acceptance{Service: svc, Calls: calls, Share: 1 - rejected})
		}
	}
	sortAcceptances(list)
	return list
}

func sortAcceptances(list []Acceptance) {
	slices.SortFunc(list, func(a, b Acceptance) int { return strings.Compare(string(a.Service), string(b.Service)) })
}

// EndWell returns the share of the call trees of a route that end well, if for each first
// send to a service retryRatio retries are allowed.
func (c *Completion) EndWell(now time.Time, r ident.Route, retryRatio float64) float64 {
	share := 1.0
	for svc, calls := range c.routes[r] {
		if rejected := c.rejected[svc].current(now); rejected >= minRefuseShare {
			share *= endWell(1-rejected, calls, retryRatio)
		}
	}
	return share
}

// RefuseShare returns the share of a route's new calls to refuse now.
func (c *Completion) RefuseShare(now time.Time, r ident.Route, retryRatio float64) float64 {
	if len(c.routes[r]) == 0 {
		return 0
	}
	share := doomedRefuseShare * (1 - c.EndWell(now, r, retryRatio))
	if share < minRefuseShare {
		return 0
	}
	return min(share, maxRefuseShare)
}

// RouteAcceptance is what is known of one route whose trees use services that reject calls.
type RouteAcceptance struct {
	Route    ident.Route  `json:"route"`
	Services []Acceptance `json:"services"`
	// RefuseShare is the share of new calls to refuse.
	RefuseShare float64 `json:"refuse_share"`
}

// Status returns the routes whose trees use services that reject calls, in the order of
// their names.
func (c *Completion) Status(now time.Time, retryRatio float64) (list []RouteAcceptance) {
	for r := range c.routes {
		if services := c.Acceptances(now, r); len(services) > 0 {
			list = append(list, RouteAcceptance{Route: r, Services: services, RefuseShare: c.RefuseShare(now, r, retryRatio)})
		}
	}
	slices.SortFunc(list, func(a, b RouteAcceptance) int { return strings.Compare(string(a.Route), string(b.Route)) })
	return list
}

// endWell returns the share of the trees that end well which make a number of calls one
// after another at a service that accepts a share of them.
func endWell(accepted, calls, retryRatio float64) float64 {
	if calls < 1 {
		return 1 - calls*(1-endWell(accepted, 1, retryRatio))
	}
	if share, affordable := endWellRetried(accepted, calls, calls, retryRatio); affordable {
		return share
	}
	low, high := 0.0, calls
	for range bisections {
		middle := (low + high) / 2
		if _, affordable := endWellRetried(accepted, calls, middle, retryRatio); affordable {
			low = middle
		} else {
			high = middle
		}
	}
	share, _ := endWellRetried(accepted, calls, low, retryRatio)
	return share
}

// endWellRetried returns the share of the trees that end well if only their last calls are
// retried until they succeed, and whether the retries suffice: those of late calls are made
// first, see retry.Window.
func endWellRetried(accepted, calls, retried, retryRatio float64) (share float64, affordable bool) {
	reach, first, repeats := 1.0, 0.0, 0.0
	for left := calls; left > 0; left-- {
		part := min(left, 1)
		// again is the part of this call's rejections that are retried.
		again := min(max(retried-left+part, 0)/part, 1)
		first += reach * part
		repeats += reach * part * again * (1 - accepted) / accepted
		reach *= 1 - part*(1-(accepted+again*(1-accepted)))
	}
	return reach, repeats <= retryRatio*first
}
