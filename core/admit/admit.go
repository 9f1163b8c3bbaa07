// Package admit controls admission to one upstream: which calls run now, which
// wait and which are refused.
//
// # Usage
//
//	c := admit.New(admit.Config{Slots: 50, QueueLimit: 100})
//	for _, e := range c.Arrive(now, req) {
//		switch e := e.(type) {
//		case admit.Start:  // run the call e.Ticket
//		case admit.Refuse: // refuse the call e.Ticket for e.Reason
//		}
//	}
//	effects := c.Finish(now, ticket, sample)
//	effects  = c.Tick(now)
//	effects  = c.SetRate(now, 18.8) // the upstream takes so many calls per second
//
// An arriving call that no effect names waits in a queue. Calls are served by
// priority; within a priority, calls that an earlier hop has admitted come
// before new calls; then workspaces are served round robin. When the queue is
// full, the call that is shed is of the lowest priority, of the workspace with
// the longest queue, and has the highest rank. An action has the same rank at
// every hop, so all hops shed calls of the same actions. A Controller does no
// I/O and is not safe for concurrent use.
package admit

import (
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/meter"
	"chicorymast/core/ramp"
)

// Ticket identifies a call at one controller.
type Ticket uint64

// Rank orders the calls of one priority; calls with a lower rank are shed later.
type Rank uint8

// Config sets the capacity of a controller.
type Config struct {
	// Slots is the number of calls that the upstream handles concurrently.
	Slots int
	// QueueLimit is the number of calls that may wait in a standing queue.
	// Until a queue counts as standing, burstQueueFactor times as many may wait.
	QueueLimit int
	// Ramp lets the concurrency of an upstream that has started or recovered begin low.
	Ramp bool
}

// Request describes a call that asks for admission.
type Request struct {
	Ticket    Ticket
	Workspace ident.Workspace
	// Route selects the statistics of call durations.
	Route    ident.Route
	Priority ident.Priority
	Rank     Rank
	// Nested is set for a call made on behalf of a call admitted earlier.
	Nested bool
	// AdmittedAtEntry is set when the entry has taken the load of this upstream
	// into account.
	AdmittedAtEntry bool
	// AdmittedShare is the share of such calls that the entry admitted when it admitted
	// this one or its parent; zero stands for all.
	AdmittedShare float64
	// ServiceRefuseShare is the mean of the shares that the upstreams of the service
	// ask to refuse, as the sender of the call knows it.
	ServiceRefuseShare float64
	// RoomElsewhere is set if the sender knows of another upstream with room.
	RoomElsewhere bool
	Deadline      time.Time
}

// Effect is what the caller of a controller must do next: Start or Refuse.
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

// Sample holds the measurements of a finished call.
type Sample struct {
	// SelfTime is the time spent in the upstream itself, without nested calls.
	SelfTime time.Duration
	// SelfTimeUnknown is set if SelfTime may include nested calls, because these
	// could not be told from those of other calls.
	SelfTimeUnknown bool
	// HoldTime is the time for which the call held its slot, with nested calls;
	// zero means the same as SelfTime.
	HoldTime time.Duration
	// Shed is set when the upstream refused the call as overloaded.
	Shed bool
	// Failed is set when the upstream did not answer the call, or not completely.
	Failed bool
	// Abandoned is set when the caller left before the upstream had answered.
	Abandoned bool
	// NotSent is set for a call that was started and not sent: it shows nothing.
	NotSent bool
	// Rejected is set when the upstream has proved that it did not run the call.
	Rejected bool
}

// Load is a controller's state for routing and metrics.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// ShedLevel is the most important priority level (see PriorityLevel) from
	// which calls are being shed; calls at a higher-numbered level would be
	// refused. ShedLevelNone means that nothing is shed.
	ShedLevel int `json:"level"`
	// RateLimit is the rate of calls that the upstream takes, zero for any, and RateUse
	// the rate of those that arrive, relative to it.
	RateLimit ident.Rate `json:"rate,omitempty"`
	RateUse   float64    `json:"rate_use,omitempty"`
	// Ramp is set while Limit shows how far the upstream has started or recovered, and for
	// some time after that.
	Ramp bool `json:"ramp,omitempty"`
}

