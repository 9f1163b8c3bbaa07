package inflow_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/inflow"
	"chicorymast/core/route"

	"gotest.tools/v3/assert"
)

// The simulated fleet has three data centres. Each has entries, upstreams of the
// service shop, whose runs make nested calls one after another, and one upstream
// of the service deep, which is the bottleneck.
const (
	deepSlots     = 40
	deepWork      = 30 * time.Millisecond
	shopSlots     = 64
	shopWork      = 120 * time.Millisecond
	shopsPerDC    = 4
	entriesPerDC  = 8
	hopLatency    = time.Millisecond
	callerTimeout = 5 * time.Second
	// misattributed is the share of nested calls whose parent is guessed wrongly.
	misattributed  = 1.0
	impatientWait  = 50 * time.Millisecond
	attemptTimeout = 1200 * time.Millisecond
)

var (
	dataCentres = []ident.DataCentre{"a", "b", "c"}
	// deepSpeeds are the relative speeds of the upstreams of deep, by data centre.
	deepSpeeds = []float64{0.6, 1, 1.4}
	simStart   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// deepCapacity is the rate of nested calls that the service deep can serve.
func deepCapacity() float64 {
	rate := 0.0
	for _, speed := range deepSpeeds {
		rate += deepSlots * speed / deepWork.Seconds()
	}
	return rate
}

// simRoute is a route that enters the fleet. Its runs at shop make nested calls.
type simRoute struct {
	name   ident.Route
	class  ident.Class
	nested int
	// perSecond is the rate of new requests over all entries.
	perSecond float64
}

// outcome counts requests that began in one phase of the simulation.
type outcome struct{ offered, done, failed, refused int }

type fleet struct {
	now     time.Time
	events  eventHeap
	rng     *rand.Rand
	entries []*entry
	vms     map[ident.VM]*vm
	// elsewhere is the share that another service of the call trees asks to
	// refuse of each route.
	elsewhere map[ident.Route]float64
	// impatient is the share of callers that repeat refused requests at once.
	impatient float64
	tickets   admit.Ticket
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// dispatcher holds what a daemon knows of the services that it calls.
type dispatcher struct {
	shedder   *inflow.Shedder
	balancers map[ident.Service]*route.Balancer
}

type entry struct{ dispatcher }

type vm struct {
	dispatcher
	service ident.Service
	speed   float64
	slots   int
	// limit is the rate of calls that the upstream takes, zero for any.
	limit      ident.Rate
	controller *admit.Controller
	profiles   *inflow.Profiles
	running    []*simCall
	// started holds the times at which calls started.
	started []time.Time
	waiters map[admit.Ticket]*simCall
}

// parentOf returns the run that a nested call of c is attributed to.
func (v *vm) parentOf(rng *rand.Rand, c *simCall) *simCall {
	if rng.Float64() < misattributed {
		return v.running[rng.IntN(len(v.running))]
	}
	return c
}

// simCall is a call at one VM. done receives whether it succeeded and what the
// response says of the costs.
type simCall struct {
	route    ident.Route
	share    float64
	deadline time.Time
	priority ident.Priority
	rank     admit.Rank
	nested   int
	isNested bool
	// serviceRefuseShare is what the sender knows of the service.
	serviceRefuseShare float64
	roomElsewhere      bool
	done               func(ok bool, costs []inflow.ServiceCost)
}

func newFleet() *fleet {
	f := &fleet{
		now: simStart, rng: rand.New(rand.NewPCG(7, 7)), vms: map[ident.VM]*vm{},
		elsewhere: map[ident.Route]float64{},
	}
	var shop, deep []route.Candidate
	for i, dc := range dataCentres {
		for n := range shopsPerDC {
			name := ident.VM("shop-" + string(dc) + string(rune('0'+n)))
			f.addVM(name, "shop", shopSlots, 1)
			shop = append(shop, route.Candidate{VM: name, DataCentre: dc, Slots: shopSlots})
		}
		name := ident.VM("deep-" + string(dc))
		f.addVM(name, "deep", deepSlots, deepSpeeds[i])
		deep = append(deep, route.Candidate{VM: name, DataCentre: dc, Slots: deepSlots})
	}
	for _, c := range shop {
		f.vms[c.VM].dispatcher = f.newDispatcher(c.DataCentre, "deep", deep)
	}
	for _, dc := range dataCentres {
		for range entriesPerDC {
			f.entries = append(f.entries, &entry{f.newDispatcher(dc, "shop", shop)})
		}
	}
	return f
}

func (f *fleet) addVM(name ident.VM, service ident.Service, slots int, speed float64) {
	f.vms[name] = &vm{
		service: service, slots: slots, speed: speed, profiles: inflow.NewProfiles(),
		controller: admit.New(admit.Config{Slots: slots, QueueLimit: 4 * slots}), waiters: map[admit.Ticket]*simCall{},
	}
}

func (f *fleet) newDispatcher(dc ident.DataCentre, service ident.Service, candidates []route.Candidate) dispatcher {
	b := route.New(dc, rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	b.Update(f.now, candidates)
	return dispatcher{shedder: inflow.NewShedder(), balancers: map[ident.Service]*route.Balancer{service: b}}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.tickets++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: int(f.tickets), do: do})
}

// measure simulates the requests of routes for a duration and returns the outcomes
// of those that began in it, also if they ended later.
func (f *fleet) measure(d time.Duration, routes ...simRoute) map[ident.Route]*outcome {
	outcomes := f.run(d, routes...)
	f.run(callerTimeout, routes...)
	return outcomes
}

// run simulates the requests of routes for a duration.
func (f *fleet) run(d time.Duration, routes ...simRoute) map[ident.Route]*outcome {
	outcomes := map[ident.Route]*outcome{}
	end := f.now.Add(d)
	for _, r := range routes {
		outcomes[r.name] = &outcome{}
		f.arriveUntil(end, r, outcomes[r.name])
	}
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
	return outcomes
}

func (f *fleet) arriveUntil(end time.Time, r simRoute, o *outcome) {
	wait := time.Duration(f.rng.ExpFloat64() / r.perSecond * float64(time.Second))
	if f.now.Add(wait).After(end) {
		return
	}
	f.after(wait, func() {
		o.offered++
		f.request(f.entries[f.rng.IntN(len(f.entries))], r, o, f.newRepeats())
		f.arriveUntil(end, r, o)
	})
}

// repeats is how often a refused caller asks again: once after the time that it
// was told, or at once and more often.
type repeats struct {
	n      int
	atOnce bool
}

func (f *fleet) newRepeats() repeats {
	if f.rng.Float64() < f.impatient {
		return repeats{n: 3, atOnce: true}
	}
	return repeats{n: 1}
}

// request lets a caller ask an entry.
func (f *fleet) request(e *entry, r simRoute, o *outcome, again repeats) {
	priority := ident.Priority{Class: r.class}
	e.shedder.RecordOffered(f.now, r.name, priority)
	share := 1 - max(e.shedder.RefuseShare(f.now, r.name, priority), f.elsewhere[r.name])
	if f.rng.Float64() >= share {
		if again.n == 0 {
			o.refused++
			return
		}
		again.n--
		wait := time.Duration(float64(callerTimeout) / 6 * (1 + f.rng.Float64()))
		if again.atOnce {
			wait = impatientWait
		}
		f.after(wait, func() { f.request(e, r, o, again) })
		return
	}
	f.send(&e.dispatcher, "shop", &simCall{
		route: r.name, share: share, deadline: f.now.Add(attemptTimeout), priority: priority,
		rank: admit.Rank(f.rng.UintN(256)), nested: r.nested,
		done: func(ok bool, _ []inflow.ServiceCost) {
			if ok {
				o.done++
			} else {
				o.failed++
			}
		},
	})
}

// send dispatches a call to a VM; a refused call goes to one other VM.
func (f *fleet) send(d *dispatcher, service ident.Service, c *simCall) {
	tried := map[ident.VM]bool{}
	var attempt func()
	attempt = func() {
		b := d.balancers[service]
		level := admit.PriorityLevel(c.priority, true)
		picked, ok := b.Pick(f.now, level, tried)
		if !ok {
			c.done(false, nil)
			return
		}
		tried[picked.VM] = true
		once := *c
		once.roomElsewhere = b.RoomElsewhere(f.now, level, picked.VM)
		once.serviceRefuseShare = d.shedder.ServiceRefuseShare(f.now, c.route, service)
		once.done = func(ok bool, costs []inflow.ServiceCost) {
			f.after(hopLatency, func() {
				load := f.vms[picked.VM].controller.Load(f.now)
				outcome := route.OutcomeAnswered
				if !ok {
					outcome = route.OutcomeRefused
				}
				b.Done(f.now, picked.VM, route.Report{Outcome: outcome, Load: &load})
				if b.RoomElsewhere(f.now, level, picked.VM) {
					costs = inflow.WithoutService(costs, service)
				}
				d.shedder.Observe(f.now, c.route, costs)
				if !ok && service == "deep" && len(tried) < 2 && f.now.Before(c.deadline) {
					attempt()
					return
				}
				c.done(ok, costs)
			})
		}
		f.after(hopLatency, func() { f.arrive(f.vms[picked.VM], &once) })
	}
	attempt()
}

func (f *fleet) arrive(v *vm, c *simCall) {
	f.tickets++
	t := f.tickets
	v.waiters[t] = c
	f.apply(v, v.controller.Arrive(f.now, admit.Request{
		Ticket: t, Route: c.route, Priority: c.priority, Rank: c.rank, Nested: c.isNested,
		AdmittedAtEntry: c.share < 1, AdmittedShare: c.share, Deadline: c.deadline, ServiceRefuseShare: c.serviceRefuseShare,
		RoomElsewhere: c.roomElsewhere,
	}))
}

func (f *fleet) apply(v *vm, effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Start:
			c := v.waiters[e.Ticket]
			delete(v.waiters, e.Ticket)
			f.start(v, e.Ticket, c)
		case admit.Refuse:
			c := v.waiters[e.Ticket]
			delete(v.waiters, e.Ticket)
			c.done(false, v.costs(f.now, c.route))
		}
	}
}

