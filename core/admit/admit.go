// Package admit decides, beside one upstream, which calls run now, which wait
// and which are refused.
//
// # Usage
//
//	gate := admit.New(admit.Config{Slots: 50, Queue: 100})
//	for _, e := range gate.Arrive(now, req) {
//		switch e := e.(type) {
//		case admit.Start:  // run the call e.Ticket
//		case admit.Refuse: // answer the call e.Ticket with e.Reason
//		}
//	}
//	effects := gate.Finish(now, ticket, sample)
//	effects  = gate.Tick(now)
//
// An arriving call that no effect names waits in the queue. Order: class
// first; in a class, work that an earlier hop has admitted goes before new
// work; then round robin among workspaces. When the queue is full, the call
// shed is of the lowest class, of the workspace with the longest queue, and
// has the worst rank; the rank is the same at every hop. A Gate is pure and
// not safe for concurrent use.
package admit

import (
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
)

// Ticket names one call at one gate.
type Ticket uint64

// Rank orders calls of one class; lower ranks are shed later.
type Rank uint8

// Config sets the size of a gate.
type Config struct {
	// Slots is how many calls the upstream takes at once.
	Slots int
	// QueueLimit is how many calls may wait for long. For a short time, while the
	// queue has been empty lately, burstQueue times as many may.
	QueueLimit int
}

// Request is one call that wants to run.
type Request struct {
	Ticket    Ticket
	Workspace ident.Workspace
	// Route tells calls apart that take different times.
	Route    ident.Route
	Priority ident.Priority
	Rank     Rank
	// Nested is set for a call made on behalf of a call admitted earlier.
	Nested bool
	// AdmittedAtEntry is set when the entry has weighed the load of this upstream.
	AdmittedAtEntry bool
	// AdmittedShare is which part of the calls of its kind the entry let in; zero means
	// all.
	AdmittedShare float64
	Deadline      time.Time
}

// Effect is what a gate asks its driver to do. The set is sealed.
type Effect interface{ isEffect() }

// Start lets a call run.
type Start struct{ Ticket Ticket }

// Refuse ends a call that has not run.
type Refuse struct {
	Ticket Ticket
	Reason fault.Reason
}

func (Start) isEffect()  {}
func (Refuse) isEffect() {}

// Sample is what was seen of a finished call.
type Sample struct {
	// SelfTime is the time that the upstream itself took, child calls left out.
	SelfTime time.Duration
	// HoldTime is for how long it held its slot, child calls included; zero means
	// the same as Own.
	HoldTime time.Duration
	// Shed is set when the upstream refused the call as overloaded.
	Shed bool
}

// Load is a gate's state for routing and metrics.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// ShedLevel is the lane (see Lane) from which calls are being shed; work in a
	// higher-numbered lane has no chance. lanes means nothing is shed.
	ShedLevel int `json:"level"`
}

// Controller holds the calls of one upstream.
type Controller struct {
	cfg     Config
	limit   limiter
	lanes   [laneCount]lane
	running map[Ticket]ident.Route
	waiting int
	// queuedSince is since when at least one call has waited.
	queuedSince time.Time
	// held is how long a call holds its slot, in the mean, and heldBy the same
	// for each route.
	held     time.Duration
	heldBy   map[ident.Route]time.Duration
	shed     shedMark
	pressure pressure
}

// shedMark remembers the best lane from which a call was shed lately.
type shedMark struct {
	lane  int
	until time.Time
}

const (
	laneCount = 2 * ident.PriorityCount
	// ShedLevelNone is the level of a gate that sheds nothing.
	ShedLevelNone = laneCount
	// standingTime is how long a queue may take to empty before it counts as
	// standing.
	standingTime = 2 * time.Second
	burstQueue   = 4
	// shedMemory is how long a shed call keeps the level down.
	shedMemory = 300 * time.Millisecond
	// heldWeight is the weight of a new sample in the mean times.
	heldWeight = 0.1
)

// PriorityLevel returns the position of a call in the order of service, from 0.
func PriorityLevel(s ident.Priority, admitted bool) int {
	n := 2 * s.Index()
	if !admitted {
		n++
	}
	return n
}

func (r Request) lane() int {
	return PriorityLevel(r.Priority, r.Nested || r.AdmittedAtEntry)
}

// New returns a gate with nothing running.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:     cfg,
		limit:   newLimiter(cfg.Slots),
		running: map[Ticket]ident.Route{},
		heldBy:  map[ident.Route]time.Duration{},
		shed:    shedMark{lane: ShedLevelNone},
	}
}

// Arrive offers a call.
func (g *Controller) Arrive(now time.Time, r Request) []Effect {
	g.pressure.arrived(now, g.heldBy[r.Route], r.AdmittedShare)
	if g.cannotFinish(now, r) {
		return []Effect{Refuse{Ticket: r.Ticket, Reason: fault.ReasonDeadline}}
	}
	n := r.lane()
	if g.waiting == 0 && len(g.running) < g.limit.current() {
		return []Effect{g.start(r)}
	}
	effects, in := g.makeRoom(now, n, r)
	if !in {
		return effects
	}
	if g.waiting == 0 {
		g.queuedSince = now
	}
	g.lanes[n].push(r)
	g.waiting++
	return append(effects, g.fill(now)...)
}