// Controller is the admission controller of one upstream.
type Controller struct {
	cfg     Config
	limit   limiter
	queues  [levelCount]fairQueue
	running map[Ticket]ident.Route
	waiting int
	// queuedSince is the time from which at least one call has been waiting.
	queuedSince time.Time
	// closesAt is the time from which no waiting call starts; zero for never.
	closesAt time.Time
	// meanHold is the mean time for which a call holds its slot, and
	// meanHoldByRoute the same for each route.
	meanHold        time.Duration
	meanHoldByRoute map[ident.Route]time.Duration
	// heldAt is when a call of a route last ended.
	heldAt   map[ident.Route]time.Time
	shed     shedLevel
	feedback admitFeedback
	// arrivals counts the calls that arrive, started those that start.
	arrivals, started meter.Meter
	pace              pacer
	// throughput is the rate of calls that the daemon itself can carry, zero for any.
	throughput float64
	ramp       *ramp.Ramp
	// rampAt is when the last ramp began or was still active.
	rampAt time.Time
	// scarcity is the share of the calls of a ramp that have no other upstream to go to.
	scarcity float64
	accepted acceptanceMeter
	// counts holds the counters of Status; its other fields are unused.
	counts Status
}

// shedLevel is the most important level from which a call was shed recently.
type shedLevel struct {
	level int
	until time.Time
}

const (
	levelCount = 2 * ident.PriorityCount
	// ShedLevelNone is the shed level of a controller that sheds nothing.
	ShedLevelNone = levelCount
	// standingQueueAge is how long a queue may take to empty before it counts as
	// a standing queue.
	standingQueueAge = 2 * time.Second
	burstQueueFactor = 4
	// shedLevelTTL is how long a shed call determines the shed level.
	shedLevelTTL = 300 * time.Millisecond
	// holdTTL is how long the mean hold time of a route is used after its last call
	// has ended. Without it, a mean above the timeout of a route would refuse the
	// calls that could lower it.
	holdTTL = time.Second
	// rateWindow is the averaging time of the rates at which calls arrive and start.
	rateWindow = time.Second
	// sampleWeight is the weight of a new sample in the mean hold times.
	sampleWeight = 0.1
)

// PriorityLevel returns the position of a call in the order of service; 0 is
// served first. A call counts as admitted if an earlier hop admitted it or its
// parent.
func PriorityLevel(p ident.Priority, admitted bool) int {
	n := 2 * p.Index()
	if !admitted {
		n++
	}
	return n
}

func (r Request) level() int {
	return PriorityLevel(r.Priority, r.Nested || r.AdmittedAtEntry)
}

// admittedShare returns the share that the entry admitted.
func (r Request) admittedShare() float64 {
	if r.AdmittedShare == 0 {
		return 1
	}
	return r.AdmittedShare
}

// New returns a controller with no running calls.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:             cfg,
		limit:           newLimiter(cfg.Slots),
		ramp:            ramp.New(cfg.Slots),
		running:         map[Ticket]ident.Route{},
		meanHoldByRoute: map[ident.Route]time.Duration{},
		heldAt:          map[ident.Route]time.Time{},
		shed:            shedLevel{level: ShedLevelNone},
		arrivals:        meter.New(rateWindow),
		started:         meter.New(rateWindow),
		accepted:        newAcceptanceMeter(),
	}
}

// Arrive handles an arriving call: it starts, waits or is refused.
func (c *Controller) Arrive(now time.Time, r Request) []Effect {
	effects := c.admitOrQueue(now, r)
	c.counts.Arrived++
	c.countRefused(effects)
	return effects
}

func (c *Controller) admitOrQueue(now time.Time, r Request) []Effect {
	c.arrivals.Add(now, 1)
	c.noteScarcity(r)
	c.updateAdmitShare(now)
	if !c.takenElsewhere(r) {
		c.feedback.arrived(now, c.slotTime(c.meanHoldByRoute[r.Route]), r.admittedShare(), r.ServiceRefuseShare)
	}
	if c.willMissDeadline(now, r) {
		return []Effect{Refuse{Ticket: r.Ticket, Reason: fault.ReasonDeadline}}
	}
	level := r.level()
	if c.waiting == 0 && c.mayStart(now) {
		return []Effect{c.start(now, r)}
	}
	effects, accepted := c.makeRoom(now, level, r)
	if !accepted {
		return effects
	}
	if c.waiting == 0 {
		c.queuedSince = now
	}
	c.queues[level].push(r)
	c.waiting++
	return append(effects, c.startWaiting(now)...)
}

