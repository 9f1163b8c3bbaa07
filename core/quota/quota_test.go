package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/simul"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { simul.Main(m) }

var epoch = time.Unix(1_000_000, 0)

// TestDemandBelowTheRateIsServed spreads calls at 80% of a data centre's part
// of a grant over daemons and counts those that find no token.
func TestDemandBelowTheRateIsServed(t *testing.T) {
	for _, daemons := range []int{1, 3, 20} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			const rate, burst, share, load = 30.0, 30.0, 0.5, 0.8
			rng := rand.New(rand.NewPCG(1, 2))
			owner := NewOwner(epoch.Add(-time.Minute), rate, burst, share)
			holders := make([]Holder, daemons)
			now := epoch
			missed, calls := 0, 0
			for next := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(10 * time.Millisecond) {
				for i := range holders {
					h := &holders[i]
					if h.Expiring(now) {
						h.Receive(now, now, owner.Lease(now, vm(i), h.RequestLease(now, 0)))
					}
				}
				for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / (rate * share * load) * float64(time.Second))) {
					calls++
					if !callOnce(now, owner, holders, rng.IntN(daemons)) {
						missed++
					}
				}
			}
			t.Logf("%d of %d calls found no token", missed, calls)
			assert.Assert(t, float64(missed) <= 0.001*float64(calls), "%d of %d", missed, calls)
		})
	}
}

func vm(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", i)) }

func callOnce(now time.Time, o *Owner, holders []Holder, i int) bool {
	h := &holders[i]
	if h.Take(now) {
		return true
	}
	return h.Receive(now, now, o.Lease(now, vm(i), h.RequestLease(now, 1))) == 1
}

// gauge is one bucket over all VMs: what the whole grant allows.
type gauge struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (g *gauge) spend(now time.Time, n int) (ok bool) {
	g.tokens = min(g.burst, g.tokens+g.rate*now.Sub(g.at).Seconds())
	g.at = now
	g.tokens -= float64(n)
	const rounding = 1e-6
	return g.tokens >= -rounding
}

// world is a few data centres whose messages take their time or are lost, and
// whose daemons' clocks run differently.
type world struct {
	*simul.Clock
	t       *rapid.T
	rate    ident.Rate
	burst   ident.Burst
	owners  []*Owner
	holders [][]*Holder
	skew    [][]float64
	gauge   gauge
}

func newWorld(t *rapid.T) *world {
	w := &world{
		Clock: simul.NewClock(epoch), t: t,
		rate:  ident.Rate(rapid.SampledFrom([]float64{5, 50, 400}).Draw(t, "rate")),
		burst: ident.Burst(rapid.SampledFrom([]float64{8, 40, 300}).Draw(t, "burst")),
	}
	w.gauge = gauge{rate: float64(w.rate), burst: float64(w.burst), tokens: float64(w.burst), at: epoch}
	n := rapid.IntRange(1, 3).Draw(t, "data centres")
	for range n {
		w.owners = append(w.owners, NewOwner(epoch.Add(-time.Hour), w.rate, w.burst, 1/float64(n)))
		holders, skew := []*Holder{}, []float64{}
		for range rapid.IntRange(1, 3).Draw(t, "daemons") {
			holders = append(holders, &Holder{})
			skew = append(skew, rapid.SampledFrom([]float64{0.97, 1, 1.03}).Draw(t, "skew"))
		}
		w.holders, w.skew = append(w.holders, holders), append(w.skew, skew)
	}
	return w
}

// clock is what a daemon's own clock shows.
func (w *world) clock(dc, vm int) time.Time {
	return epoch.Add(time.Duration(float64(w.Now().Sub(epoch)) * w.skew[dc][vm]))
}

func (w *world) delay() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 60, 400}).Draw(w.t, "delay")) * time.Millisecond
}

func (w *world) lost() bool { return rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 }

func (w *world) spend(n int) {
	if !w.gauge.spend(w.Now(), n) {
		w.t.Fatalf("more than rate %v and burst %v over all VMs: %v tokens too many", w.rate, w.burst, -w.gauge.tokens)
	}
}

// takeBack undoes one call that was charged but did not run.
func (w *world) takeBack(dc, vm int) {
	if !w.holders[dc][vm].Take(w.clock(dc, vm)) {
		return
	}
	w.spend(1)
	w.holders[dc][vm].Refund()
	w.gauge.tokens = min(w.gauge.burst, w.gauge.tokens+1)
}

func (w *world) ask(dc, vm, waiting int) {
	h := w.holders[dc][vm]
	asked := w.clock(dc, vm)
	want := h.RequestLease(asked, waiting)
	if w.lost() {
		return
	}
	w.AfterFunc(w.delay(), func() {
		l := w.owners[dc].Lease(w.Now(), ident.VM(fmt.Sprintf("%d-%d", dc, vm)), want)
		if w.lost() {
			return
		}
		w.AfterFunc(w.delay(), func() { w.spend(h.Receive(w.clock(dc, vm), asked, l)) })
	})
}

func (w *world) borrow(to, from int) {
	asked := w.Now()
	want := LoanRequest{Share: rapid.Float64Range(0, 1).Draw(w.t, "share"), Tokens: rapid.Float64Range(0, 20).Draw(w.t, "tokens")}
	if rapid.Bool().Draw(w.t, "tokens only") {
		want.Share = 0
	}
	w.AfterFunc(w.delay(), func() {
		l := w.owners[from].Lend(w.Now(), ident.DataCentre(fmt.Sprint(to)), want)
		if w.lost() {
			return
		}
		w.AfterFunc(w.delay(), func() { w.owners[to].Borrow(w.Now(), asked, ident.DataCentre(fmt.Sprint(from)), l) })
	})
}

