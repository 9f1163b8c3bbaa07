package inflow_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/core/retry"

	"gotest.tools/v3/assert"
)

// The load: 19,500 requests in 8.5 s, of which 62% make four calls to a service that
// rejects 55% of them meanwhile. The runs make all of their calls, also after a failure.
const (
	rejectPerSecond = 2294
	treeShare       = 0.62
	treeCalls       = 4
	rejectBegin     = 11 * time.Second
	rejectTime      = 8500 * time.Millisecond
	rejectEnd       = rejectBegin + rejectTime
	playTime        = rejectEnd + 4*time.Second
	fleetRatio      = 0.2
	fleetSlack      = 97.0
	fleetWindow     = 10 * time.Second
	rejectServers   = 3
	bucketTime      = 500 * time.Millisecond
	buckets         = int(playTime / bucketTime)
)

// rejectPlay is one play of the load.
type rejectPlay struct {
	// withPart turns on the windows and the decision at the entry.
	withPart bool
	rejected float64

	now     time.Time
	events  eventHeap
	seq     int
	rng     *rand.Rand
	entries []*inflow.Completion
	callers []*treeCaller
	servers []*admit.Controller
	tickets admit.Ticket

	trees, plain [buckets]treeCounts
	first        [buckets]int
	repeats      [buckets]int
}

type treeCounts struct{ offered, admitted, well int }

// treeCaller is a daemon beside an upstream that makes the calls of trees.
type treeCaller struct {
	profiles   *inflow.Profiles
	completion *inflow.Completion
	window     retry.Window
	throttle   retry.Throttle
}

// treeRun is a run that makes calls.
type treeRun struct {
	caller   *treeCaller
	finished int
	failed   bool
	rank     float64
	done     func(well bool)
}

// playRejections plays a fleet of daemons, of which some call the rejecting service.
func playRejections(withPart bool, rejected float64, callers, daemons int) *rejectPlay {
	p := &rejectPlay{withPart: withPart, rejected: rejected, now: simStart, rng: rand.New(rand.NewPCG(11, 12))}
	slack := fleetSlack / float64(daemons)
	for range callers {
		p.entries = append(p.entries, inflow.NewCompletion())
		c := &treeCaller{profiles: inflow.NewProfiles(), completion: inflow.NewCompletion()}
		c.window = retry.NewWindow(fleetRatio, fleetWindow, simStart, p.rng)
		c.window.SetSlack(slack)
		c.throttle = retry.NewThrottle(fleetRatio/4, max(1, slack))
		p.callers = append(p.callers, c)
	}
	for range rejectServers {
		p.servers = append(p.servers, admit.New(admit.Config{Slots: 5000, QueueLimit: 5000}))
	}
	p.arrive()
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p
}

func (p *rejectPlay) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{at: p.now.Add(d), seq: p.seq, do: do})
}

func (p *rejectPlay) bucket() int {
	return min(int(p.now.Sub(simStart)/bucketTime), buckets-1)
}

// arrive plays the request that arrives now, and the next ones.
func (p *rejectPlay) arrive() {
	if p.now.Sub(simStart) >= playTime {
		return
	}
	p.after(time.Duration(p.rng.ExpFloat64()/rejectPerSecond*float64(time.Second)), p.arrive)
	route, calls, counts := ident.Route("plain"), 0, &p.plain[p.bucket()]
	if p.rng.Float64() < treeShare {
		route, calls, counts = "tree", treeCalls, &p.trees[p.bucket()]
	}
	entry := p.entries[p.rng.IntN(len(p.entries))]
	counts.offered++
	if p.withPart && p.rng.Float64() < entry.RefuseShare(p.now, route, fleetRatio) {
		return
	}
	counts.admitted++
	caller, began := p.callers[p.rng.IntN(len(p.callers))], p.now
	run := &treeRun{caller: caller, rank: p.rng.Float64()}
	run.done = func(well bool) {
		if well {
			counts.well++
		}
		caller.profiles.RecordRun(p.now, route, p.now.Sub(began))
		list := caller.profiles.Acceptances(p.now, route, "shop", 1, caller.completion)
		p.after(hopLatency, func() { entry.Observe(p.now, route, list) })
	}
	p.after(50*time.Millisecond, func() { p.nested(run, calls) })
}

// nested makes the remaining calls of a run one after another.
func (p *rejectPlay) nested(run *treeRun, remaining int) {
	if remaining == 0 {
		run.done(!run.failed)
		return
	}
	run.caller.profiles.RecordCall(p.now, "tree", "deep")
	run.caller.window.RecordFirst(p.now)
	p.first[p.bucket()]++
	p.attempt(run, 0, func(ok bool) {
		run.finished++
		run.failed = run.failed || !ok
		p.nested(run, remaining-1)
	})
}

