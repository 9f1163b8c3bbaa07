package warm

import (
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/notice"
	"chicorymast/core/route"
	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { simul.Main(m) }

var epoch = time.Unix(1000, 0)

var coldSpec = Spec{Time: 3 * time.Second, Rate: 7.2, Overrun: 1.5, Slack: 8}

// play is a model of entries, daemons and upstreams of one service. Calls and health checks
// take a random time on their way, and announcements up to announceDelay.
type play struct {
	*simul.Clock
	rng           *rand.Rand
	spec          Spec
	vms           []*vm
	entries       []*route.Balancer
	perSecond     float64
	healthChecks  bool
	announceDelay time.Duration
	// served and made count calls since the last call of run.
	served, made int
	ticket       admit.Ticket
}

// vm is a daemon with its upstream.
type vm struct {
	play    *play
	id      ident.VM
	ctl     *admit.Controller
	tracker *Tracker
	calls   map[admit.Ticket]*playedCall
	serving bool

	// The upstream. With life 0 it is down.
	life, lives int
	startedMs   int64
	coldUntil   time.Time
	// cold holds the arrivals at the upstream while it was cold.
	cold            []time.Time
	sequence, heard uint64
	checks          int
	slowWindows     uint64
	inUpstream      map[*playedCall]bool
	// connected is set while the daemon keeps a connection to the process.
	connected bool
}

type playedCall struct {
	entry  *route.Balancer
	vm     *vm
	daemon *admit.Controller
	ticket admit.Ticket
	tried  map[ident.VM]bool
	sent   time.Time
}

const (
	playSlots = 20
	playHold  = 50 * time.Millisecond
	// playSlowdown is the factor by which calls take longer while an upstream is cold.
	playSlowdown = 4
	playTick     = 10 * time.Millisecond
)

func newPlay(t *testing.T, seed uint64, vms, entries int, perSecond float64) *play {
	t.Helper()
	p := &play{
		Clock: simul.NewClock(epoch), rng: rand.New(rand.NewPCG(seed, 1)), spec: coldSpec, perSecond: perSecond, healthChecks: true,
		announceDelay: 300 * time.Millisecond,
	}
	for i := range vms {
		v := &vm{play: p, id: ident.VM(rune('a' + i)), serving: true, inUpstream: map[*playedCall]bool{}}
		p.vms = append(p.vms, v)
		v.restartDaemon()
		v.start(0)
		v.announce()
	}
	for range entries {
		b := route.New("dc", rand.New(rand.NewPCG(p.rng.Uint64(), 1)))
		p.entries = append(p.entries, b)
		p.update(b)
	}
	p.tick()
	p.offer()
	return p
}

func (p *play) update(b *route.Balancer) {
	var candidates []route.Candidate
	for _, v := range p.vms {
		if v.serving {
			candidates = append(candidates, route.Candidate{VM: v.id, DataCentre: "dc", Slots: playSlots, Process: v.process()})
		}
	}
	b.Update(p.Now(), candidates)
}

func (p *play) setHealthChecks(available bool) {
	p.healthChecks = available
	for _, v := range p.vms {
		v.tracker.SetCheckable(available)
	}
}

// run lets the play go on and returns the share of the calls that were served.
func (p *play) run(d time.Duration) float64 {
	p.served, p.made = 0, 0
	p.Advance(d)
	return float64(p.served) / float64(max(1, p.made))
}

func (p *play) delay(most time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(most) + 1))
}

func (p *play) tick() {
	for _, v := range p.vms {
		v.tracker.Tick(p.Now())
		v.setPace()
		v.apply(v.ctl.Tick(p.Now()))
		v.checkIfWanted()
	}
	for _, b := range p.entries {
		p.update(b)
	}
	p.AfterFunc(playTick, p.tick)
}

// offer makes calls at random times.
func (p *play) offer() {
	if p.perSecond > 0 {
		c := &playedCall{entry: p.entries[p.rng.IntN(len(p.entries))], tried: map[ident.VM]bool{}}
		p.made++
		p.dispatch(c)
		p.AfterFunc(time.Duration(p.rng.ExpFloat64()/p.perSecond*float64(time.Second)), p.offer)
		return
	}
	p.AfterFunc(playTick, p.offer)
}

