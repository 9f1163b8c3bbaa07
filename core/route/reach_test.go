package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

const near, far = ident.DataCentre("near"), ident.DataCentre("far")

// cutOff returns a Reach for which the data centre far is unreachable.
func cutOff(t testing.TB) *Reach {
	t.Helper()
	r := NewReach(near)
	assert.Assert(t, !r.Silent(epoch, far, "far-1"))
	assert.Assert(t, !r.Silent(epoch, far, "far-1"))
	assert.Assert(t, r.Silent(epoch, far, "far-2"))
	return r
}

func mustBlock(t testing.TB, r *Reach, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, r.Blocked(now)[far], want, "%v after the first silence", now.Sub(epoch))
}

func TestSilentDataCentreIsAvoided(t *testing.T) {
	mustBlock(t, cutOff(t), epoch, true)
	t.Run("not for a single VM", func(t *testing.T) {
		r := NewReach(near)
		for range 10 {
			r.Silent(epoch, far, "far-1")
		}
		mustBlock(t, r, epoch, false)
	})
	t.Run("not after a sign of life", func(t *testing.T) {
		r := NewReach(near)
		r.Silent(epoch, far, "far-1")
		r.Silent(epoch, far, "far-2")
		r.Answered(far)
		r.Silent(epoch, far, "far-3")
		mustBlock(t, r, epoch, false)
	})
	t.Run("not the own one", func(t *testing.T) {
		r := NewReach(far)
		for _, vm := range []ident.VM{"far-1", "far-2", "far-3"} {
			assert.Assert(t, !r.Silent(epoch, far, vm))
		}
	})
}

func TestOneCallAtATimeTriesAnUnreachableDataCentre(t *testing.T) {
	r := cutOff(t)
	now := epoch.Add(minBlockTime)
	mustBlock(t, r, now, false)
	r.StartProbe(now, far)
	mustBlock(t, r, now, true)
	t.Run("another one later if it got no answer", func(t *testing.T) {
		now = now.Add(probeTime / 2)
		assert.Assert(t, r.Silent(now, far, "far-1"))
		mustBlock(t, r, now.Add(2*minBlockTime-1), true)
		mustBlock(t, r, now.Add(2*minBlockTime), false)
	})
	t.Run("all as soon as it got one", func(t *testing.T) {
		r.StartProbe(now, far)
		r.Answered(far)
		mustBlock(t, r, now, false)
		r.StartProbe(now, far)
		mustBlock(t, r, now, false)
	})
}

func TestBalancerAvoidsBlockedDataCentres(t *testing.T) {
	b := New(near, rand.New(rand.NewPCG(1, 1)))
	b.Update(epoch, []Candidate{{VM: "near-1", DataCentre: near, Slots: 1}, {VM: "far-1", DataCentre: far, Slots: 100}})
	for range 20 { // the own data centre is full long before
		c, ok := b.PickAvoiding(epoch, 0, nil, map[ident.DataCentre]bool{far: true})
		assert.Assert(t, ok)
		assert.Equal(t, c.VM, ident.VM("near-1"))
	}
	_, ok := b.PickAvoiding(epoch, 0, map[ident.VM]bool{"near-1": true}, map[ident.DataCentre]bool{far: true})
	assert.Assert(t, !ok, "a call to an unreachable data centre only waits for its timeout")
}
