package inflow

import (
	"math"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	deep  = ident.Service("deep")
	other = ident.Service("other")
)

func priority(c ident.Class) ident.Priority { return ident.Priority{Class: c} }

func mustNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.05, "got %v, want about %v", got, want)
}

// simulate runs ten seconds of calls at a constant rate for each route, with
// responses that report the costs.
func simulate(s *Shedder, demand map[ident.Route]int, class map[ident.Route]ident.Class, costs map[ident.Route][]ServiceCost) time.Time {
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for r, n := range demand {
			for range n {
				s.RecordOffered(now, r, priority(class[r]))
				s.Observe(now, r, costs[r])
			}
		}
	}
	return now
}

func TestLeastImportantCallsAreRefusedFirst(t *testing.T) {
	shedder := NewShedder()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal, "upload": ident.ClassCritical}
	costs := map[ident.Route][]ServiceCost{
		"pay":    {{Service: deep, SlotSeconds: 2, RefuseShare: 0.25}},
		"browse": {{Service: deep, SlotSeconds: 2, RefuseShare: 0.25}},
	}
	now := simulate(shedder, map[ident.Route]int{"pay": 5, "browse": 5, "upload": 5}, class, costs)
	// A quarter of the total demand for the service is half of that of browse.
	mustNear(t, shedder.RefuseShare(now, "browse", priority(class["browse"])), 0.5)
	assert.Equal(t, shedder.RefuseShare(now, "pay", priority(class["pay"])), 0.0)
	assert.Equal(t, shedder.RefuseShare(now, "upload", priority(class["upload"])), 0.0,
		"it does not use the overloaded service")
	assert.Equal(t, shedder.RefuseShare(now, "never seen", priority(class["never seen"])), 0.0)
}

func TestRefusalsExtendToMoreImportantCalls(t *testing.T) {
	shedder := NewShedder()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal}
	overloaded := []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.75}}
	now := simulate(shedder, map[ident.Route]int{"pay": 5, "browse": 5}, class,
		map[ident.Route][]ServiceCost{"pay": overloaded, "browse": overloaded})
	mustNear(t, shedder.RefuseShare(now, "browse", priority(class["browse"])), maxRefuseShare)
	mustNear(t, shedder.RefuseShare(now, "pay", priority(class["pay"])), 0.53)
	assert.Assert(t, shedder.RefuseShare(now, "browse", priority(class["browse"])) < 1,
		"some calls must enter, whose responses show free capacity")
}

func TestLargestRefuseShareApplies(t *testing.T) {
	shedder := NewShedder()
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	costs := []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.2}, {Service: other, SlotSeconds: 1, RefuseShare: 0.6}}
	now := simulate(shedder, map[ident.Route]int{"browse": 5}, class, map[ident.Route][]ServiceCost{"browse": costs})
	mustNear(t, shedder.RefuseShare(now, "browse", priority(class["browse"])), 0.6)
}

func TestCallsThatHardlyUseAServiceAreNotRefusedForIt(t *testing.T) {
	shedder := NewShedder()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "upload": ident.ClassCritical, "report": ident.ClassCritical}
	costs := map[ident.Route][]ServiceCost{
		"pay":    {{Service: deep, SlotSeconds: 0.2, RefuseShare: 0.4}},
		"upload": {{Service: deep, SlotSeconds: 0.004, RefuseShare: 0.4}},
		"report": {{Service: deep, SlotSeconds: 0.02, RefuseShare: 0.4}},
	}
	now := simulate(shedder, map[ident.Route]int{"pay": 5, "upload": 5, "report": 5}, class, costs)
	mustNear(t, shedder.RefuseShare(now, "pay", priority(class["pay"])), 0.4)
	mustNear(t, shedder.RefuseShare(now, "report", priority(class["report"])), 0.4)
	assert.Equal(t, shedder.RefuseShare(now, "upload", priority(class["upload"])), 0.0)
}