// dispatch sends a call to a VM, up to two of them.
func (p *play) dispatch(c *playedCall) {
	const attempts = 2
	if len(c.tried) == attempts {
		return
	}
	candidate, ok := c.entry.Pick(p.Now(), 0, c.tried)
	if !ok {
		return
	}
	c.tried[candidate.VM] = true
	for _, v := range p.vms {
		if v.id == candidate.VM {
			c.vm = v
		}
	}
	p.AfterFunc(p.delay(5*time.Millisecond), func() { c.vm.arrive(c) })
}

func (v *vm) process() notice.Process {
	return notice.Process{Upstream: "u", StartedMs: v.startedMs}
}

// restartDaemon replaces the daemon by one that knows nothing.
func (v *vm) restartDaemon() {
	now := v.play.Now()
	v.ctl, v.tracker, v.calls = admit.New(admit.Config{Slots: playSlots, QueueLimit: playSlots}), New(), map[admit.Ticket]*playedCall{}
	v.tracker.SetSpec(now, v.play.spec)
	v.tracker.SetCheckable(v.play.healthChecks)
	v.tracker.Serve(now, v.process(), v.serving)
	v.slowWindows, v.connected = 0, false
}

// setServing begins or ends an evacuation.
func (v *vm) setServing(serving bool) {
	v.serving = serving
	v.tracker.Serve(v.play.Now(), v.process(), serving)
}

// start starts a process of the upstream that is cold for a time.
func (v *vm) start(cold time.Duration) {
	v.lives++
	v.life = v.lives
	v.startedMs = v.play.Now().UnixMilli()
	v.coldUntil = v.play.Now().Add(cold)
}

// crash ends the process.
func (v *vm) crash() {
	v.life = 0
	if v.connected {
		v.connected = false
		v.tracker.Doubt(v.play.Now())
	}
	for c := range v.inUpstream {
		delete(v.inUpstream, c)
		v.end(c, admit.Sample{}, route.OutcomeFailed, func(t *Tracker) { t.Ended(); t.Doubt(v.play.Now()) })
	}
}

func (v *vm) coldLeft() time.Duration {
	return max(0, v.coldUntil.Sub(v.play.Now()))
}

// announce sends an announcement, now and at intervals.
func (v *vm) announce() {
	const interval = 1500 * time.Millisecond
	v.play.AfterFunc(interval, v.announce)
	if v.life == 0 {
		return
	}
	v.sequence++
	sequence, process, left := v.sequence, v.process(), v.coldLeft()
	v.play.AfterFunc(v.play.delay(v.play.announceDelay), func() {
		if sequence > v.heard {
			v.heard = sequence
			v.tracker.Announced(v.play.Now(), process, left)
			v.setPace()
		}
	})
}

func (v *vm) setPace() {
	pace := v.tracker.Pace(v.play.Now())
	v.apply(v.ctl.SetPace(v.play.Now(), pace.Rate, pace.Burst))
}

func (v *vm) checkIfWanted() {
	now, p := v.play.Now(), v.play
	if !v.tracker.WantsCheck(now, v.ctl.Short(now)) {
		return
	}
	v.checks++
	tracker := v.tracker
	tracker.StartCheck(now)
	p.AfterFunc(p.delay(20*time.Millisecond), func() {
		result := Result(Unanswered{})
		if v.life > 0 {
			v.noteArrival()
			result = Stated{Left: v.coldLeft()}
		}
		p.AfterFunc(p.delay(20*time.Millisecond), func() {
			tracker.Checked(p.Now(), now, result)
			v.setPace()
		})
	})
}

// noteArrival counts an arrival at the upstream if it is cold.
func (v *vm) noteArrival() {
	if v.coldLeft() > 0 {
		v.cold = append(v.cold, v.play.Now())
	}
}

// arrive handles a call at the daemon.
func (v *vm) arrive(c *playedCall) {
	now := v.play.Now()
	if !v.serving {
		v.refuse(c)
		return
	}
	v.tracker.Arriving(now)
	v.setPace()
	v.play.ticket++
	c.ticket, c.daemon = v.play.ticket, v.ctl
	v.calls[c.ticket] = c
	v.apply(v.ctl.Arrive(now, admit.Request{Ticket: c.ticket, Route: "r", Deadline: now.Add(time.Second)}))
	v.checkIfWanted()
}

