package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// sheddingUpstream is an upstream under constant overload: as many calls run as
// the limit allows. It sheds those above its capacity, and a share of the rest.
type sheddingUpstream struct {
	capacity   int
	faultShare float64
}

// run lets the limiter observe the upstream for a duration and returns the mean
// limit.
func (u sheddingUpstream) run(l *limiter, now *time.Time, d time.Duration) (meanLimit float64) {
	const holdTime = 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	rounds := int(d / holdTime)
	for range rounds {
		limit := l.current()
		meanLimit += float64(limit) / float64(rounds)
		*now = now.Add(holdTime)
		for n := range limit {
			shed := n >= u.capacity || rng.Float64() < u.faultShare
			l.observe(*now, "r", Sample{SelfTime: holdTime, Shed: shed}, limit)
		}
	}
	return meanLimit
}

// quickUpstream is an upstream that rejects a share of its calls at once, whatever
// runs. Calls arrive at a rate; those above the limit are refused before it.
type quickUpstream struct {
	perSecond  float64
	faultShare float64
}

func (u quickUpstream) run(l *limiter, now *time.Time, d time.Duration) (meanLimit float64) {
	const step, holdTime = 5 * time.Millisecond, 30 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	var ends []time.Time
	steps := int(d / step)
	for range steps {
		*now = now.Add(step)
		meanLimit += float64(l.current()) / float64(steps)
		for len(ends) > 0 && !now.Before(ends[0]) {
			l.observe(*now, "r", Sample{SelfTime: holdTime}, len(ends))
			ends = ends[1:]
		}
		for arrivals := u.perSecond * step.Seconds(); rng.Float64() < arrivals; arrivals-- {
			switch {
			case len(ends) >= l.current():
			case rng.Float64() < u.faultShare:
				l.observe(*now, "r", Sample{Shed: true}, len(ends)+1)
			default:
				ends = append(ends, now.Add(holdTime))
			}
		}
	}
	return meanLimit
}

func TestFaultyUpstreamKeepsItsLimit(t *testing.T) {
	const slots = 100
	t.Run("sheds at any concurrency", func(t *testing.T) {
		l, now := newLimiter(slots), epoch
		faulty := sheddingUpstream{capacity: slots, faultShare: 0.55}
		assert.Assert(t, faulty.run(&l, &now, 10*time.Second) >= 0.75*slots, "lowering the limit only reduces what it accepts")
	})
	t.Run("sheds at once", func(t *testing.T) {
		const few = 12
		for _, perSecond := range []float64{100, 200, 600} {
			l, now := newLimiter(few), epoch
			quick := quickUpstream{perSecond: perSecond, faultShare: 0.55}
			mean := quick.run(&l, &now, 9*time.Second)
			assert.Assert(t, mean >= 0.75*few, "%v calls a second: mean limit %.1f", perSecond, mean)
		}
	})
	t.Run("recovers within 5 s", func(t *testing.T) {
		l, now := newLimiter(slots), epoch
		sheddingUpstream{capacity: slots, faultShare: 1}.run(&l, &now, 10*time.Second)
		assert.Equal(t, l.current(), 1)
		sheddingUpstream{capacity: slots}.run(&l, &now, 5*time.Second)
		assert.Equal(t, l.current(), slots)
	})
	t.Run("announces too many slots", func(t *testing.T) {
		l, now := newLimiter(slots), epoch
		small := sheddingUpstream{capacity: 10}
		small.run(&l, &now, 10*time.Second)
		assert.Assert(t, small.run(&l, &now, 10*time.Second) <= 15)
	})
}

// The fast rejections of a faulty upstream must not make its usual latency look
// slow afterwards.
func TestShedCallsAreNoLatencySamples(t *testing.T) {
	const slots, holdTime = 100, 20 * time.Millisecond
	l, now := newLimiter(slots), epoch
	sheddingUpstream{capacity: slots}.run(&l, &now, 3*time.Second)
	for range 1000 {
		now = now.Add(holdTime / 2)
		l.observe(now, "r", Sample{SelfTime: holdTime}, 1)
		for range 9 {
			l.observe(now, "r", Sample{SelfTime: time.Millisecond, Shed: true}, 1)
		}
	}
	sheddingUpstream{capacity: slots}.run(&l, &now, 5*time.Second)
	assert.Equal(t, l.current(), slots)
}

func TestShedCallsDoNotCountAsRuns(t *testing.T) {
	c := New(Config{Slots: 1, QueueLimit: 1})
	r := request(1, ident.ClassNormal)
	mustStart(t, c.Arrive(epoch, r), 1)
	c.Finish(epoch.Add(50*time.Millisecond), 1, Sample{SelfTime: 50 * time.Millisecond})
	r.Ticket = 2
	mustStart(t, c.Arrive(epoch.Add(50*time.Millisecond), r), 2)
	c.Finish(epoch.Add(51*time.Millisecond), 2, Sample{SelfTime: time.Millisecond, Shed: true})
	assert.Equal(t, c.Status(epoch).MeanHold, 50*time.Millisecond)
}
