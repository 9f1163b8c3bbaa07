package proxy

import (
	"context"
	"sync"
	"time"

	"chicorymast/config"
	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/runq"
	"chicorymast/io/event"
	"chicorymast/io/header"

	"go.uber.org/zap"
)

// admission runs the admission controller of the upstream on this VM.
type admission struct {
	opt        Options
	mu         sync.Mutex
	controller *admit.Controller
	cfg        admit.Config
	lastTicket admit.Ticket
	waiters    map[admit.Ticket]chan admit.Effect
	runQueue   *runq.Limiter
	// closesAt is when the queue of an upstream that leaves closes; zero if it doesn't leave.
	closesAt time.Time
	warmup   *warmup
}

func newAdmission(opt Options) *admission {
	cfg := admit.Config{Slots: 1, QueueLimit: 1}
	return &admission{
		opt: opt, controller: admit.New(cfg), cfg: cfg, waiters: map[admit.Ticket]chan admit.Effect{}, runQueue: runq.NewLimiter(0),
		warmup: newWarmup(),
	}
}

// observeRunQueue records how late a tick that was due at a time has begun.
func (a *admission) observeRunQueue(due time.Time) {
	target := a.opt.Config().Admission.RunQueueTarget
	if a.opt.Config().Daemon.Mode == config.ModePassThrough {
		target = 0 // which ends a limit
	}
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	_, before := a.runQueue.Limit()
	a.runQueue.SetTarget(target)
	a.runQueue.Observe(now, now.Sub(due), a.controller.StartedPerSecond(now))
	limit, limited := a.runQueue.Limit()
	a.controller.SetThroughput(limit)
	if limited != before {
		a.opt.Log.Emit(event.ProcessorLimit, zap.Bool("limited", limited), zap.Float64("calls_per_second", limit),
			zap.Duration("run_queue_delay", a.runQueue.Delay()))
	}
}

// runQueueState returns the rate of calls that the daemon can carry, zero for any, and the delay
// of its run queue.
func (a *admission) runQueueState() (perSecond float64, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	perSecond, _ = a.runQueue.Limit()
	return perSecond, a.runQueue.Delay()
}

// upstreamCapacity is what the upstream on this VM says that it takes.
type upstreamCapacity struct {
	slots int
	// rate is zero for any rate.
	rate ident.Rate
}

// enter waits until the call may run. If it returns no refusal, leave must be
// called with the ticket when the call has ended.
func (a *admission) enter(ctx context.Context, c header.Call, capacity upstreamCapacity) (admit.Ticket, *fault.Refusal) {
	ticket, decision := a.arrive(c, capacity)
	if decision.made != nil {
		return ticket, refusalOf(decision.made)
	}
	select {
	case e := <-decision.later:
		return ticket, refusalOf(e)
	case <-ctx.Done():
		return ticket, a.abandon(ctx, ticket, decision.later)
	}
}

// decision is the effect that an arriving call has at once, or the channel that will get it.
type decision struct {
	made  admit.Effect
	later <-chan admit.Effect
}

func (a *admission) arrive(c header.Call, capacity upstreamCapacity) (admit.Ticket, decision) {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resize(capacity.slots)
	a.closesAt = time.Time{} // the upstream takes calls; tick notices if it has just begun to leave
	a.controller.CloseAt(a.closesAt)
	a.warmup.stated = capacity.rate
	a.warmup.tracker.Arriving(now)
	a.setPace(now)
	defer a.checkIfWanted(now)
	a.lastTicket++
	effects := a.controller.Arrive(now, admit.Request{
		Ticket:          a.lastTicket,
		Workspace:       c.FairShareWorkspace,
		Route:           c.Route,
		Priority:        c.Priority(),
		Rank:            c.Rank,
		Nested:          c.Nested,
		AdmittedAtEntry: c.AdmittedShare < 1,
		AdmittedShare:   c.AdmittedShare,
		Deadline:        now.Add(time.Duration(c.TimeoutMs) * time.Millisecond),

		ServiceRefuseShare: c.ServiceRefuseShare,
		RoomElsewhere:      c.RoomElsewhere,
	})
	if len(effects) == 1 && ticketOf(effects[0]) == a.lastTicket {
		return a.lastTicket, decision{made: effects[0]}
	}
	later := make(chan admit.Effect, 1)
	a.waiters[a.lastTicket] = later
	a.apply(effects)
	return a.lastTicket, decision{later: later}
}

