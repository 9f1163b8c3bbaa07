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

func as(c ident.Class) ident.Priority { return ident.Priority{Class: c} }

func mustNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.05, "%v is not near %v", got, want)
}

// offer lets each route have its demand for some seconds, with answers that say
// what it needs.
func offer(t *Shedder, demand map[ident.Route]int, class map[ident.Route]ident.Class, needs map[ident.Route][]ServiceCost) time.Time {
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for r, n := range demand {
			for range n {
				t.RecordOffered(now, r, as(class[r]))
				t.Observe(now, r, needs[r])
			}
		}
	}
	return now
}

func TestLeastImportantGoFirst(t *testing.T) {
	tree := NewShedder()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal, "upload": ident.ClassCritical}
	needs := map[ident.Route][]ServiceCost{
		"pay":    {{Service: deep, SlotSeconds: 2, RefuseShare: 0.25}},
		"browse": {{Service: deep, SlotSeconds: 2, RefuseShare: 0.25}},
	}
	now := offer(tree, map[ident.Route]int{"pay": 5, "browse": 5, "upload": 5}, class, needs)
	// A quarter of the demand for the service is half of what browsing wants.
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.5)
	assert.Equal(t, tree.RefuseShare(now, "pay", as(class["pay"])), 0.0)
	assert.Equal(t, tree.RefuseShare(now, "upload", as(class["upload"])), 0.0, "it does not use the full service")
	assert.Equal(t, tree.RefuseShare(now, "never seen", as(class["never seen"])), 0.0)
}

func TestMoreThanTheLeastImportant(t *testing.T) {
	tree := NewShedder()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal}
	full := []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.75}}
	now := offer(tree, map[ident.Route]int{"pay": 5, "browse": 5}, class, map[ident.Route][]ServiceCost{"pay": full, "browse": full})
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), refuseMost)
	mustNear(t, tree.RefuseShare(now, "pay", as(class["pay"])), 0.53)
	assert.Assert(t, tree.RefuseShare(now, "browse", as(class["browse"])) < 1, "none is let in that could tell of room")
}

func TestTheFullestServiceDecides(t *testing.T) {
	tree := NewShedder()
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	needs := []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.2}, {Service: other, SlotSeconds: 1, RefuseShare: 0.6}}
	now := offer(tree, map[ident.Route]int{"browse": 5}, class, map[ident.Route][]ServiceCost{"browse": needs})
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.6)
}

func TestRoomIsNoticed(t *testing.T) {
	full := map[ident.Route][]ServiceCost{"browse": {{Service: deep, SlotSeconds: 1, RefuseShare: 0.8}}}
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	t.Run("by answers", func(t *testing.T) {
		tree := NewShedder()
		now := offer(tree, map[ident.Route]int{"browse": 5}, class, full)
		for range 30 {
			tree.Observe(now, "browse", nil)
		}
		assert.Equal(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.0)
	})
	t.Run("without any answer", func(t *testing.T) {
		tree := NewShedder()
		now := offer(tree, map[ident.Route]int{"browse": 5}, class, full)
		tree.RecordOffered(now.Add(10*time.Second), "browse", as(ident.ClassNormal))
		assert.Equal(t, tree.RefuseShare(now.Add(10*time.Second), "browse", as(class["browse"])), 0.0)
	})
}

// A parent needs of a deep service what all of its calls need there.
func TestNeedsAddUpAlongTheTree(t *testing.T) {
	p, tree := NewProfiles(), NewShedder()
	now := epoch
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.RecordRun(now, "browse", 100*time.Millisecond)
		for range 3 {
			p.RecordCall(now, "browse", "thumb")
		}
		p.RecordCall(now, "upload", "rate")
		tree.Observe(now, "thumb", []ServiceCost{{Service: deep, SlotSeconds: 0.5, RefuseShare: 0.4}})
	}
	needs := p.Costs(now, "browse", "shop", 0, tree)
	assert.Equal(t, len(needs), 1)
	assert.Equal(t, needs[0].Service, deep)
	mustNear(t, needs[0].SlotSeconds, 1.5)
	mustNear(t, needs[0].RefuseShare, 0.4)
	assert.Equal(t, len(p.Costs(now, "upload", "shop", 0, tree)), 0)
	own := p.Costs(now, "browse", "shop", 0.3, tree)
	assert.Equal(t, len(own), 2, "its own service is full, too")
}

// Workspaces go before routes: the less important route of a more important
// workspace is cut after all that a less important one calls.
func TestWorkspacesGoBeforeRoutes(t *testing.T) {
	tree := NewShedder()
	front := ident.Priority{Class: ident.ClassLow}
	behind := ident.Priority{WorkspaceTier: 1, Class: ident.ClassCritical}
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for range 5 {
			tree.RecordOffered(now, "browse", front)
			tree.RecordOffered(now, "pay", behind)
			tree.Observe(now, "browse", []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.25}})
			tree.Observe(now, "pay", []ServiceCost{{Service: deep, SlotSeconds: 1, RefuseShare: 0.25}})
		}
	}
	mustNear(t, tree.RefuseShare(now, "pay", behind), 0.5)
	assert.Equal(t, tree.RefuseShare(now, "browse", front), 0.0)
	assert.Equal(t, tree.RefuseShare(now, "pay", front), 0.0, "the same route for a workspace in front")
}
