package admit_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

var playStart = time.Unix(1_000_000, 0)

const (
	playSlots = 20
	playTick  = 10 * time.Millisecond
	// playCallTime is the time that an upstream spends on a call itself.
	playCallTime = 20 * time.Millisecond
	// playBackoff is how long an entry waits before it tries the next VM.
	playBackoff = 20 * time.Millisecond
)

// rampPlay is a model of entries, daemons and upstreams of one service whose calls hold a
// slot for longer than they use the upstream, since they make nested calls.
type rampPlay struct {
	*simul.Clock
	rng       *rand.Rand
	ramp      bool
	hold      time.Duration
	perSecond float64
	vms       []*playVM
	entries   []*route.Balancer
	ticket    admit.Ticket
	// made counts calls, the others those that ended in the same way.
	made, served, refused, failed int
}

type playVM struct {
	play        *rampPlay
	id          ident.VM
	ctl         *admit.Controller
	up          bool
	draining    bool
	started     time.Time
	refuseShare float64
	calls       map[admit.Ticket]*playCall
	inUpstream  map[*playCall]bool
	// signs counts nested calls.
	signs int
	// slow is the factor by which calls take longer.
	slow int
}

type playCall struct {
	entry         *route.Balancer
	vm            *playVM
	ctl           *admit.Controller
	ticket        admit.Ticket
	tried         map[ident.VM]bool
	made          time.Time
	roomElsewhere bool
}

// newRampPlay returns a play of four upstreams that has run for some time.
func newRampPlay(ramp bool, seed uint64, hold time.Duration, load float64) *rampPlay {
	const vms = 4
	p := &rampPlay{
		Clock: simul.NewClock(playStart), rng: rand.New(rand.NewPCG(seed, 2)), ramp: ramp, hold: hold,
		perSecond: load * float64(vms*playSlots) / hold.Seconds(),
	}
	for i := range vms {
		v := &playVM{play: p, id: ident.VM(rune('a' + i)), up: true, started: playStart.Add(-time.Hour), slow: 1, inUpstream: map[*playCall]bool{}}
		p.vms = append(p.vms, v)
		v.restartDaemon()
	}
	for range 5 {
		p.entries = append(p.entries, route.New("dc", rand.New(rand.NewPCG(p.rng.Uint64(), 1))))
	}
	p.tick()
	p.offer()
	const settle = 10 * time.Second
	p.Advance(settle)
	return p
}

// shares are what callers got, of 1,000 calls.
type shares struct{ served, refused, failed int }

// run lets the play go on and returns what callers got meanwhile.
func (p *rampPlay) run(d time.Duration) shares {
	p.made, p.served, p.refused, p.failed = 0, 0, 0, 0
	p.Advance(d)
	of := func(n int) int { return 1000 * n / max(1, p.made) }
	return shares{of(p.served), of(p.refused), of(p.failed)}
}

func (p *rampPlay) tick() {
	var candidates []route.Candidate
	for _, v := range p.vms {
		v.ctl.RampProgress(p.Now(), v.signs)
		v.signs = 0
		v.apply(v.ctl.Tick(p.Now()))
		v.refuseShare = v.ctl.RefuseShare(p.Now())
		process := notice.Process{Upstream: "u", StartedMs: v.started.UnixMilli()}
		if !v.draining {
			candidates = append(candidates, route.Candidate{VM: v.id, DataCentre: "dc", Slots: playSlots, Process: process})
		}
	}
	for _, b := range p.entries {
		b.Update(p.Now(), candidates)
	}
	p.AfterFunc(playTick, p.tick)
}

// refuseShareOfService returns the share of calls that entries refuse.
func (p *rampPlay) refuseShareOfService() (mean float64) {
	for _, v := range p.vms {
		mean += v.refuseShare / float64(len(p.vms))
	}
	return mean
}

func (p *rampPlay) offer() {
	p.made++
	c := &playCall{entry: p.entries[p.rng.IntN(len(p.entries))], tried: map[ident.VM]bool{}, made: p.Now()}
	if p.rng.Float64() < p.refuseShareOfService() {
		p.refused++
	} else {
		p.dispatch(c)
	}
	p.AfterFunc(time.Duration(p.rng.ExpFloat64()/p.perSecond*float64(time.Second)), p.offer)
}

