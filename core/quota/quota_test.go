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

// TestDemandBelowTheRateIsServed distributes calls at 80% of a data centre's share
// of a grant over its daemons and limits the number of calls that get no token.
func TestDemandBelowTheRateIsServed(t *testing.T) {
	for _, daemons := range []int{1, 3, 20} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			const rate, burst, share, load = 30.0, 30.0, 0.5, 0.8
			rng := rand.New(rand.NewPCG(1, 2))
			owner := NewOwner(epoch.Add(-time.Minute), rate, burst, share)
			holders := make([]Holder, daemons)
			now := epoch
			refused, calls := 0, 0
			for next := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(10 * time.Millisecond) {
				for i := range holders {
					h := &holders[i]
					if h.Expiring(now) {
						h.Receive(now, now, owner.Lease(now, vm(i), h.RequestLease(now, 0)))
					}
				}
				for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / (rate * share * load) * float64(time.Second))) {
					calls++
					if !takeOrLease(now, owner, holders, rng.IntN(daemons)) {
						refused++
					}
				}
			}
			t.Logf("%d of %d calls got no token", refused, calls)
			assert.Assert(t, float64(refused) <= 0.001*float64(calls), "%d of %d", refused, calls)
		})
	}
}

func vm(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", i)) }

func takeOrLease(now time.Time, o *Owner, holders []Holder, i int) bool {
	h := &holders[i]
	if h.Take(now) {
		return true
	}
	return h.Receive(now, now, o.Lease(now, vm(i), h.RequestLease(now, 1))) == 1
}

// referenceBucket is a single token bucket for all VMs; it holds what the whole
// grant allows.
type referenceBucket struct {
	rate, burst, tokens float64
	updated             time.Time
}

func (b *referenceBucket) spend(now time.Time, n int) (ok bool) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	b.tokens -= float64(n)
	const rounding = 1e-6
	return b.tokens >= -rounding
}

// simulation runs a few data centres whose messages are delayed or lost, and whose
// daemons' clocks run at different speeds.
type simulation struct {
	*simul.Clock
	t               *rapid.T
	rate            ident.Rate
	burst           ident.Burst
	owners          []*Owner
	holders         [][]*Holder
	skew            [][]float64
	referenceBucket referenceBucket
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		Clock: simul.NewClock(epoch), t: t,
		rate:  ident.Rate(rapid.SampledFrom([]float64{5, 50, 400}).Draw(t, "rate")),
		burst: ident.Burst(rapid.SampledFrom([]float64{8, 40, 300}).Draw(t, "burst")),
	}
	s.referenceBucket = referenceBucket{rate: float64(s.rate), burst: float64(s.burst), tokens: float64(s.burst), updated: epoch}
	n := rapid.IntRange(1, 3).Draw(t, "data centres")
	for range n {
		s.owners = append(s.owners, NewOwner(epoch.Add(-time.Hour), s.rate, s.burst, 1/float64(n)))
		holders, skew := []*Holder{}, []float64{}
		for range rapid.IntRange(1, 3).Draw(t, "daemons") {
			holders = append(holders, &Holder{})
			skew = append(skew, rapid.SampledFrom([]float64{0.97, 1, 1.03}).Draw(t, "skew"))
		}
		s.holders, s.skew = append(s.holders, holders), append(s.skew, skew)
	}
	return s
}

// daemonTime returns the time on a daemon's own clock.
func (s *simulation) daemonTime(dc, vm int) time.Time {
	return epoch.Add(time.Duration(float64(s.Now().Sub(epoch)) * s.skew[dc][vm]))
}

func (s *simulation) delay() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 60, 400}).Draw(s.t, "delay")) * time.Millisecond
}

func (s *simulation) lost() bool { return rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 }

func (s *simulation) spend(n int) {
	if !s.referenceBucket.spend(s.Now(), n) {
		s.t.Fatalf("all VMs together exceed rate %v and burst %v by %v tokens", s.rate, s.burst, -s.referenceBucket.tokens)
	}
}

// refundCall refunds one call that was charged but did not run.
func (s *simulation) refundCall(dc, vm int) {
	if !s.holders[dc][vm].Take(s.daemonTime(dc, vm)) {
		return
	}
	s.spend(1)
	s.holders[dc][vm].Refund()
	s.referenceBucket.tokens = min(s.referenceBucket.burst, s.referenceBucket.tokens+1)
}

func (s *simulation) requestLease(dc, vm, waiting int) {
	h := s.holders[dc][vm]
	sent := s.daemonTime(dc, vm)
	req := h.RequestLease(sent, waiting)
	if s.lost() {
		return
	}
	s.AfterFunc(s.delay(), func() {
		l := s.owners[dc].Lease(s.Now(), ident.VM(fmt.Sprintf("%d-%d", dc, vm)), req)
		if s.lost() {
			return
		}
		s.AfterFunc(s.delay(), func() { s.spend(h.Receive(s.daemonTime(dc, vm), sent, l)) })
	})
}