// attempt sends a call, and sends it again if it is rejected and a retry is allowed.
func (p *rejectPlay) attempt(run *treeRun, n int, done func(ok bool)) {
	server, work := p.servers[p.rng.IntN(len(p.servers))], 30*time.Millisecond
	at := p.now.Sub(simStart)
	rejected := at >= rejectBegin && at < rejectEnd && p.rng.Float64() < p.rejected
	if rejected {
		work = 2 * time.Millisecond
	}
	p.tickets++
	ticket := p.tickets
	server.Arrive(p.now, admit.Request{Ticket: ticket, Route: "deep", Deadline: p.now.Add(time.Minute)})
	p.after(work, func() {
		server.Finish(p.now, ticket, admit.Sample{SelfTime: work, HoldTime: work, Rejected: rejected})
		var list []inflow.Acceptance
		if share := server.AcceptedShare(p.now); share < 1 {
			list = []inflow.Acceptance{{Service: "deep", Calls: 1, Share: share}}
		}
		run.caller.completion.Observe(p.now, "deep", list)
		switch {
		case !rejected:
			run.caller.throttle.RecordSuccess()
			done(true)
		default:
			p.repeat(run, n, 0, done)
		}
	})
}

// repeat sends a rejected call again if that is allowed, and asks again for a while.
func (p *rejectPlay) repeat(run *treeRun, n, asked int, done func(ok bool)) {
	switch {
	case p.mayRepeat(run, n, asked):
		p.repeats[p.bucket()]++
		p.after(3*time.Millisecond, func() { p.attempt(run, n+1, done) })
	case p.withPart && asked < 4 && !run.failed && n < 6:
		p.after(time.Duration(5+p.rng.IntN(15))*time.Millisecond, func() { p.repeat(run, n, asked+1, done) })
	default:
		done(false)
	}
}

// mayRepeat decides as io/proxy does.
func (p *rejectPlay) mayRepeat(run *treeRun, n, asked int) bool {
	if !p.withPart {
		return n < 2 && run.caller.throttle.Spend()
	}
	worth := 0.9*(0.5+0.5*float64(run.finished)/treeCalls) + 0.1*(1-run.rank)
	if run.failed {
		worth = 0
	}
	if asked > 0 {
		return run.caller.window.SpendLater(p.now, worth)
	}
	return n < 6 && run.caller.window.Spend(p.now, worth)
}

// sum adds up the counts from one time to another.
func sum(list [buckets]treeCounts, from, to time.Duration) (total treeCounts) {
	for _, c := range list[from/bucketTime : to/bucketTime] {
		total.offered, total.admitted, total.well = total.offered+c.offered, total.admitted+c.admitted, total.well+c.well
	}
	return total
}

func (c treeCounts) admittedShare() float64 { return float64(c.admitted) / float64(c.offered) }

// mustKeepBound checks the repeats of the whole fleet in each window.
func (p *rejectPlay) mustKeepBound(t *testing.T) {
	t.Helper()
	const length = int(fleetWindow / bucketTime)
	for begin := range buckets {
		first, repeats := 0, 0
		for n := begin; n < min(begin+length, buckets); n++ {
			first, repeats = first+p.first[n], repeats+p.repeats[n]
		}
		assert.Assert(t, float64(repeats) <= fleetRatio*float64(first)+fleetSlack, "%d repeats of %d", repeats, first)
	}
}

// Where a healthy service rejects a share of its calls, more trees must end well, and
// callers of the others must learn so at the entry.
func TestTreesThroughRejectingService(t *testing.T) {
	for _, fleet := range []struct{ callers, daemons int }{{40, 40}, {15, 61}, {61, 61}, {97, 97}} {
		t.Run(fmt.Sprintf("%d of %d daemons", fleet.callers, fleet.daemons), func(t *testing.T) {
			mustCompleteMore(t, playRejections(false, 0.55, fleet.callers, fleet.daemons), playRejections(true, 0.55, fleet.callers, fleet.daemons))
		})
	}
}

func mustCompleteMore(t *testing.T, without, with *rejectPlay) {
	t.Helper()
	before, after := sum(without.trees, rejectBegin, rejectEnd), sum(with.trees, rejectBegin, rejectEnd)
	t.Logf("without %+v, with %+v", before, after)
	t.Run("at least twice as many end well", func(t *testing.T) {
		assert.Assert(t, after.well >= 2*before.well, "%+v, without the part %+v", after, before)
	})
	t.Run("fewer fail after they have been admitted", func(t *testing.T) {
		failed, failedBefore := after.admitted-after.well, before.admitted-before.well
		assert.Assert(t, float64(failed) <= 0.8*float64(failedBefore), "%d, without the part %d", failed, failedBefore)
	})
	t.Run("within the bound", func(t *testing.T) { with.mustKeepBound(t) })
	t.Run("all are admitted 2 s after the recovery", func(t *testing.T) {
		c := sum(with.trees, rejectEnd+2*time.Second, playTime)
		assert.Assert(t, c.admittedShare() > 0.99, "%+v", c)
	})
	t.Run("all are admitted before", func(t *testing.T) {
		c := sum(with.trees, 0, rejectBegin)
		assert.Equal(t, c.admitted, c.offered)
	})
	t.Run("routes that do not use the service are not affected", func(t *testing.T) {
		c := sum(with.plain, 0, playTime)
		assert.Equal(t, c.well, c.offered)
	})
}