// makeRoom sheds until one more call may wait; it reports false when the
// arriving call itself is the one to shed.
func (g *Controller) makeRoom(now time.Time, n int, r Request) (effects []Effect, in bool) {
	for g.waiting >= g.room(now) {
		victim, at := g.victim(n, r)
		g.markShed(now, at)
		effects = append(effects, Refuse{Ticket: victim, Reason: fault.ReasonOverload})
		if victim == r.Ticket {
			return effects, false
		}
	}
	return effects, true
}

// room is how many calls may wait at the moment. A queue that has stood for a
// while is a standing one: it only adds delay, so it is kept short.
func (g *Controller) room(now time.Time) int {
	if g.waiting > 0 && now.Sub(g.queuedSince) > standingTime {
		return g.cfg.QueueLimit
	}
	return burstQueue * g.cfg.QueueLimit
}

// Cancel forgets a call that waits, because its caller left. It reports
// whether the call was waiting.
func (g *Controller) Cancel(t Ticket) bool {
	for i := range g.lanes {
		if g.lanes[i].remove(t) {
			g.waiting--
			return true
		}
	}
	return false
}

// Finish takes back the slot of a call that ran.
func (g *Controller) Finish(now time.Time, t Ticket, s Sample) []Effect {
	route, ran := g.running[t]
	if !ran {
		return nil
	}
	g.limit.observe(now, route, s, len(g.running))
	held := max(s.HoldTime, s.SelfTime)
	g.held = mean(g.held, held)
	g.heldBy[route] = mean(g.heldBy[route], held)
	delete(g.running, t)
	return g.fill(now)
}

// Tick refuses waiting calls whose time is up and starts what fits.
func (g *Controller) Tick(now time.Time) []Effect {
	var effects []Effect
	for i := range g.lanes {
		for _, r := range g.lanes[i].expired(func(r Request) bool { return g.tooLate(now, r) }) {
			g.waiting--
			effects = append(effects, Refuse{Ticket: r.Ticket, Reason: fault.ReasonDeadline})
		}
	}
	return append(effects, g.fill(now)...)
}

// Resize changes the slots, as the upstream announced them.
func (g *Controller) Resize(cfg Config) {
	if cfg == g.cfg {
		return
	}
	g.cfg = cfg
	g.limit = newLimiter(cfg.Slots)
}

// Load returns the gate's state.
func (g *Controller) Load(now time.Time) Load {
	level := ShedLevelNone
	if now.Before(g.shed.until) {
		level = g.shed.lane
	}
	return Load{Running: len(g.running), Waiting: g.waiting, Limit: g.limit.current(), ShedLevel: level}
}

func (g *Controller) start(r Request) Effect {
	g.running[r.Ticket] = r.Route
	return Start{Ticket: r.Ticket}
}

// tooLate reports whether a call that starts now would pass its deadline.
func (g *Controller) tooLate(now time.Time, r Request) bool {
	return now.Add(g.heldBy[r.Route]).After(r.Deadline)
}

func (g *Controller) fill(now time.Time) []Effect {
	var effects []Effect
	for g.waiting > 0 && len(g.running) < g.limit.current() {
		r := g.pop()
		if g.tooLate(now, r) {
			effects = append(effects, Refuse{Ticket: r.Ticket, Reason: fault.ReasonDeadline})
			continue
		}
		effects = append(effects, g.start(r))
	}
	return effects
}

func (g *Controller) pop() Request {
	g.waiting--
	for i := range g.lanes {
		if g.lanes[i].size > 0 {
			return g.lanes[i].pop()
		}
	}
	panic("admit: waiting count without a waiting call")
}

// cannotFinish reports whether a call would pass its deadline even if all
// goes as usual: the work ahead of it, then its own time.
func (g *Controller) cannotFinish(now time.Time, r Request) bool {
	ahead := 0
	if len(g.running) >= g.limit.current() {
		for i := range r.lane() + 1 {
			ahead += g.lanes[i].size
		}
	}
	wait := g.held * time.Duration(ahead) / time.Duration(max(1, g.limit.current()))
	return g.tooLate(now.Add(wait), r)
}

// victim chooses whom to shed for an arriving call of lane n, possibly the
// call itself, and says from which lane.
func (g *Controller) victim(n int, r Request) (Ticket, int) {
	for i := laneCount - 1; i > n; i-- {
		if g.lanes[i].size > 0 {
			g.waiting--
			return g.lanes[i].dropWorst().Ticket, i
		}
	}
	if !g.lanes[n].betterThanWorst(r) {
		return r.Ticket, n
	}
	g.waiting--
	return g.lanes[n].dropWorst().Ticket, n
}

func (g *Controller) markShed(now time.Time, lane int) {
	if now.After(g.shed.until) || lane < g.shed.lane {
		g.shed.lane = lane
	}
	g.shed.until = now.Add(shedMemory)
}

func mean(have, sample time.Duration) time.Duration {
	if have == 0 {
		return sample
	}
	return have + time.Duration(heldWeight*float64(sample-have))
}