func (s *simulation) borrow(to, from int) {
	sent := s.Now()
	req := LoanRequest{Share: rapid.Float64Range(0, 1).Draw(s.t, "share"), Tokens: rapid.Float64Range(0, 20).Draw(s.t, "tokens")}
	if rapid.Bool().Draw(s.t, "tokens only") {
		req.Share = 0
	}
	s.AfterFunc(s.delay(), func() {
		l := s.owners[from].Lend(s.Now(), ident.DataCentre(fmt.Sprint(to)), req)
		if s.lost() {
			return
		}
		s.AfterFunc(s.delay(), func() { s.owners[to].Borrow(s.Now(), sent, ident.DataCentre(fmt.Sprint(from)), l) })
	})
}

func (s *simulation) replaceOwner(dc int) {
	base := 1 / float64(len(s.owners))
	if rapid.Bool().Draw(s.t, "crash") {
		s.owners[dc] = NewOwner(s.Now().Add(LoanTTL), s.rate, s.burst, base)
		return
	}
	state := s.owners[dc].Yield(s.Now())
	s.owners[dc] = NewOwner(s.Now().Add(time.Hour), s.rate, s.burst, base) // gives nothing during the handover
	s.Advance(s.delay())
	s.owners[dc] = Resume(s.Now(), s.rate, s.burst, base, state)
}

// TestNeverAboveRateAndBurst runs random sequences of calls, leases, loans, owner
// crashes and handovers. A single token bucket for all VMs must have a token for
// every call that was allowed.
func TestNeverAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			dc := rapid.IntRange(0, len(s.owners)-1).Draw(t, "dc")
			vm := rapid.IntRange(0, len(s.holders[dc])-1).Draw(t, "vm")
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1:
				s.Advance(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 1500}).Draw(t, "ms")) * time.Millisecond)
			case 2, 3, 4, 5:
				if s.holders[dc][vm].Take(s.daemonTime(dc, vm)) {
					s.spend(1)
				} else {
					s.requestLease(dc, vm, rapid.IntRange(1, 20).Draw(t, "waiting"))
				}
			case 6, 7:
				s.requestLease(dc, vm, 0)
			case 10:
				s.refundCall(dc, vm)
			case 8:
				if from := rapid.IntRange(0, len(s.owners)-1).Draw(t, "from"); from != dc {
					s.borrow(dc, from)
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "replace") == 0 {
					s.replaceOwner(dc)
				}
			}
		}
	})
}

// TestSmallGrantOverDataCentres distributes calls at 80% of a small grant's rate
// over three data centres. A call that gets no token retries every 20 ms, and its
// data centre asks the others for tokens each time.
func TestSmallGrantOverDataCentres(t *testing.T) {
	for _, rate := range []float64{5, 15, 60} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			f := newSmallGrantFleet(rate)
			calls, refused := f.run(5 * time.Minute)
			t.Logf("%d of %d calls got no token in time", refused, calls)
			assert.Assert(t, float64(refused) <= 0.001*float64(calls), "%d of %d", refused, calls)
		})
	}
}

type smallGrantFleet struct {
	rate    float64
	rng     *rand.Rand
	owners  []*Owner
	holders [][]*Holder
	// waiting holds the waiting calls with the place and time of their arrival.
	waiting []waitingCall
}

type waitingCall struct {
	dc, vm int
	since  time.Time
}

const smallBurst = 20.0

func newSmallGrantFleet(rate float64) *smallGrantFleet {
	const dcs, vms = 3, 5
	f := &smallGrantFleet{rate: rate, rng: rand.New(rand.NewPCG(1, 2))}
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

func (f *smallGrantFleet) run(d time.Duration) (calls, refused int) {
	const step, maxWait = 20 * time.Millisecond, 250 * time.Millisecond
	next := epoch
	for now := epoch; now.Before(epoch.Add(d)); now = now.Add(step) {
		for ; next.Before(now); next = next.Add(time.Duration(f.rng.ExpFloat64() / (0.8 * f.rate) * float64(time.Second))) {
			calls++
			f.waiting = append(f.waiting, waitingCall{f.rng.IntN(len(f.owners)), f.rng.IntN(5), now})
		}
		remaining := f.waiting[:0]
		for _, c := range f.waiting {
			switch {
			case f.serve(now, c):
			case now.Sub(c.since) > maxWait:
				refused++
			default:
				remaining = append(remaining, c)
			}
		}
		f.waiting = remaining
		f.borrowShares(now)
	}
	return calls, refused
}

func (f *smallGrantFleet) serve(now time.Time, c waitingCall) bool {
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

// borrowShares lets all owners borrow the shares of the rate that they miss, as
// daemons do four times a second.
func (f *smallGrantFleet) borrowShares(now time.Time) {
	for dc, o := range f.owners {
		if missing := o.MissingShare(now); missing > 0 {
			f.borrow(now, dc, LoanRequest{Share: missing})
		}
	}
}

func (f *smallGrantFleet) borrow(now time.Time, to int, req LoanRequest) {
	for from, o := range f.owners {
		if from != to {
			l := o.Lend(now, ident.DataCentre(fmt.Sprint(to)), req)
			f.owners[to].Borrow(now, now, ident.DataCentre(fmt.Sprint(from)), l)
		}
	}
}
