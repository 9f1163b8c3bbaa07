package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testRatio  = 0.2
	testSlack  = 97.0
	testWindow = 10 * time.Second
	testTick   = 50 * time.Millisecond
)

var windowStart = time.Unix(1000, 0)

// fleetCounts holds first sends and repeats of a whole fleet for each tick.
type fleetCounts struct{ first, repeats []int }

// testDaemon is a daemon whose demand and whose need for repeats change.
type testDaemon struct {
	window   Window
	perTick  float64
	rejected float64
	cutUntil int
}

func newTestDaemon(now time.Time, daemons int, rng *rand.Rand) *testDaemon {
	d := &testDaemon{window: NewWindow(testRatio, testWindow, now, rng)}
	d.window.SetSlack(testSlack / float64(daemons))
	return d
}

// tick sends calls and repeats those that are rejected as long as it is allowed.
func (d *testDaemon) tick(now time.Time, rng *rand.Rand) (first, repeats int) {
	calls := int(d.perTick + rng.Float64())
	for range calls {
		first++
		d.window.RecordFirst(now)
		for rng.Float64() < d.rejected && d.window.Spend(now, rng.Float64()) {
			repeats++
		}
	}
	if d.rejected == 1 && d.window.Spend(now, 1) { // calls that were sent earlier
		repeats++
	}
	return first, repeats
}

// playFleet plays a fleet whose demand and rejections change for all daemons at the same
// time, and for each alone. A third of the daemons restarts or is cut off now and then.
func playFleet(daemons, ticks int, seed uint64) (c fleetCounts) {
	rng := rand.New(rand.NewPCG(seed, 1))
	fleet := make([]*testDaemon, daemons)
	for i := range fleet {
		fleet[i] = newTestDaemon(windowStart, daemons, rng)
	}
	demand, rejected := 1.0, 0.0
	for n := range ticks {
		now := windowStart.Add(time.Duration(n) * testTick)
		if rng.IntN(60) == 0 {
			demand = []float64{0, 0.03, 1, 3}[rng.IntN(4)]
		}
		if rng.IntN(60) == 0 {
			rejected = []float64{0, 0.1, 0.55, 1}[rng.IntN(4)]
		}
		first, repeats := 0, 0
		for i, d := range fleet {
			if i%3 == 0 && rng.IntN(200) == 0 {
				fleet[i] = newTestDaemon(now, daemons, rng)
				fleet[i].cutUntil = n + rng.IntN(100)
				continue
			}
			if n < d.cutUntil {
				continue
			}
			if n == 0 || rng.IntN(100) == 0 {
				d.perTick = rng.Float64() * 2
			}
			d.rejected = rejected
			once := *d
			once.perTick *= demand
			f, r := once.tick(now, rng)
			d.window = once.window
			first, repeats = first+f, repeats+r
		}
		c.first, c.repeats = append(c.first, first), append(c.repeats, repeats)
	}
	return c
}

// largestExcess returns by how many repeats the bound without slack is exceeded in the
// worst window.
func (c fleetCounts) largestExcess() (excess float64) {
	const length = int(testWindow / testTick)
	for begin := range c.first {
		sum := 0.0
		for n := begin; n < min(begin+length, len(c.first)); n++ {
			sum += float64(c.repeats[n]) - testRatio*float64(c.first[n])
		}
		excess = max(excess, sum)
	}
	return excess
}

func total(counts []int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// Retries of all daemons together must stay within the bound in each window, also when the
// demand ends while repeats are wanted, and when daemons restart.
func TestFleetKeepsBoundInEachWindow(t *testing.T) {
	for _, daemons := range []int{1, 7, 40, 48, 49, 61, 80, 97, 150, 600, 2000} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				c := playFleet(daemons, 2400, seed)
				assert.Assert(t, total(c.repeats) > 0)
				assert.Assert(t, c.largestExcess() <= testSlack+rounding, "exceeded by %.1f", c.largestExcess())
				t.Logf("excess %.1f, %d first, %d repeats", c.largestExcess(), total(c.first), total(c.repeats))
			})
		}
	}
}

// repeatsOf55 returns the repeats that a fleet makes for calls of which 55% are rejected.
func repeatsOf55(daemons int, limit func(d int) (first, success func(time.Time), spend func(time.Time) bool)) (repeats int) {
	const rejected, perDaemon = 0.55, 500
	rng := rand.New(rand.NewPCG(5, 6))
	for d := range daemons {
		first, success, spend := limit(d)
		now := windowStart.Add(testWindow)
		for range perDaemon {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			first(now)
			ok := rng.Float64() >= rejected
			for !ok && spend(now) {
				repeats++
				ok = rng.Float64() >= rejected
			}
			if ok {
				success(now)
			}
		}
	}
	return repeats
}