// takenElsewhere reports whether another upstream serves the call if this one has too
// many: the call then shows no lack of capacity of the service.
func (c *Controller) takenElsewhere(r Request) bool {
	return (c.pace.limited() || c.RampActive()) && r.RoomElsewhere
}

// makeRoom sheds calls until one more may wait. It reports false when the
// arriving call itself was shed.
func (c *Controller) makeRoom(now time.Time, level int, r Request) (effects []Effect, accepted bool) {
	for c.waiting >= c.queueLimit(now) {
		ticket, shedFrom := c.shedOne(level, r)
		c.markShed(now, shedFrom)
		effects = append(effects, Refuse{Ticket: ticket, Reason: fault.ReasonOverload})
		if ticket == r.Ticket {
			return effects, false
		}
	}
	return effects, true
}

// queueLimit returns the number of calls that may wait now. A queue that has
// held calls for longer than standingQueueAge, without emptying in between, is a
// standing queue; it only adds delay, so its limit is lower.
func (c *Controller) queueLimit(now time.Time) int {
	limit := burstQueueFactor * c.cfg.QueueLimit
	if c.waiting > 0 && now.Sub(c.queuedSince) > standingQueueAge {
		limit = c.cfg.QueueLimit
	}
	return min(limit, c.pace.queueLimit())
}

// Cancel removes a waiting call whose caller has disconnected. It reports
// whether the call was waiting.
func (c *Controller) Cancel(t Ticket) bool {
	for i := range c.queues {
		if c.queues[i].remove(t) {
			c.waiting--
			return true
		}
	}
	return false
}

// CloseAt sets the time from which no waiting call starts any more, for an upstream that
// leaves; those that still wait are then refused. The zero time lets all start.
func (c *Controller) CloseAt(t time.Time) {
	c.closesAt = t
}

func (c *Controller) closed(now time.Time) bool {
	return !c.closesAt.IsZero() && !now.Before(c.closesAt)
}

// Finish releases the slot of a call that ran.
func (c *Controller) Finish(now time.Time, t Ticket, s Sample) []Effect {
	route, ran := c.running[t]
	if !ran {
		return nil
	}
	running := len(c.running)
	delete(c.running, t)
	if !s.NotSent {
		c.observe(now, route, s, running)
	}
	effects := c.startWaiting(now)
	c.countRefused(effects)
	return effects
}

// observe records a call that was sent, one of those that were running until it ended.
func (c *Controller) observe(now time.Time, route ident.Route, s Sample, running int) {
	c.limit.observe(now, route, s, running)
	c.accepted.observe(now, s)
	c.observeRamp(now, route, s)
	if s.Shed {
		c.counts.ShedByUpstream++
		return
	}
	c.recordHold(now, route, max(s.HoldTime, s.SelfTime))
}

// recordHold updates the mean hold times with a call that ran.
func (c *Controller) recordHold(now time.Time, route ident.Route, hold time.Duration) {
	c.meanHold = movingMean(c.meanHold, hold)
	if now.Sub(c.heldAt[route]) > holdTTL {
		c.meanHoldByRoute[route] = 0
	}
	c.meanHoldByRoute[route] = movingMean(c.meanHoldByRoute[route], hold)
	c.heldAt[route] = now
}

func (c *Controller) countRefused(effects []Effect) {
	for _, e := range effects {
		if _, refused := e.(Refuse); refused {
			c.counts.Refused++
		}
	}
}

// Tick refuses waiting calls that can no longer meet their deadline or be started, and starts
// as many others as there are free slots.
func (c *Controller) Tick(now time.Time) []Effect {
	var effects []Effect
	for i := range c.queues {
		for _, r := range c.queues[i].removeLate(func(r Request) bool { return c.closed(now) || c.tooLate(now, r) }) {
			c.waiting--
			effects = append(effects, Refuse{Ticket: r.Ticket, Reason: c.lateReason(now)})
		}
	}
	effects = append(effects, c.startWaiting(now)...)
	c.countRefused(effects)
	return effects
}