func (v *vm) costs(now time.Time, r ident.Route) []inflow.ServiceCost {
	return v.profiles.Costs(now, r, v.service, v.controller.RefuseShare(now), v.shedder)
}

func (f *fleet) start(v *vm, t admit.Ticket, c *simCall) {
	began := f.now
	v.running = append(v.running, c)
	v.started = append(v.started, f.now)
	work := shopWork
	if v.service == "deep" {
		work = deepWork
	}
	work = time.Duration(float64(work) / v.speed * (0.5 + f.rng.Float64()))
	finish := func(ok bool) {
		v.running = slices.DeleteFunc(v.running, func(other *simCall) bool { return other == c })
		hold := f.now.Sub(began)
		v.profiles.RecordRun(f.now, c.route, hold)
		costs := v.costs(f.now, c.route)
		f.apply(v, v.controller.Finish(f.now, t, admit.Sample{SelfTime: work, SelfTimeUnknown: c.nested > 0, HoldTime: hold}))
		c.done(ok, costs)
	}
	f.after(work, func() { f.nested(v, c, c.nested, finish) })
}

// nested makes the remaining nested calls of a run one after another.
func (f *fleet) nested(v *vm, c *simCall, remaining int, finish func(ok bool)) {
	if remaining == 0 || f.now.After(c.deadline) {
		finish(remaining == 0)
		return
	}
	parent := v.parentOf(f.rng, c)
	v.profiles.RecordCall(f.now, parent.route, "rate")
	f.send(&v.dispatcher, "deep", &simCall{
		route: "rate", share: parent.share, deadline: c.deadline, priority: parent.priority, rank: parent.rank, isNested: true,
		done: func(ok bool, _ []inflow.ServiceCost) {
			if !ok {
				finish(false)
				return
			}
			f.nested(v, c, remaining-1, finish)
		},
	})
}