// dispatch sends a call to a VM, up to two of them.
func (p *rampPlay) dispatch(c *playCall) {
	const attempts = 2
	candidate, ok := c.entry.Pick(p.Now(), 0, c.tried)
	if !ok || len(c.tried) == attempts {
		p.refused++
		return
	}
	c.tried[candidate.VM] = true
	c.roomElsewhere = c.entry.RoomElsewhere(p.Now(), 0, candidate.VM)
	for _, v := range p.vms {
		if v.id == candidate.VM {
			c.vm = v
		}
	}
	p.AfterFunc(time.Millisecond, func() { c.vm.arrive(c) })
}

// restartDaemon replaces the daemon by one that knows nothing.
func (v *playVM) restartDaemon() {
	now := v.play.Now()
	v.ctl, v.calls = admit.New(admit.Config{Slots: playSlots, QueueLimit: playSlots, Ramp: v.play.ramp}), map[admit.Ticket]*playCall{}
	v.ctl.BeginRampIfStartedAt(now, v.started)
}

// crash ends the process of the upstream, which is back after a time.
func (v *playVM) crash(down time.Duration) {
	v.up = false
	v.ctl.BeginRamp(v.play.Now())
	lost := slices.SortedFunc(maps.Keys(v.inUpstream), func(a, b *playCall) int { return cmp.Compare(a.ticket, b.ticket) })
	clear(v.inUpstream)
	for _, c := range lost {
		v.end(c, admit.Sample{Failed: true}, route.OutcomeFailed)
	}
	v.play.AfterFunc(down, func() {
		v.up, v.started = true, v.play.Now()
		v.ctl.BeginRamp(v.play.Now())
	})
}

func (v *playVM) arrive(c *playCall) {
	now, p := v.play.Now(), v.play
	p.ticket++
	c.ticket, c.ctl = p.ticket, v.ctl
	v.calls[c.ticket] = c
	v.apply(v.ctl.Arrive(now, admit.Request{
		Ticket: c.ticket, Route: "r", Deadline: c.made.Add(4 * time.Second), RoomElsewhere: c.roomElsewhere,
		AdmittedShare: 1 - p.refuseShareOfService(), ServiceRefuseShare: p.refuseShareOfService(),
	}))
}

func (v *playVM) apply(effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Start:
			v.send(v.calls[e.Ticket])
		case admit.Refuse:
			c := v.calls[e.Ticket]
			delete(v.calls, e.Ticket)
			v.tryNext(c, route.OutcomeRefused)
		}
	}
}

func (v *playVM) tryNext(c *playCall, outcome route.Outcome) {
	load := v.ctl.Load(v.play.Now())
	v.play.AfterFunc(time.Millisecond, func() {
		c.entry.Done(v.play.Now(), v.id, route.Report{Outcome: outcome, Load: &load})
	})
	v.play.AfterFunc(playBackoff, func() { v.play.dispatch(c) })
}

func (v *playVM) send(c *playCall) {
	p := v.play
	if !v.up {
		// The connection is refused.
		v.ctl.BeginRamp(p.Now())
		p.AfterFunc(0, func() { v.finish(c, admit.Sample{Failed: true}); v.tryNext(c, route.OutcomeFailed) })
		return
	}
	v.inUpstream[c] = true
	selfTime := time.Duration(v.slow) * playCallTime
	p.AfterFunc(selfTime/2, func() {
		if v.inUpstream[c] {
			v.signs++
		}
	})
	p.AfterFunc(selfTime+max(0, p.hold-playCallTime), func() {
		if v.inUpstream[c] {
			delete(v.inUpstream, c)
			p.served++
			v.end(c, admit.Sample{SelfTime: selfTime, HoldTime: selfTime + max(0, p.hold-playCallTime)}, route.OutcomeAnswered)
		}
	})
}

// finish releases the slot of a call, unless its daemon has restarted since.
func (v *playVM) finish(c *playCall, s admit.Sample) {
	if v.ctl == c.ctl {
		delete(v.calls, c.ticket)
		v.apply(v.ctl.Finish(v.play.Now(), c.ticket, s))
	}
}

