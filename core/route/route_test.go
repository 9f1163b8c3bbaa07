package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/core/ramp"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

const (
	homeDC  = ident.DataCentre("here")
	otherDC = ident.DataCentre("there")
)

func candidates(near, far int) (list []Candidate) {
	for i := range near {
		list = append(list, Candidate{VM: ident.VM(fmt.Sprintf("near-%d", i)), DataCentre: homeDC, Slots: 10})
	}
	for i := range far {
		list = append(list, Candidate{VM: ident.VM(fmt.Sprintf("far-%d", i)), DataCentre: otherDC, Slots: 10})
	}
	return list
}

func newBalancer(near, far int) *Balancer {
	b := New(homeDC, rand.New(rand.NewPCG(1, 2)))
	b.Update(epoch, candidates(near, far))
	return b
}

// pickMany picks n times, without finishing any call, and counts the picks by VM.
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

func TestOwnDataCentreIsPreferredUntilNearlyFull(t *testing.T) {
	b := newBalancer(2, 2)
	counts := pickMany(t, b, epoch, 16)
	assert.Equal(t, counts["far-0"]+counts["far-1"], 0)
	counts = pickMany(t, b, epoch, 16)
	assert.Equal(t, counts["far-0"]+counts["far-1"], 16, "VMs elsewhere must be used before these are full")
	counts = pickMany(t, b, epoch, 6)
	assert.Assert(t, counts["far-0"]+counts["far-1"] <= 4, "all are equally loaded: %v", counts)
}

func TestCallsAreSpreadOverVMs(t *testing.T) {
	counts := pickMany(t, newBalancer(5, 0), epoch, 50)
	for vm, n := range counts {
		assert.Assert(t, n >= 6 && n <= 14, "%s %d", vm, n)
	}
}

func TestLoadedVMIsAvoided(t *testing.T) {
	b := newBalancer(2, 0)
	c, _ := b.Pick(epoch, 0, nil)
	b.Done(epoch, c.VM, Report{Outcome: OutcomeAnswered, Load: &admit.Load{Running: 10, Waiting: 30, Limit: 10, ShedLevel: admit.ShedLevelNone}})
	counts := pickMany(t, b, epoch, 10)
	assert.Assert(t, counts[c.VM] <= 3, "%v", counts)
}

func TestFailingVMIsEjectedAndProbed(t *testing.T) {
	b := newBalancer(4, 0)
	failing := ident.VM("near-1")
	for range ejectAfterFailures {
		b.Done(epoch, failing, Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 40)[failing], 0)
	later := epoch.Add(minEjectTime + time.Millisecond)
	assert.Equal(t, pickMany(t, b, later, 40)[failing], 1, "one call must probe the VM")
	b.Done(later, failing, Report{Outcome: OutcomeAnswered})
	assert.Assert(t, pickMany(t, b, later, 40)[failing] > 5)
}

func TestAtMostHalfOfTheVMsAreEjected(t *testing.T) {
	b := newBalancer(4, 0)
	for i := range 4 {
		for range 10 {
			b.Done(epoch, ident.VM(fmt.Sprintf("near-%d", i)), Report{Outcome: OutcomeFailed})
		}
	}
	picked := 0
	for range 50 {
		if _, ok := b.Pick(epoch, 0, nil); ok {
			picked++
		}
	}
	assert.Assert(t, picked >= 2, "%d", picked)
}

func TestNewVMStartsSlowly(t *testing.T) {
	b := newBalancer(3, 0)
	b.Update(epoch.Add(time.Minute), candidates(4, 0))
	now := epoch.Add(time.Minute)
	picksAtStart := pickMany(t, b, now, 24)["near-3"]
	assert.Assert(t, picksAtStart <= 2, "%d", picksAtStart)
	picksLater := pickMany(t, b, now.Add(slowStartTime), 24)["near-3"]
	assert.Assert(t, picksLater >= 6, "%d", picksLater)
}

// Guards against a VM that is left idle by its age although its daemon knows what it bears,
// and against one that gets more than that.
func TestReportedRampReplacesTheSlowStart(t *testing.T) {
	now := epoch.Add(time.Minute)
	newRamping := func(limit int) *Balancer {
		b := newBalancer(3, 0)
		b.Update(now, candidates(4, 0))
		b.Done(now, "near-3", Report{Outcome: OutcomeAnswered, Load: &admit.Load{Limit: limit, ShedLevel: admit.ShedLevelNone, Ramp: true}})
		return b
	}
	picks := pickMany(t, newRamping(10), now, 24)["near-3"]
	assert.Assert(t, picks >= 6, "%d calls, it bears all", picks)
	picks = pickMany(t, newRamping(2), now, 24)["near-3"]
	assert.Assert(t, picks >= 1 && picks <= 3, "%d calls of 24", picks)
	picks = pickMany(t, newRamping(2), now.Add(2*loadTTL), 24)["near-3"]
	assert.Assert(t, picks <= 3, "%d calls of 24 after an old report", picks)
	t.Run("and calls that are too many have room elsewhere", func(t *testing.T) {
		assert.Assert(t, newRamping(2).RoomElsewhere(now, 0, "near-3"))
		assert.Assert(t, !newBalancer(3, 0).RoomElsewhere(now, 0, "near-1"))
	})
}

func TestTriedAndRemovedVMsAreNotPicked(t *testing.T) {
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

func TestReportedShedLevelExpires(t *testing.T) {
	b := newBalancer(2, 0)
	load := admit.Load{Limit: 10, ShedLevel: 4}
	for _, vm := range []ident.VM{"near-0", "near-1"} {
		b.Done(epoch, vm, Report{Outcome: OutcomeRefused, Load: &load})
	}
	for _, p := range b.order {
		assert.Assert(t, p.shedding(epoch, 5))
		assert.Assert(t, !p.shedding(epoch, 3), "more important calls are not shed")
		assert.Assert(t, !p.shedding(epoch.Add(time.Second), 5))
	}
}

func BenchmarkPick(b *testing.B) {
	balancer := newBalancer(6, 14)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := balancer.Pick(epoch, 0, nil)
		balancer.Done(epoch, c.VM, Report{Outcome: OutcomeAnswered})
	}
}