// loadRoutes returns routes that together cause a load of deep relative to its
// capacity; half of it by each.
func loadRoutes(load float64) []simRoute {
	calls := load * deepCapacity()
	return []simRoute{
		{name: "browse", class: ident.ClassLow, nested: 4, perSecond: calls / 2 / 4},
		{name: "pay", class: ident.ClassCritical, nested: 8, perSecond: calls / 2 / 8},
	}
}

// mustUseBottleneck checks that completed requests account for most of what deep
// can serve.
func mustUseBottleneck(t *testing.T, d time.Duration, outcomes map[ident.Route]*outcome, routes []simRoute) {
	t.Helper()
	const minUseful = 0.8
	calls := 0
	for _, r := range routes {
		calls += outcomes[r.name].done * r.nested
	}
	useful := float64(calls) / d.Seconds() / deepCapacity()
	assert.Assert(t, useful >= minUseful, "%.2f of the capacity", useful)
}

func mustComplete(t *testing.T, o *outcome, share float64) {
	t.Helper()
	assert.Assert(t, float64(o.done) >= share*float64(o.offered), "%+v", *o)
}

func TestOverloadedFleetUsesItsBottleneck(t *testing.T) {
	const phase = 8 * time.Second
	t.Run("plain load after an overload is served", func(t *testing.T) {
		f := newFleet()
		f.run(phase, loadRoutes(0.69)...)
		over := loadRoutes(1.2)
		f.run(phase, over...)
		outcomes := f.measure(phase, over...)
		mustUseBottleneck(t, phase, outcomes, over)
		mustComplete(t, outcomes["pay"], 0.9)
		plain := loadRoutes(0.69)
		f.run(phase, plain...)
		outcomes = f.measure(phase, plain...)
		mustComplete(t, outcomes["pay"], 0.95)
		mustComplete(t, outcomes["browse"], 0.95)
	})
	t.Run("recovers from twice its capacity", func(t *testing.T) {
		f := newFleet()
		f.run(phase, loadRoutes(2)...)
		plain := loadRoutes(0.69)
		f.run(phase, plain...)
		outcomes := f.measure(phase, plain...)
		mustComplete(t, outcomes["pay"], 0.95)
		mustComplete(t, outcomes["browse"], 0.95)
	})
	t.Run("impatient callers", func(t *testing.T) {
		f := newFleet()
		f.impatient = 0.4
		routes := loadRoutes(1.2)
		f.run(phase, routes...)
		outcomes := f.measure(phase, routes...)
		mustUseBottleneck(t, phase, outcomes, routes)
		mustComplete(t, outcomes["pay"], 0.9)
	})
	t.Run("what another service refuses is not refused here again", func(t *testing.T) {
		f := newFleet()
		f.elsewhere = map[ident.Route]float64{"browse": 0.7}
		routes := loadRoutes(1.2)
		f.run(phase, routes...)
		outcomes := f.measure(phase, routes...)
		mustComplete(t, outcomes["pay"], 0.95)
		admitted := float64(outcomes["browse"].done) / float64(outcomes["browse"].offered)
		assert.Assert(t, admitted >= 0.45, "three in ten requests pass the other service, and half of those asked again: %.2f", admitted)
	})
}
