package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

const (
	browse ident.Route = "browse"
	lookup ident.Route = "lookup"
	// deepCalls is the number of calls that a run of browse makes to the deep service.
	deepCalls = 4
	tickTime  = 50 * time.Millisecond
)

// site plays trees of one route that enter in several data centres. Each tree has one run
// of browse, which makes deepCalls calls to a service with little room in some of them.
type site struct {
	now      time.Time
	rng      *rand.Rand
	centres  []ident.DataCentre
	room     map[ident.DataCentre]int // deep calls a tick
	planners map[ident.DataCentre]*Planner
	meters   map[ident.DataCentre]*Meter
	planned  bool
}

func newSite(planned bool, room map[ident.DataCentre]int) *site {
	s := &site{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, 1)), centres: []ident.DataCentre{"a", "b", "c"}, room: room,
		planners: map[ident.DataCentre]*Planner{}, meters: map[ident.DataCentre]*Meter{}, planned: planned,
	}
	for _, dc := range s.centres {
		s.planners[dc], s.meters[dc] = NewPlanner(dc), NewMeter()
	}
	return s
}

// result counts the trees of a stretch of time, and the calls between data centres.
type result struct{ trees, crossings int }

func (r result) perTree() float64 { return float64(r.crossings) / float64(max(1, r.trees)) }

func (r *result) add(other result) {
	r.trees += other.trees
	r.crossings += other.crossings
}

// play lets so many trees a tick enter in each data centre.
func (s *site) play(d time.Duration, offered map[ident.DataCentre]int, cut ident.DataCentre) result {
	var total result
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickTime) {
		free := map[ident.DataCentre]int{}
		for dc, n := range s.room {
			free[dc] = n
		}
		left := map[ident.DataCentre]int{}
		for dc, n := range offered {
			left[dc] = n
		}
		for more := true; more; {
			more = false
			for _, home := range s.centres {
				if left[home] > 0 {
					left[home]--
					more = true
					total.add(s.tree(home, free, cut))
				}
			}
		}
	}
	return total
}

func (s *site) tree(home ident.DataCentre, free map[ident.DataCentre]int, cut ident.DataCentre) result {
	r := result{trees: 1}
	at := home
	if s.planned {
		var rooms []Room
		for _, dc := range s.centres {
			if dc != cut {
				rooms = append(rooms, Room{dc, 10})
			}
		}
		if dc, ok := s.planners[home].Choose(s.now, browse, rooms, s.rng.Float64); ok {
			at = dc
			r.crossings++
		}
	}
	for range deepCalls {
		crossed := free[at] <= 0
		free[at]--
		if crossed {
			r.crossings++
		}
		s.meters[at].RecordCall(s.now, browse, lookup, crossed, Crossings{})
	}
	s.meters[at].RecordRun(s.now, browse)
	s.planners[home].Observe(s.now, browse, at, s.meters[at].Crossings(s.now, browse))
	return r
}

// The load: a third of the callers is where the deep service has a seventh of its room.
func TestTreesCrossOnceWhereTheDeepServiceIsFull(t *testing.T) {
	room := map[ident.DataCentre]int{"a": 8, "b": 60, "c": 60}
	offered := map[ident.DataCentre]int{"a": 8, "b": 6, "c": 6}
	measure := func(planned bool) result {
		s := newSite(planned, room)
		s.play(10*time.Second, offered, "")
		return s.play(20*time.Second, offered, "")
	}
	without, with := measure(false), measure(true)
	t.Logf("crossings per tree: %.2f without, %.2f with", without.perTree(), with.perTree())
	assert.Assert(t, with.perTree() <= without.perTree()/2)
}

func TestTreesComeBack(t *testing.T) {
	s := newSite(true, map[ident.DataCentre]int{"a": 8, "b": 60, "c": 60})
	s.play(10*time.Second, map[ident.DataCentre]int{"a": 8, "b": 6, "c": 6}, "")
	assert.Assert(t, s.planners["a"].Away(browse) > 0.5)
	calm := map[ident.DataCentre]int{"a": 2, "b": 2, "c": 2}
	s.play(25*time.Second, calm, "")
	assert.Assert(t, s.play(10*time.Second, calm, "").perTree() < 0.1, "trees stay away though there is room at home")
}

// A data centre that is cut off must get no tree from the moment on at which that is known.
func TestNoTreeGoesToADataCentreThatIsCutOff(t *testing.T) {
	s := newSite(true, map[ident.DataCentre]int{"a": 8, "b": 60, "c": 60})
	offered := map[ident.DataCentre]int{"a": 8, "b": 6}
	s.play(10*time.Second, offered, "")
	runs := func() float64 { return s.meters["c"].route(browse).runs.Sum(s.now) }
	s.meters["c"].route(browse).runs.Scale(0)
	s.play(time.Second, offered, "c")
	assert.Equal(t, runs(), 0.0)
	s.play(time.Second, offered, "")
	assert.Assert(t, runs() > 0, "trees go there again once it is back")
}

// Where all data centres are full, moved trees would cross as often as others, and once more.
func TestFullDataCentresGetNoTrees(t *testing.T) {
	full := map[ident.DataCentre]int{"a": 4, "b": 4, "c": 4}
	offered := map[ident.DataCentre]int{"a": 8, "b": 8, "c": 8}
	measure := func(planned bool) float64 {
		s := newSite(planned, full)
		s.play(10*time.Second, offered, "")
		return s.play(10*time.Second, offered, "").perTree()
	}
	assert.Assert(t, measure(true) <= 1.1*measure(false))
}

// A wrong report must neither send everything away nor break the arithmetic.
func TestWrongReports(t *testing.T) {
	for name, c := range map[string]Crossings{
		"not a number":         {math.NaN(), math.NaN()},
		"negative":             {-1, 4},
		"infinite":             {math.Inf(1), math.Inf(1)},
		"more than the fanout": {1e9, 2},
		"one call per run":     {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner("a")
			now := time.Unix(1000, 0)
			p.Observe(now, browse, "a", Crossings{1, 4})
			for range 500 {
				now = now.Add(tickTime)
				p.Observe(now, browse, "a", c)
			}
			away := p.Away(browse)
			assert.Assert(t, away >= 0 && away <= maxAway, "%v", away)
		})
	}
}

// Reports of one data centre must not outlive it.
func TestReportsExpire(t *testing.T) {
	p := NewPlanner("a")
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(tickTime)
		p.Observe(now, browse, "a", Crossings{4, 4})
		p.Observe(now, browse, "b", Crossings{4, 4})
	}
	rooms := []Room{{"a", 10}, {"b", 10}}
	zero := func() float64 { return 0 }
	_, ok := p.Choose(now, browse, rooms, zero)
	assert.Assert(t, !ok, "the other data centre is as full")
	now = now.Add(reportTTL + time.Millisecond)
	dc, ok := p.Choose(now, browse, rooms, zero)
	assert.Assert(t, ok)
	assert.Equal(t, dc, ident.DataCentre("b"))
}

func BenchmarkChoose(b *testing.B) {
	p := NewPlanner("a")
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(tickTime)
		p.Observe(now, browse, "a", Crossings{4, 4})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	rooms := []Room{{"a", 10}, {"b", 10}, {"c", 10}}
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(now, browse, rooms, rng.Float64)
	}
}