// Resize applies a new configuration, for instance when the upstream announces
// another number of slots.
func (c *Controller) Resize(cfg Config) {
	if cfg == c.cfg {
		return
	}
	c.cfg = cfg
	c.limit = newLimiter(cfg.Slots)
	c.ramp.Resize(cfg.Slots)
}

// Load returns the controller's state.
func (c *Controller) Load(now time.Time) Load {
	return c.LoadAt(now, ident.Rate(c.pace.rate))
}

// LoadAt is Load with another rate limit than that of the pace; zero stands for any rate.
func (c *Controller) LoadAt(now time.Time, limit ident.Rate) Load {
	level := ShedLevelNone
	if now.Before(c.shed.until) {
		level = c.shed.level
	}
	return Load{
		Running: len(c.running), Waiting: c.waiting, Limit: c.concurrency(), ShedLevel: level,
		RateLimit: limit, RateUse: max(c.rateUse(now, float64(limit)), c.throughputUse(now)), Ramp: c.reportsRamp(now),
	}
}

func (c *Controller) start(now time.Time, r Request) Effect {
	c.started.Add(now, 1)
	c.pace.take()
	c.running[r.Ticket] = r.Route
	return Start{Ticket: r.Ticket}
}

// tooLate reports whether a call that starts at a time would end after its deadline.
func (c *Controller) tooLate(start time.Time, r Request) bool {
	hold := c.meanHoldByRoute[r.Route]
	if start.Sub(c.heldAt[r.Route]) > holdTTL {
		hold = 0
	}
	return start.Add(hold).After(r.Deadline)
}

// startWaiting starts waiting calls while there are free slots.
func (c *Controller) startWaiting(now time.Time) []Effect {
	var effects []Effect
	for c.waiting > 0 && c.mayStart(now) {
		r := c.pop()
		if c.closed(now) || c.tooLate(now, r) {
			effects = append(effects, Refuse{Ticket: r.Ticket, Reason: c.lateReason(now)})
			continue
		}
		effects = append(effects, c.start(now, r))
	}
	return effects
}

// lateReason returns why a call that has waited can't start any more.
func (c *Controller) lateReason(now time.Time) fault.Reason {
	if c.closed(now) {
		return fault.ReasonDraining
	}
	return fault.ReasonDeadline
}

func (c *Controller) pop() Request {
	c.waiting--
	for i := range c.queues {
		if c.queues[i].size > 0 {
			return c.queues[i].pop()
		}
	}
	panic("admit: the waiting count is positive but all queues are empty")
}

// willMissDeadline reports whether a call is expected to end after its deadline,
// given the mean time of the calls ahead of it and of its own route.
func (c *Controller) willMissDeadline(now time.Time, r Request) bool {
	ahead := 0
	if !c.mayStart(now) {
		for i := range r.level() + 1 {
			ahead += c.queues[i].size
		}
	}
	wait := c.meanHold * time.Duration(ahead) / time.Duration(max(1, c.concurrency()))
	return c.tooLate(now.Add(max(wait, c.pace.wait(now, ahead))), r)
}

// shedOne selects the call to shed when a call r arrives at a priority level,
// possibly r itself, and returns its ticket and level. A waiting call is removed
// from its queue.
func (c *Controller) shedOne(level int, r Request) (Ticket, int) {
	for i := levelCount - 1; i > level; i-- {
		if c.queues[i].size > 0 {
			c.waiting--
			return c.queues[i].dropWorst().Ticket, i
		}
	}
	if !c.queues[level].shouldReplaceWorst(r) {
		return r.Ticket, level
	}
	c.waiting--
	return c.queues[level].dropWorst().Ticket, level
}

func (c *Controller) markShed(now time.Time, level int) {
	if now.After(c.shed.until) || level < c.shed.level {
		c.shed.level = level
	}
	c.shed.until = now.Add(shedLevelTTL)
}

// movingMean returns the exponentially weighted mean after a new sample. Zero
// means that there is no earlier sample.
func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}