func ticketOf(e admit.Effect) admit.Ticket {
	switch e := e.(type) {
	case admit.Start:
		return e.Ticket
	case admit.Refuse:
		return e.Ticket
	}
	return 0
}

func (a *admission) resize(slots int) {
	settings := a.opt.Config().Admission
	cfg := admit.Config{Slots: settings.UsableSlots(slots), QueueLimit: settings.QueueLength(slots), Ramp: settings.Ramp}
	if cfg == a.cfg {
		return
	}
	a.cfg = cfg
	a.controller.Resize(cfg)
}

// setRate sets the rate of calls that the upstream takes, zero for any.
func (a *admission) setRate(rate ident.Rate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmup.stated = rate
	a.setPace(a.opt.Clock.Now())
}

// abandon removes a call from the queue when its context has ended. A call that
// was started in the meantime releases its slot unused.
func (a *admission) abandon(ctx context.Context, t admit.Ticket, decision <-chan admit.Effect) *fault.Refusal {
	a.mu.Lock()
	waiting := a.controller.Cancel(t)
	delete(a.waiters, t)
	a.mu.Unlock()
	if !waiting {
		if e := <-decision; refusalOf(e) == nil {
			a.leave(t, admit.Sample{Abandoned: true})
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return fault.Refuse(fault.ReasonDeadline, "the time was up while the call waited for a slot")
	}
	return fault.Refuse(fault.ReasonCancelled, "the caller left while the call waited for a slot")
}

func refusalOf(e admit.Effect) *fault.Refusal {
	switch e := e.(type) {
	case admit.Refuse:
		return fault.Refuse(e.Reason, "refused beside the upstream before it ran")
	case admit.Start:
		return nil
	}
	return nil
}

func (a *admission) leave(t admit.Ticket, s admit.Sample) {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.controller.Finish(now, t, s))
	a.suspectIfSlow(now, s)
}

// leavingQueueTime is how long calls that wait when their upstream begins to leave may
// still start. It serves on for longer; the rest of the time is left to the runs.
const leavingQueueTime = time.Second

// tick advances the controller; leaving says that the upstream takes no new calls.
func (a *admission) tick(now time.Time, leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !leaving:
		a.closesAt = time.Time{}
	case a.closesAt.IsZero():
		a.closesAt = now.Add(leavingQueueTime)
	}
	a.controller.CloseAt(a.closesAt)
	a.beginRampIfSilent(now)
	a.controller.RampProgress(now, int(a.warmup.nestedMade.Swap(0)))
	a.setPace(now)
	a.apply(a.controller.Tick(now))
	a.checkIfWanted(now)
}

// apply delivers effects to the waiting calls. The mutex must be held. Sending
// does not block: each channel has a buffer of one and gets one effect.
func (a *admission) apply(effects []admit.Effect) {
	for _, e := range effects {
		a.deliver(ticketOf(e), e)
	}
}

func (a *admission) deliver(t admit.Ticket, e admit.Effect) {
	if ch := a.waiters[t]; ch != nil {
		ch <- e
		delete(a.waiters, t)
	}
}

// refuseShare returns the share of the demand for this upstream that entries
// should refuse.
func (a *admission) refuseShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.RefuseShare(a.opt.Clock.Now())
}

// acceptedShare returns the share of the calls sent to this upstream that it accepts.
func (a *admission) acceptedShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.AcceptedShare(a.opt.Clock.Now())
}

func (a *admission) load() admit.Load {
	now := a.opt.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.warmup.tracker.Provisional(now) {
		return a.controller.LoadAt(now, a.warmup.stated)
	}
	return a.controller.Load(now)
}

func (a *admission) status(now time.Time) admit.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Status(now)
}