// An upstream that rejects many calls must get most of the repeats that the bound allows,
// although few of its calls succeed.
func TestWindowAllowsMoreRepeatsThanThrottle(t *testing.T) {
	const perDaemon = 500
	for _, daemons := range []int{7, 40, 97, 150} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 8))
			slack := testSlack / float64(daemons)
			window := repeatsOf55(daemons, func(int) (first, success func(time.Time), spend func(time.Time) bool) {
				w := NewWindow(testRatio, testWindow, windowStart, rng)
				w.SetSlack(slack)
				return w.RecordFirst, func(time.Time) {}, func(now time.Time) bool { return w.Spend(now, 0.75) }
			})
			throttle := repeatsOf55(daemons, func(int) (first, success func(time.Time), spend func(time.Time) bool) {
				w := NewThrottle(testRatio/4, max(1, slack))
				return func(time.Time) {}, func(time.Time) { w.RecordSuccess() }, func(time.Time) bool { return w.Spend() }
			})
			assert.Assert(t, window >= 3*throttle, "%d with the window, %d with the throttle", window, throttle)
			assert.Assert(t, float64(window) >= 0.65*testRatio*perDaemon*float64(daemons), "%d repeats", window)
		})
	}
}

func newWindow(slack float64) *Window {
	w := NewWindow(testRatio, testWindow, windowStart, rand.New(rand.NewPCG(1, 2)))
	w.SetSlack(slack)
	return &w
}

func spendAll(w *Window, now time.Time, progress float64) (n int) {
	for w.Spend(now, progress) {
		n++
	}
	return n
}

func recordFirst(w *Window, now time.Time, n int) {
	for range n {
		w.RecordFirst(now)
	}
}

// A daemon in a restart loop must not get the slack again with each start.
func TestSlackIsNotUsableAfterStart(t *testing.T) {
	w := newWindow(5)
	assert.Equal(t, spendAll(w, windowStart, 1), 0)
	assert.Equal(t, spendAll(w, windowStart.Add(testWindow), 1), 5)
	assert.Equal(t, spendAll(w, windowStart.Add(testWindow+time.Second), 1), 0)
	assert.Equal(t, spendAll(w, windowStart.Add(2*testWindow+time.Second), 1), 5, "the slack counts for each window")
}

// Repeats of first calls must not use up what late calls of trees need.
func TestLateCallsComeFirst(t *testing.T) {
	now := windowStart.Add(2 * testWindow)
	w := newWindow(20)
	assert.Equal(t, spendAll(w, now, 0), 18)
	assert.Equal(t, spendAll(w, now, 0.5), 1)
	assert.Equal(t, spendAll(w, now, 1), 1)
}

// While repeats are scarce, those that are worth little must leave the others to calls that
// are worth more, and once they are not scarce, they must be made again.
func TestScarceRepeatsGoToTheWorthiest(t *testing.T) {
	for _, slack := range []float64{3, 1} {
		t.Run(fmt.Sprintf("slack %v", slack), func(t *testing.T) {
			w, now := newWindow(slack), windowStart.Add(2*testWindow)
			early, late := 0, 0
			offer := func(calls int) {
				early, late = 0, 0
				for range calls {
					now = now.Add(10 * time.Millisecond)
					recordFirst(w, now, 2)
					early += count(w.Spend(now, 0.5))
					late += count(w.Spend(now, 0.8))
				}
			}
			offer(500)
			offer(500)
			assert.Assert(t, late > 8*early, "%d late, %d early", late, early)
			assert.Assert(t, late+early >= 130, "%d of 200 that are allowed", late+early)
			for range 500 { // nothing is rejected
				now = now.Add(10 * time.Millisecond)
				recordFirst(w, now, 2)
			}
			w.Spend(now, 0.5)
			recordFirst(w, now, 5)
			assert.Assert(t, w.Spend(now, 0.5))
		})
	}
}

func count(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

// Calls of runs that were repeats must count although they are not limited.
func TestCallsOfRepeatedRunsCount(t *testing.T) {
	for _, slack := range []float64{4, 0.9} {
		t.Run(fmt.Sprintf("slack %v", slack), func(t *testing.T) {
			now := windowStart.Add(2 * testWindow)
			w := newWindow(slack)
			for range 6 {
				w.RecordRepeat(now)
			}
			assert.Equal(t, spendAll(w, now, 1), 0)
			recordFirst(w, now, 10)
			assert.Equal(t, spendAll(w, now, 1), 0, "ten first sends make up for two of six repeats")
			recordFirst(w, now, 30)
			assert.Assert(t, spendAll(w, now, 1) > 0)
			w.RecordRepeat(now)
			w.RecordRepeat(now)
			w.RecordRepeat(now)
			w.RecordRepeat(now)
			later := now.Add(2 * testWindow)
			spendAll(w, later, 1)
			recordFirst(w, later, 5)
			assert.Assert(t, spendAll(w, later, 1) > 0, "repeats that are no longer in the window")
		})
	}
}

// A part of the ring that is used again must not bring back old counts, and a clock that
// is set back must not crash the daemon.
func TestWindowForgets(t *testing.T) {
	w := newWindow(3)
	now := windowStart.Add(2 * testWindow)
	assert.Equal(t, spendAll(w, now, 1), 3)
	recordFirst(w, windowStart.Add(-time.Hour), 1)
	assert.Equal(t, spendAll(w, windowStart.Add(-time.Hour), 1), 0)
	assert.Equal(t, spendAll(w, now.Add(3*testWindow), 1), 3)
}
