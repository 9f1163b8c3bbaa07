package proxy

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/fault"
	"chicorymast/io/header"
)

// gate runs the admission controller of the upstream on this VM.
type gate struct {
	opt     Options
	mu      sync.Mutex
	core    *admit.Controller
	cfg     admit.Config
	next    admit.Ticket
	waiters map[admit.Ticket]chan admit.Effect
}

func newGate(opt Options) *gate {
	cfg := admit.Config{Slots: 1, QueueLimit: 1}
	return &gate{opt: opt, core: admit.New(cfg), cfg: cfg, waiters: map[admit.Ticket]chan admit.Effect{}}
}

// enter waits until the call may run. If it returns no refusal, leave must be
// called with the ticket when the call has ended.
func (g *gate) enter(ctx context.Context, c header.Call, slots int) (admit.Ticket, *fault.Refusal) {
	ticket, verdict := g.arrive(c, slots)
	select {
	case e := <-verdict:
		return ticket, refusalOf(e)
	case <-ctx.Done():
		return ticket, g.giveUp(ctx, ticket, verdict)
	}
}

func (g *gate) arrive(c header.Call, slots int) (admit.Ticket, <-chan admit.Effect) {
	now := g.opt.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resize(slots)
	g.next++
	verdict := make(chan admit.Effect, 1)
	g.waiters[g.next] = verdict
	effects := g.core.Arrive(now, admit.Request{
		Ticket:          g.next,
		Workspace:       c.FairShareWorkspace,
		Route:           c.Route,
		Priority:        c.Priority(),
		Rank:            c.Rank,
		Nested:          c.Nested,
		AdmittedAtEntry: c.AdmittedShare < 1,
		AdmittedShare:   c.AdmittedShare,
		Deadline:        now.Add(time.Duration(c.TimeoutMs) * time.Millisecond),
	})
	g.apply(effects)
	return g.next, verdict
}

func (g *gate) resize(slots int) {
	cfg := admit.Config{Slots: slots, QueueLimit: g.opt.Config().Admission.QueueLength(slots)}
	if cfg == g.cfg {
		return
	}
	g.cfg = cfg
	g.core.Resize(cfg)
}

// giveUp removes a call from the queue when its context has ended. A call that
// was started in the meantime releases its slot unused.
func (g *gate) giveUp(ctx context.Context, t admit.Ticket, verdict <-chan admit.Effect) *fault.Refusal {
	g.mu.Lock()
	waiting := g.core.Cancel(t)
	delete(g.waiters, t)
	g.mu.Unlock()
	if !waiting {
		if e := <-verdict; refusalOf(e) == nil {
			g.leave(t, admit.Sample{})
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

func (g *gate) leave(t admit.Ticket, s admit.Sample) {
	now := g.opt.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.Finish(now, t, s))
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.Tick(now))
}

// apply delivers effects to the waiting calls. The mutex must be held. Sending
// does not block: each channel has a buffer of one and gets one effect.
func (g *gate) apply(effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Start:
			g.deliver(e.Ticket, e)
		case admit.Refuse:
			g.deliver(e.Ticket, e)
		}
	}
}

func (g *gate) deliver(t admit.Ticket, e admit.Effect) {
	if ch := g.waiters[t]; ch != nil {
		ch <- e
		delete(g.waiters, t)
	}
}

// refuse returns the share of the demand for this upstream that entries should
// refuse.
func (g *gate) refuse() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.RefuseShare(g.opt.Clock.Now())
}

func (g *gate) load() admit.Load {
	now := g.opt.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Load(now)
}