func TestRefuseShareDecays(t *testing.T) {
	overloaded := map[ident.Route][]ServiceCost{"browse": {{Service: deep, SlotSeconds: 1, RefuseShare: 0.8}}}
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	t.Run("with responses", func(t *testing.T) {
		shedder := NewShedder()
		now := simulate(shedder, map[ident.Route]int{"browse": 5}, class, overloaded)
		for range 30 {
			shedder.Observe(now, "browse", nil)
		}
		assert.Equal(t, shedder.RefuseShare(now, "browse", priority(class["browse"])), 0.0)
	})
	t.Run("without responses", func(t *testing.T) {
		shedder := NewShedder()
		now := simulate(shedder, map[ident.Route]int{"browse": 5}, class, overloaded)
		shedder.RecordOffered(now.Add(10*time.Second), "browse", priority(ident.ClassNormal))
		assert.Equal(t, shedder.RefuseShare(now.Add(10*time.Second), "browse", priority(class["browse"])), 0.0)
	})
}

// The cost of a route at a service deep in the tree is the sum over all its child
// calls.
func TestCostsAddUpAlongTheTree(t *testing.T) {
	p, shedder := NewProfiles(), NewShedder()
	now := epoch
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.RecordRun(now, "browse", 100*time.Millisecond)
		for range 3 {
			p.RecordCall(now, "browse", "thumb")
		}
		p.RecordCall(now, "upload", "rate")
		shedder.Observe(now, "thumb", []ServiceCost{{Service: deep, SlotSeconds: 0.5, RefuseShare: 0.4}})
	}
	costs := p.Costs(now, "browse", "shop", 0, shedder)
	assert.Equal(t, len(costs), 1)
	assert.Equal(t, costs[0].Service, deep)
	mustNear(t, costs[0].SlotSeconds, 1.5)
	mustNear(t, costs[0].RefuseShare, 0.4)
	assert.Equal(t, len(p.Costs(now, "upload", "shop", 0, shedder)), 0)
	costsWithOwnService := p.Costs(now, "browse", "shop", 0.3, shedder)
	assert.Equal(t, len(costsWithOwnService), 2, "its own service is overloaded, too")
}

// The workspace takes precedence over the route: calls to a low-class route of a
// more important workspace are refused only after all calls of a less important
// workspace.
func TestWorkspaceTakesPrecedenceOverRoute(t *testing.T) {
	shedder := NewShedder()
	moreImportant := ident.Priority{Class: ident.ClassLow}
	lessImportant := ident.Priority{WorkspaceTier: 1, Class: ident.ClassCritical}
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for range 5 {
			shedder.RecordOffered(now, "browse", moreImportant)
			shedder.RecordOffered(now, "pay", lessImportant)
			shedder.Observe(now, "browse", []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.25}})
			shedder.Observe(now, "pay", []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.25}})
		}
	}
	mustNear(t, shedder.RefuseShare(now, "pay", lessImportant), 0.5)
	assert.Equal(t, shedder.RefuseShare(now, "browse", moreImportant), 0.0)
	assert.Equal(t, shedder.RefuseShare(now, "pay", moreImportant), 0.0, "the same route for the more important workspace")
}

// In a large fleet an entry admits a call of a route every few seconds. It must not take
// it a dozen of them to hear that a service has room again, or has none.
func TestShareIsFollowedWithFewResponses(t *testing.T) {
	costs := func(share float64) []ServiceCost {
		return []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: share}}
	}
	routes := []ident.Route{"browse", "pay", "status", "upload"}
	class := priority(ident.ClassNormal)
	shedder, now := NewShedder(), epoch
	respond := func(n int, share float64) {
		for i := range n {
			now = now.Add(700 * time.Millisecond)
			for _, r := range routes {
				shedder.RecordOffered(now, r, class)
			}
			shedder.Observe(now, routes[i%len(routes)], costs(share))
		}
	}
	respond(len(routes), 0.6)
	mustNear(t, shedder.RefuseShare(now, "browse", class), 0.6)
	respond(3, 0.1)
	assert.Assert(t, shedder.RefuseShare(now, "browse", class) < 0.15, "%v", shedder.RefuseShare(now, "browse", class))
}
