package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

const (
	here  = ident.DataCentre("here")
	there = ident.DataCentre("there")
)

func candidates(near, far int) (list []Candidate) {
	for i := range near {
		list = append(list, Candidate{VM: ident.VM(fmt.Sprintf("near-%d", i)), DataCentre: here, Slots: 10})
	}
	for i := range far {
		list = append(list, Candidate{VM: ident.VM(fmt.Sprintf("far-%d", i)), DataCentre: there, Slots: 10})
	}
	return list
}

func newBalancer(near, far int) *Balancer {
	b := New(here, rand.New(rand.NewPCG(1, 2)))
	b.Update(epoch, candidates(near, far))
	return b
}

// pickMany picks n times without any call ending and counts by VM.
func pickMany(t testing.TB, b *Balancer, now time.Time, n int) map[ident.VM]int {
	t.Helper()
	counts := map[ident.VM]int{}
	for range n {
		c, ok := b.Pick(now, 0, nil)
		assert.Assert(t, ok)
		counts[c.VM]++
	}
	return counts
}

func TestOwnDataCentreFirstThenSpill(t *testing.T) {
	b := newBalancer(2, 2)
	counts := pickMany(t, b, epoch, 18)
	assert.Equal(t, counts["far-0"]+counts["far-1"], 0)
	counts = pickMany(t, b, epoch, 20)
	assert.Assert(t, counts["far-0"]+counts["far-1"] >= 15, "%v", counts)
}

func TestLoadIsSpread(t *testing.T) {
	counts := pickMany(t, newBalancer(5, 0), epoch, 50)
	for vm, n := range counts {
		assert.Assert(t, n >= 6 && n <= 14, "%s %d", vm, n)
	}
}

func TestReportedLoadKeepsWorkAway(t *testing.T) {
	b := newBalancer(2, 0)
	c, _ := b.Pick(epoch, 0, nil)
	b.Done(epoch, c.VM, Report{Outcome: OutcomeAnswered, Load: &admit.Load{Running: 10, Waiting: 30, Limit: 10, ShedLevel: admit.ShedLevelNone}})
	counts := pickMany(t, b, epoch, 10)
	assert.Assert(t, counts[c.VM] <= 3, "%v", counts)
}

func TestFailingVMIsPutAsideForAWhile(t *testing.T) {
	b := newBalancer(4, 0)
	bad := ident.VM("near-1")
	for range failuresToEject {
		b.Done(epoch, bad, Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 40)[bad], 0)
	later := epoch.Add(ejectFirst + time.Millisecond)
	assert.Equal(t, pickMany(t, b, later, 40)[bad], 1, "one call tries whether it is back")
	b.Done(later, bad, Report{Outcome: OutcomeAnswered})
	assert.Assert(t, pickMany(t, b, later, 40)[bad] > 5)
}

func TestNeverAllArePutAside(t *testing.T) {
	b := newBalancer(4, 0)
	for i := range 4 {
		for range 10 {
			b.Done(epoch, ident.VM(fmt.Sprintf("near-%d", i)), Report{Outcome: OutcomeFailed})
		}
	}
	usable := 0
	for range 50 {
		if _, ok := b.Pick(epoch, 0, nil); ok {
			usable++
		}
	}
	assert.Assert(t, usable >= 2, "%d", usable)
}

func TestNewVMStartsSlowly(t *testing.T) {
	b := newBalancer(3, 0)
	b.Update(epoch.Add(time.Minute), candidates(4, 0))
	now := epoch.Add(time.Minute)
	early := pickMany(t, b, now, 24)["near-3"]
	assert.Assert(t, early <= 2, "%d", early)
	late := pickMany(t, b, now.Add(slowStart), 24)["near-3"]
	assert.Assert(t, late >= 6, "%d", late)
}

func TestTriedAndGoneAreLeftOut(t *testing.T) {
	b := newBalancer(2, 0)
	tried := map[ident.VM]bool{"near-0": true}
	for range 10 {
		c, ok := b.Pick(epoch, 0, tried)
		assert.Assert(t, ok)
		assert.Equal(t, c.VM, ident.VM("near-1"))
	}
	b.Update(epoch, candidates(1, 0))
	_, ok := b.Pick(epoch, 0, tried)
	assert.Assert(t, !ok)
}

func TestSheddingIsKnownAndForgotten(t *testing.T) {
	b := newBalancer(2, 0)
	load := admit.Load{Limit: 10, ShedLevel: 4}
	for _, vm := range []ident.VM{"near-0", "near-1"} {
		b.Done(epoch, vm, Report{Outcome: OutcomeRefused, Load: &load})
	}
	for _, p := range b.order {
		assert.Assert(t, p.shedding(epoch, 5))
		assert.Assert(t, !p.shedding(epoch, 3), "more important work still has a chance")
		assert.Assert(t, !p.shedding(epoch.Add(time.Second), 5))
	}
}

func BenchmarkPick(b *testing.B) {
	bal := newBalancer(6, 14)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := bal.Pick(epoch, 0, nil)
		bal.Done(epoch, c.VM, Report{Outcome: OutcomeAnswered})
	}
}

// One failing VM of two must not be out of reach when the other has been tried.
func TestOneSetAsideIsBetterThanNone(t *testing.T) {
	b := newBalancer(2, 0)
	for range failuresToEject {
		b.Done(epoch, "near-0", Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 20)["near-0"], 0)
	c, ok := b.Pick(epoch, 0, map[ident.VM]bool{"near-1": true})
	assert.Assert(t, ok)
	assert.Equal(t, c.VM, ident.VM("near-0"))
	_, ok = b.Pick(epoch, 0, map[ident.VM]bool{"near-0": true, "near-1": true})
	assert.Assert(t, !ok)
}

// A service whose only VM has failed must not be called one by one.
func TestOnlyVMKeepsTakingCallsAtOnce(t *testing.T) {
	b := newBalancer(1, 0)
	for range failuresToEject {
		b.Done(epoch, "near-0", Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 8)["near-0"], 8)
}