func (v *playVM) end(c *playCall, s admit.Sample, outcome route.Outcome) {
	v.finish(c, s)
	if s.Failed {
		v.play.failed++
	}
	load := v.ctl.Load(v.play.Now())
	v.play.AfterFunc(time.Millisecond, func() {
		c.entry.Done(v.play.Now(), v.id, route.Report{Outcome: outcome, Load: &load})
	})
}

// replace drains the upstream and lets another process take its place.
func (v *playVM) replace() {
	const drainTime = 3 * time.Second
	v.draining = true
	v.play.Advance(drainTime)
	v.draining, v.started = false, v.play.Now()
	v.ctl.BeginRamp(v.play.Now())
}

// compare returns what callers got without and with the ramp, in the mean of several seeds.
func compare(t *testing.T, play func(ramp bool, seed uint64) shares) (without, with shares) {
	t.Helper()
	const seeds = 3
	mean := func(ramp bool) (sum shares) {
		for seed := range uint64(seeds) {
			s := play(ramp, seed+1)
			sum.served, sum.refused, sum.failed = sum.served+s.served, sum.refused+s.refused, sum.failed+s.failed
		}
		return shares{sum.served / seeds, sum.refused / seeds, sum.failed / seeds}
	}
	without, with = mean(false), mean(true)
	t.Logf("without the ramp %+v, with it %+v, of 1,000 calls", without, with)
	return without, with
}

// mustNotCost checks that callers lose at most a few calls by the ramp.
func mustNotCost(t *testing.T, without, with shares) {
	t.Helper()
	const few = 10
	assert.Assert(t, with.served >= without.served-few)
	assert.Assert(t, with.refused <= without.refused+few)
}

// longHold is the time of calls that wait for nested calls most of the time.
const longHold = 1500 * time.Millisecond

// Guards against a ramp where only daemons restart, one after the other.
func TestDaemonsRestartBesideRunningUpstreams(t *testing.T) {
	without, with := compare(t, func(ramp bool, seed uint64) shares {
		p := newRampPlay(ramp, seed, longHold, 0.6)
		for i, v := range p.vms {
			p.AfterFunc(time.Duration(i)*2*time.Second, v.restartDaemon)
		}
		return p.run(12 * time.Second)
	})
	assert.Equal(t, with, without)
}

// Guards against a rise that waits for whole calls where these take long.
func TestRampWithLongHoldTimes(t *testing.T) {
	without, with := compare(t, func(ramp bool, seed uint64) shares {
		p := newRampPlay(ramp, seed, longHold, 0.6)
		p.vms[0].replace()
		p.AfterFunc(2500*time.Millisecond, func() {
			assert.Equal(t, p.vms[0].ctl.Load(p.Now()).Limit, playSlots, "2.5 s after the start")
		})
		return p.run(10 * time.Second)
	})
	mustNotCost(t, without, with)
}

// Guards against calls that an upstream gets too early because it makes nested calls, though
// it answers slowly.
func TestSlowUpstreamStaysLow(t *testing.T) {
	p := newRampPlay(true, 1, 50*time.Millisecond, 0.6)
	v := p.vms[0]
	v.slow = 10
	v.replace()
	for range 20 {
		p.run(100 * time.Millisecond)
		assert.Assert(t, v.ctl.Load(p.Now()).Limit <= playSlots/2, "%d", v.ctl.Load(p.Now()).Limit)
	}
}

// Guards against calls that are refused for the whole service because one of its upstreams
// flaps.
func TestRampWithAFlappingUpstream(t *testing.T) {
	for _, hold := range []time.Duration{200 * time.Millisecond, longHold} {
		for _, load := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("calls of %s, load %v", hold, load), func(t *testing.T) {
				without, with := compare(t, func(ramp bool, seed uint64) shares {
					p := newRampPlay(ramp, seed, hold, load)
					for n := range 5 {
						p.AfterFunc(time.Duration(n)*3*time.Second, func() { p.vms[0].crash(500 * time.Millisecond) })
					}
					return p.run(15 * time.Second)
				})
				mustNotCost(t, without, with)
			})
		}
	}
}