func (w *world) replaceOwner(dc int) {
	base := 1 / float64(len(w.owners))
	if rapid.Bool().Draw(w.t, "crash") {
		w.owners[dc] = NewOwner(w.Now().Add(LoanTTL), w.rate, w.burst, base)
		return
	}
	s := w.owners[dc].Yield(w.Now())
	w.owners[dc] = NewOwner(w.Now().Add(time.Hour), w.rate, w.burst, base) // gives nothing on the way
	w.Advance(w.delay())
	w.owners[dc] = Resume(w.Now(), w.rate, w.burst, base, s)
}

// TestNeverAboveRateAndBurst lets daemons, owners, loans, crashes and
// takeovers happen at random; whatever happens, one bucket over all VMs must
// be able to pay for every call that went on.
func TestNeverAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			dc := rapid.IntRange(0, len(w.owners)-1).Draw(t, "dc")
			vm := rapid.IntRange(0, len(w.holders[dc])-1).Draw(t, "vm")
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1:
				w.Advance(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 1500}).Draw(t, "ms")) * time.Millisecond)
			case 2, 3, 4, 5:
				if w.holders[dc][vm].Take(w.clock(dc, vm)) {
					w.spend(1)
				} else {
					w.ask(dc, vm, rapid.IntRange(1, 20).Draw(t, "waiting"))
				}
			case 6, 7:
				w.ask(dc, vm, 0)
			case 10:
				w.takeBack(dc, vm)
			case 8:
				if from := rapid.IntRange(0, len(w.owners)-1).Draw(t, "from"); from != dc {
					w.borrow(dc, from)
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "replace") == 0 {
					w.replaceOwner(dc)
				}
			}
		}
	})
}

// TestSmallGrantOverDataCentres spreads calls at 80% of a small grant's rate
// over three data centres. A call that finds no token asks again every 20 ms;
// its data centre asks the others for tokens each time.
func TestSmallGrantOverDataCentres(t *testing.T) {
	for _, rate := range []float64{5, 15, 60} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			f := newSmallFleet(rate)
			calls, missed := f.run(5 * time.Minute)
			t.Logf("%d of %d calls found no token in time", missed, calls)
			assert.Assert(t, float64(missed) <= 0.001*float64(calls), "%d of %d", missed, calls)
		})
	}
}

type smallFleet struct {
	rate    float64
	rng     *rand.Rand
	owners  []*Owner
	holders [][]*Holder
	// waiting calls: where they came in and when.
	waiting []waitingCall
}

type waitingCall struct {
	dc, vm int
	since  time.Time
}

const smallBurst = 20.0

func newSmallFleet(rate float64) *smallFleet {
	const dcs, vms = 3, 5
	f := &smallFleet{rate: rate, rng: rand.New(rand.NewPCG(1, 2))}
	for range dcs {
		f.owners = append(f.owners, NewOwner(epoch.Add(-time.Hour), ident.Rate(rate), smallBurst, 1.0/dcs))
		holders := make([]*Holder, vms)
		for i := range holders {
			holders[i] = &Holder{}
		}
		f.holders = append(f.holders, holders)
	}
	return f
}

func (f *smallFleet) run(d time.Duration) (calls, missed int) {
	const step, patience = 20 * time.Millisecond, 250 * time.Millisecond
	next := epoch
	for now := epoch; now.Before(epoch.Add(d)); now = now.Add(step) {
		for ; next.Before(now); next = next.Add(time.Duration(f.rng.ExpFloat64() / (0.8 * f.rate) * float64(time.Second))) {
			calls++
			f.waiting = append(f.waiting, waitingCall{f.rng.IntN(len(f.owners)), f.rng.IntN(5), now})
		}
		rest := f.waiting[:0]
		for _, c := range f.waiting {
			switch {
			case f.serve(now, c):
			case now.Sub(c.since) > patience:
				missed++
			default:
				rest = append(rest, c)
			}
		}
		f.waiting = rest
		f.share(now)
	}
	return calls, missed
}

func (f *smallFleet) serve(now time.Time, c waitingCall) bool {
	h := f.holders[c.dc][c.vm]
	if now.Equal(c.since) && h.Take(now) {
		return true
	}
	l := f.owners[c.dc].Lease(now, vm(c.dc*10+c.vm), h.RequestLease(now, 1))
	if h.Receive(now, now, l) == 1 {
		return true
	}
	f.borrow(now, c.dc, LoanRequest{Tokens: 2})
	return false
}

// share borrows shares of the rate, as daemons do four times a second.
func (f *smallFleet) share(now time.Time) {
	for dc, o := range f.owners {
		if want := o.MissingShare(now); want > 0 {
			f.borrow(now, dc, LoanRequest{Share: want})
		}
	}
}

func (f *smallFleet) borrow(now time.Time, to int, want LoanRequest) {
	for from, o := range f.owners {
		if from != to {
			l := o.Lend(now, ident.DataCentre(fmt.Sprint(to)), want)
			f.owners[to].Borrow(now, now, ident.DataCentre(fmt.Sprint(from)), l)
		}
	}
}