// If one of two VMs is ejected and the other has been tried, Pick must return the
// ejected one instead of none.
func TestEjectedVMIsPickedIfNoOtherIsLeft(t *testing.T) {
	b := newBalancer(2, 0)
	for range ejectAfterFailures {
		b.Done(epoch, "near-0", Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 20)["near-0"], 0)
	c, ok := b.Pick(epoch, 0, map[ident.VM]bool{"near-1": true})
	assert.Assert(t, ok)
	assert.Equal(t, c.VM, ident.VM("near-0"))
	_, ok = b.Pick(epoch, 0, map[ident.VM]bool{"near-0": true, "near-1": true})
	assert.Assert(t, !ok)
}

// If the only VM of a service fails, it must still get concurrent calls; probing
// must not limit it to one call at a time.
func TestOnlyVMGetsConcurrentCalls(t *testing.T) {
	b := newBalancer(1, 0)
	for range ejectAfterFailures {
		b.Done(epoch, "near-0", Report{Outcome: OutcomeFailed})
	}
	assert.Equal(t, pickMany(t, b, epoch, 8)["near-0"], 8)
}

// report answers a call to a VM with a load.
func report(b *Balancer, now time.Time, vm ident.VM, load admit.Load) {
	b.Done(now, vm, Report{Outcome: OutcomeAnswered, Load: &load})
}

func TestLimitedVMGetsNoCallsBeyondItsRate(t *testing.T) {
	used := admit.Load{Limit: 10, RateLimit: 20, RateUse: 1.2, ShedLevel: admit.ShedLevelNone}
	half := admit.Load{Limit: 10, RateLimit: 20, RateUse: 0.5, ShedLevel: admit.ShedLevelNone}
	idle := admit.Load{Limit: 10, ShedLevel: admit.ShedLevelNone}
	t.Run("while another has room", func(t *testing.T) {
		b := newBalancer(2, 1)
		report(b, epoch, "near-0", used)
		report(b, epoch, "near-1", used)
		report(b, epoch, "far-0", idle)
		assert.Equal(t, pickMany(t, b, epoch, 6)["far-0"], 6)
	})
	t.Run("but when all are limited, the one with most room", func(t *testing.T) {
		b := newBalancer(2, 0)
		report(b, epoch, "near-0", used)
		report(b, epoch, "near-1", half)
		assert.Equal(t, pickMany(t, b, epoch, 5)["near-1"], 5)
	})
	t.Run("and the limit may have ended when it has not been called for a while", func(t *testing.T) {
		b := newBalancer(2, 0)
		now, tried := epoch, 0
		for range 300 {
			report(b, now, "near-1", idle)
			c, _ := b.Pick(now, 0, nil)
			if c.VM == "near-0" {
				tried++
				report(b, now, "near-0", admit.Load{Limit: 10, RateLimit: 1, RateUse: 3, ShedLevel: admit.ShedLevelNone})
			} else {
				report(b, now, c.VM, idle)
			}
			now = now.Add(50 * time.Millisecond)
		}
		const seconds = 15
		assert.Assert(t, tried >= seconds/5 && tried <= 2*seconds, "%d times in %d s", tried, seconds)
	})
}

// What a limited upstream asks to refuse is not what its service lacks while another one
// has room.
func TestLimitedVMSpeaksForItsServiceOnlyWithoutRoomElsewhere(t *testing.T) {
	limited := admit.Load{Limit: 10, RateLimit: 20, RateUse: 1.2, ShedLevel: admit.ShedLevelNone}
	b := newBalancer(2, 0)
	report(b, epoch, "near-0", limited)
	report(b, epoch, "near-1", admit.Load{Limit: 10, Running: 2, ShedLevel: admit.ShedLevelNone})
	assert.Assert(t, b.RoomElsewhere(epoch, 0, "near-0"))
	assert.Assert(t, !b.RoomElsewhere(epoch, 0, "near-1"))
	report(b, epoch, "near-1", admit.Load{Limit: 10, Running: 9})
	assert.Assert(t, !b.RoomElsewhere(epoch, 0, "near-0"))
	report(b, epoch, "near-1", admit.Load{Limit: 10, RateLimit: 5, RateUse: 0.9})
	assert.Assert(t, !b.RoomElsewhere(epoch, 0, "near-0"))
}

// An idle VM of the own data centre that ramps must get calls: its ramp ends only by them.
func TestIdleRampingVMGetsCalls(t *testing.T) {
	for slots := 1; slots <= 40; slots++ {
		r := ramp.New(slots)
		r.Begin()
		b := New(homeDC, rand.New(rand.NewPCG(1, 2)))
		b.Update(epoch, []Candidate{{VM: "near", DataCentre: homeDC, Slots: slots}, {VM: "far", DataCentre: otherDC, Slots: slots}})
		later := epoch.Add(time.Minute)
		b.Pick(epoch, 0, map[ident.VM]bool{"far": true})
		report := admit.Load{Limit: r.Limit(), Ramp: true, ShedLevel: admit.ShedLevelNone}
		b.Done(epoch, "near", Report{Outcome: OutcomeAnswered, Load: &report})
		c, ok := b.Pick(later, 0, nil)
		assert.Assert(t, ok)
		assert.Assert(t, slots == 1 || c.VM == "near", "%d slots: the call went to %s", slots, c.VM)
	}
}