// Some calls must enter even if nothing is accepted, or the recovery would not be seen.
func TestSomeTreesAreAdmittedWhateverIsReported(t *testing.T) {
	const minAdmitted = 0.03
	t.Run("a service that rejects everything", func(t *testing.T) {
		p := playRejections(true, 1, 40, 40)
		for n, c := range p.trees {
			assert.Assert(t, c.admittedShare() >= minAdmitted, "%+v at %s", c, time.Duration(n)*bucketTime)
		}
		assert.Assert(t, sum(p.trees, rejectEnd+2*time.Second, playTime).admittedShare() > 0.99)
		p.mustKeepBound(t)
	})
	for name, list := range map[string][]inflow.Acceptance{
		"nothing accepted":   {{Service: "deep", Calls: 4, Share: 0}},
		"below zero":         {{Service: "deep", Calls: 4, Share: -1e300}},
		"above one":          {{Service: "deep", Calls: 4, Share: 7}},
		"endless":            {{Service: "deep", Calls: math.Inf(1), Share: math.Inf(-1)}},
		"not a number":       {{Service: "deep", Calls: math.NaN(), Share: math.NaN()}},
		"no calls":           {{Service: "deep", Calls: -3, Share: 0.1}},
		"no service":         {{Calls: 3, Share: 0.1}},
		"hostile in size":    manyAcceptances(100000),
		"calls beyond bound": {{Service: "deep", Calls: 1e300, Share: 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := inflow.NewCompletion()
			for n := range 100 {
				c.Observe(simStart, "tree", list[min(len(list)-1, n):])
			}
			share := c.RefuseShare(simStart, "tree", fleetRatio)
			assert.Assert(t, share >= 0 && share <= 1-minAdmitted, "%v", share)
			assert.Assert(t, len(c.Acceptances(simStart, "tree")) <= 32)
			assert.Equal(t, c.RefuseShare(simStart.Add(20*time.Second), "tree", fleetRatio), 0.0, "old reports")
		})
	}
}

func manyAcceptances(n int) (list []inflow.Acceptance) {
	for i := range n {
		list = append(list, inflow.Acceptance{Service: ident.Service(rune(i + 1)), Calls: 1, Share: 0.1})
	}
	return list
}

// A report that can't be right must be counted.
func TestUnusableReportsAreCounted(t *testing.T) {
	c := inflow.NewCompletion()
	assert.Equal(t, c.Observe(simStart, "tree", []inflow.Acceptance{{Service: "deep", Calls: 1, Share: 0.5}, {Service: "deep"}}), 1)
	assert.Equal(t, c.Observe(simStart, "other", manyAcceptances(40)), 8)
}

// The share of the trees that end well must follow from the calls and the retries.
func TestTreesThatEndWell(t *testing.T) {
	endWell := func(list []inflow.Acceptance, ratio float64) float64 {
		c := inflow.NewCompletion()
		for range 200 {
			c.Observe(simStart, "tree", list)
		}
		return c.EndWell(simStart, "tree", ratio)
	}
	near := func(t *testing.T, got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) < 0.01, "%.3f instead of %.3f", got, want)
	}
	deep := func(calls, share float64) inflow.Acceptance {
		return inflow.Acceptance{Service: "deep", Calls: calls, Share: share}
	}
	t.Run("without retries", func(t *testing.T) { near(t, endWell([]inflow.Acceptance{deep(4, 0.45)}, 0), math.Pow(0.45, 4)) })
	t.Run("one call", func(t *testing.T) { near(t, endWell([]inflow.Acceptance{deep(1, 0.45)}, 0.2), 0.45*1.2) })
	t.Run("retries suffice", func(t *testing.T) { near(t, endWell([]inflow.Acceptance{deep(8, 0.9)}, 0.2), 1) })
	t.Run("only some trees call it", func(t *testing.T) { near(t, endWell([]inflow.Acceptance{deep(0.5, 0.5)}, 0), 0.75) })
	t.Run("two services", func(t *testing.T) {
		near(t, endWell([]inflow.Acceptance{deep(1, 0.5), {Service: "other", Calls: 1, Share: 0.5}}, 0), 0.25)
	})
	t.Run("nothing is known", func(t *testing.T) { near(t, endWell(nil, 0.2), 1) })
}
