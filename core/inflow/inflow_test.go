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
func offer(t *Tree, demand map[ident.Route]int, class map[ident.Route]ident.Class, needs map[ident.Route][]Need) time.Time {
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for r, n := range demand {
			for range n {
				t.Offered(now, r, as(class[r]))
				t.Learn(now, r, needs[r])
			}
		}
	}
	return now
}

func TestLeastImportantGoFirst(t *testing.T) {
	tree := NewTree()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal, "upload": ident.ClassCritical}
	needs := map[ident.Route][]Need{
		"pay":    {{Service: deep, Cost: 2, Refuse: 0.25}},
		"browse": {{Service: deep, Cost: 2, Refuse: 0.25}},
	}
	now := offer(tree, map[ident.Route]int{"pay": 5, "browse": 5, "upload": 5}, class, needs)
	// A quarter of the demand for the service is half of what browsing wants.
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.5)
	assert.Equal(t, tree.RefuseShare(now, "pay", as(class["pay"])), 0.0)
	assert.Equal(t, tree.RefuseShare(now, "upload", as(class["upload"])), 0.0, "it does not use the full service")
	assert.Equal(t, tree.RefuseShare(now, "never seen", as(class["never seen"])), 0.0)
}

func TestMoreThanTheLeastImportant(t *testing.T) {
	tree := NewTree()
	class := map[ident.Route]ident.Class{"pay": ident.ClassCritical, "browse": ident.ClassNormal}
	full := []Need{{Service: deep, Cost: 1, Refuse: 0.75}}
	now := offer(tree, map[ident.Route]int{"pay": 5, "browse": 5}, class, map[ident.Route][]Need{"pay": full, "browse": full})
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), refuseMost)
	mustNear(t, tree.RefuseShare(now, "pay", as(class["pay"])), 0.53)
	assert.Assert(t, tree.RefuseShare(now, "browse", as(class["browse"])) < 1, "none is let in that could tell of room")
}

func TestTheFullestServiceDecides(t *testing.T) {
	tree := NewTree()
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	needs := []Need{{Service: deep, Cost: 1, Refuse: 0.2}, {Service: other, Cost: 1, Refuse: 0.6}}
	now := offer(tree, map[ident.Route]int{"browse": 5}, class, map[ident.Route][]Need{"browse": needs})
	mustNear(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.6)
}

func TestRoomIsNoticed(t *testing.T) {
	full := map[ident.Route][]Need{"browse": {{Service: deep, Cost: 1, Refuse: 0.8}}}
	class := map[ident.Route]ident.Class{"browse": ident.ClassNormal}
	t.Run("by answers", func(t *testing.T) {
		tree := NewTree()
		now := offer(tree, map[ident.Route]int{"browse": 5}, class, full)
		for range 30 {
			tree.Learn(now, "browse", nil)
		}
		assert.Equal(t, tree.RefuseShare(now, "browse", as(class["browse"])), 0.0)
	})
	t.Run("without any answer", func(t *testing.T) {
		tree := NewTree()
		now := offer(tree, map[ident.Route]int{"browse": 5}, class, full)
		tree.Offered(now.Add(10*time.Second), "browse", as(ident.ClassNormal))
		assert.Equal(t, tree.RefuseShare(now.Add(10*time.Second), "browse", as(class["browse"])), 0.0)
	})
}

// A parent needs of a deep service what all of its calls need there.
func TestNeedsAddUpAlongTheTree(t *testing.T) {
	p, tree := NewProfiles(), NewTree()
	now := epoch
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		p.Ran(now, "browse", 100*time.Millisecond)
		for range 3 {
			p.Called(now, "browse", "thumb")
		}
		p.Called(now, "upload", "rate")
		tree.Learn(now, "thumb", []Need{{Service: deep, Cost: 0.5, Refuse: 0.4}})
	}
	needs := p.Needs(now, "browse", "shop", 0, tree)
	assert.Equal(t, len(needs), 1)
	assert.Equal(t, needs[0].Service, deep)
	mustNear(t, needs[0].Cost, 1.5)
	mustNear(t, needs[0].Refuse, 0.4)
	assert.Equal(t, len(p.Needs(now, "upload", "shop", 0, tree)), 0)
	own := p.Needs(now, "browse", "shop", 0.3, tree)
	assert.Equal(t, len(own), 2, "its own service is full, too")
}

// Workspaces go before routes: the less important route of a more important
// workspace is cut after all that a less important one calls.
func TestWorkspacesGoBeforeRoutes(t *testing.T) {
	tree := NewTree()
	front := ident.Priority{Class: ident.ClassLow}
	behind := ident.Priority{WorkspaceTier: 1, Class: ident.ClassCritical}
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for range 5 {
			tree.Offered(now, "browse", front)
			tree.Offered(now, "pay", behind)
			tree.Learn(now, "browse", []Need{{Service: deep, Cost: 1, Refuse: 0.25}})
			tree.Learn(now, "pay", []Need{{Service: deep, Cost: 1, Refuse: 0.25}})
		}
	}
	mustNear(t, tree.RefuseShare(now, "pay", behind), 0.5)
	assert.Equal(t, tree.RefuseShare(now, "browse", front), 0.0)
	assert.Equal(t, tree.RefuseShare(now, "pay", front), 0.0, "the same route for a workspace in front")
}