func (v *vm) apply(effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Start:
			v.send(v.calls[e.Ticket])
		case admit.Refuse:
			c := v.calls[e.Ticket]
			delete(v.calls, e.Ticket)
			v.refuse(c)
		}
	}
}

// refuse sends a call back to its entry, which tries another VM.
func (v *vm) refuse(c *playedCall) {
	load := v.load()
	v.play.AfterFunc(v.play.delay(5*time.Millisecond), func() {
		c.entry.Done(v.play.Now(), v.id, route.Report{Outcome: route.OutcomeRefused, Load: &load})
		v.play.dispatch(c)
	})
}

func (v *vm) load() admit.Load {
	l := v.ctl.Load(v.play.Now())
	if v.tracker.Provisional(v.play.Now()) {
		l.RateLimit, l.RateUse = 0, 0
	}
	return l
}

// send sends a call to the upstream.
func (v *vm) send(c *playedCall) {
	now, p := v.play.Now(), v.play
	if !v.tracker.Send(now) {
		delete(v.calls, c.ticket)
		p.AfterFunc(0, func() { v.apply(v.ctl.Finish(p.Now(), c.ticket, admit.Sample{Shed: true})) })
		v.refuse(c)
		return
	}
	c.sent = now
	p.AfterFunc(p.delay(40*time.Millisecond), func() {
		if v.life == 0 {
			v.end(c, admit.Sample{}, route.OutcomeFailed, func(t *Tracker) { t.Ended(); t.Doubt(p.Now()) })
			return
		}
		v.noteArrival()
		v.inUpstream[c] = true
		v.connected = v.connected || v.ctl == c.daemon
		hold := playHold
		if v.coldLeft() > 0 {
			hold *= playSlowdown
		}
		p.AfterFunc(hold, func() {
			if !v.inUpstream[c] {
				return // it ended with the process
			}
			delete(v.inUpstream, c)
			p.served++
			v.end(c, admit.Sample{SelfTime: hold}, route.OutcomeAnswered, func(t *Tracker) { t.Answered(p.Now(), c.sent) })
		})
	})
}

// end ends a call that was sent, unless its daemon has restarted since.
func (v *vm) end(c *playedCall, s admit.Sample, outcome route.Outcome, tell func(*Tracker)) {
	if v.ctl == c.daemon {
		delete(v.calls, c.ticket)
		tell(v.tracker)
		v.setPace()
		v.apply(v.ctl.Finish(v.play.Now(), c.ticket, s))
		if n := v.ctl.SlowWindows(); n > v.slowWindows {
			v.slowWindows = n
			v.tracker.Suspect(v.play.Now())
		}
		v.checkIfWanted()
	}
	load := v.load()
	v.play.AfterFunc(v.play.delay(5*time.Millisecond), func() {
		c.entry.Done(v.play.Now(), v.id, route.Report{Outcome: outcome, Load: &load})
	})
}

// mostInASecond returns the most arrivals within a second while the upstream was cold.
func (v *vm) mostInASecond() (most int) {
	first := 0
	for i, at := range v.cold {
		for at.Sub(v.cold[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (p *play) mustKeepBound(t *testing.T) {
	t.Helper()
	for _, v := range p.vms {
		assert.Assert(t, float64(v.mostInASecond()) <= p.spec.Bound(), "%s: %d of %v arrivals in a second", v.id, v.mostInASecond(), p.spec.Bound())
	}
}

// mustUseCold checks that each upstream, cold since some seconds, got a fair part of what it
// bears.
func (p *play) mustUseCold(t *testing.T, vms []*vm, seconds float64) {
	t.Helper()
	for _, v := range vms {
		assert.Assert(t, float64(len(v.cold)) >= 0.5*float64(p.spec.Rate)*seconds, "%s: %d calls in %v s", v.id, len(v.cold), seconds)
	}
}

// mustServe checks that the calls of two seconds are served.
func (p *play) mustServe(t *testing.T) {
	t.Helper()
	share := p.run(2 * time.Second)
	assert.Assert(t, share >= 0.9, "%v of the calls are served", share)
}
