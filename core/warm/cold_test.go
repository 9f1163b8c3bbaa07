package warm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// variant is how upstreams tell that they are cold.
type variant struct {
	healthChecks  bool
	announceDelay time.Duration
}

var variants = map[string]variant{
	"health checks answer":      {true, 300 * time.Millisecond},
	"only announcements":        {false, 300 * time.Millisecond},
	"announcements come late":   {true, 4 * time.Second},
	"only late announcements":   {false, 4 * time.Second},
	"announcements are in time": {true, 0},
}

// playVariants plays all variants on upstreams that are warm and get
// three fifths of what they can serve.
func playVariants(t *testing.T, f func(t *testing.T, p *play)) {
	t.Helper()
	const vms, entries, perVM = 4, 5, 240
	for name, c := range variants {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, 1, vms, entries, vms*perVM)
			p.announceDelay = c.announceDelay
			p.setHealthChecks(c.healthChecks)
			p.run(6 * time.Second)
			p.mustServe(t)
			f(t, p)
		})
	}
}

// Guards against upstreams that crash again because all entries send their calls at once to
// a data centre that comes back.
func TestDataCentreComesBackCold(t *testing.T) {
	playVariants(t, func(t *testing.T, p *play) {
		half := p.vms[:2]
		for _, v := range half {
			v.crash()
		}
		p.run(2 * time.Second)
		for _, v := range half {
			v.start(coldSpec.Time)
		}
		p.run(coldSpec.Time)
		p.mustUseCold(t, half, coldSpec.Time.Seconds())
		p.run(6 * time.Second)
		p.mustKeepBound(t)
		p.mustServe(t)
	})
}

// Guards against calls that an upstream gets in the moment in which it comes back, and
// against lives that each get the calls of one.
func TestUpstreamFlaps(t *testing.T) {
	playVariants(t, func(t *testing.T, p *play) {
		for n := range 6 {
			p.vms[0].crash()
			p.run(time.Duration(n) * 150 * time.Millisecond)
			p.vms[0].start(coldSpec.Time)
			p.run(time.Duration(n) * 300 * time.Millisecond)
		}
		p.run(8 * time.Second)
		p.mustKeepBound(t)
		p.mustServe(t)
	})
}

// Guards against a daemon that forgets at its restart that its upstream is cold.
func TestDaemonRestartsBesideAColdUpstream(t *testing.T) {
	playVariants(t, func(t *testing.T, p *play) {
		v := p.vms[0]
		v.crash()
		p.run(500 * time.Millisecond)
		v.start(coldSpec.Time)
		for range 3 {
			p.run(700 * time.Millisecond)
			v.restartDaemon()
		}
		p.run(8 * time.Second)
		p.mustKeepBound(t)
		p.mustServe(t)
	})
}

// Guards against the calls that begin again at an upstream that has cooled down while it had
// none: after a quiet time of its service, or after an evacuation.
func TestUpstreamCoolsDownWithoutCalls(t *testing.T) {
	t.Run("no calls", func(t *testing.T) {
		playVariants(t, func(t *testing.T, p *play) {
			demand := p.perSecond
			p.perSecond = 0
			p.run(4 * time.Second)
			p.perSecond = demand
			for _, v := range p.vms {
				v.coldUntil = p.Now().Add(coldSpec.Time)
			}
			p.run(9 * time.Second)
			p.mustKeepBound(t)
			p.mustServe(t)
		})
	})
	t.Run("an evacuation", func(t *testing.T) {
		playVariants(t, func(t *testing.T, p *play) {
			half := p.vms[:2]
			for _, v := range half {
				v.setServing(false)
			}
			p.run(5 * time.Second)
			for _, v := range half {
				v.setServing(true)
				v.coldUntil = p.Now().Add(coldSpec.Time)
			}
			p.run(coldSpec.Time)
			p.mustUseCold(t, half, coldSpec.Time.Seconds())
			p.run(6 * time.Second)
			p.mustKeepBound(t)
			p.mustServe(t)
		})
	})
}

// An upstream that turns cold while it serves shows it by slow calls and announcements only.
// Guards against the calls of the time after that.
func TestUpstreamTurnsColdWhileItServes(t *testing.T) {
	playVariants(t, func(t *testing.T, p *play) {
		const onTheWay = 50 * time.Millisecond
		v := p.vms[0]
		v.coldUntil = p.Now().Add(coldSpec.Time)
		for v.tracker.Phase() == PhaseWarm && v.coldLeft() > 0 {
			p.run(playTick)
		}
		if p.healthChecks {
			assert.Assert(t, v.coldLeft() > coldSpec.Time/2, "it was noticed late")
		}
		p.run(onTheWay)
		v.cold = nil
		p.run(12 * time.Second)
		p.mustKeepBound(t)
		p.mustServe(t)
	})
}
