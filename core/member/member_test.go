package member

import (
	"fmt"
	"testing"
	"time"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func entry(vm ident.VM, version uint64) Entry {
	return Entry{VM: vm, Phase: PhaseUp, Version: version, Upstream: &Upstream{Service: "katalog", Phase: PhaseUp}}
}

func mustPhase(t testing.TB, d *Directory, vm ident.VM, want Phase) {
	t.Helper()
	e, ok := d.Get(vm)
	assert.Assert(t, ok)
	assert.Equal(t, e.Phase, want)
}

func TestHigherVersionWinsInAnyOrder(t *testing.T) {
	gone := entry("a", 2)
	gone.Phase = PhaseGone
	for name, order := range map[string][]Entry{"in order": {entry("a", 1), gone}, "reversed": {gone, entry("a", 1)}, "repeated": {gone, gone, entry("a", 1)}} {
		t.Run(name, func(t *testing.T) {
			d := New(DefaultLease)
			d.Merge(epoch, order)
			mustPhase(t, d, "a", PhaseGone)
		})
	}
}

func TestLease(t *testing.T) {
	d := New(DefaultLease)
	d.Announce(epoch, entry("a", 1))
	assert.Equal(t, d.Expire(epoch.Add(DefaultLease)), 0)
	assert.Equal(t, d.Expire(epoch.Add(DefaultLease+1)), 1)
	mustPhase(t, d, "a", PhaseGone)
	t.Run("a renewal restores the entry", func(t *testing.T) {
		assert.Assert(t, d.Announce(epoch.Add(4*time.Second), entry("a", 1)))
		mustPhase(t, d, "a", PhaseUp)
	})
	t.Run("an old message does not renew it", func(t *testing.T) {
		d.Expire(epoch.Add(10 * time.Second))
		old := entry("a", 1)
		old.AgeMs = 60_000
		assert.Assert(t, !d.Announce(epoch.Add(10*time.Second), old))
		mustPhase(t, d, "a", PhaseGone)
	})
	t.Run("it is deleted after ten leases", func(t *testing.T) {
		d.Expire(epoch.Add(time.Hour))
		_, ok := d.Get("a")
		assert.Assert(t, !ok)
	})
}

// A relay that lost its own network sees all leases lapse at once. It must not
// mark the whole fleet as gone.
func TestMassExpiryIsLimited(t *testing.T) {
	d := New(DefaultLease)
	const n = 50
	for i := range n {
		d.Announce(epoch, entry(ident.VM(fmt.Sprint(i)), 1))
	}
	now := epoch.Add(DefaultLease + time.Second)
	assert.Equal(t, d.Expire(now), n/5)
	assert.Equal(t, d.Expire(now.Add(time.Second)), 0)
	for i := range n - n/5 {
		d.Announce(now.Add(time.Second), entry(ident.VM(fmt.Sprint(i)), 1))
	}
	assert.Equal(t, d.Expire(now.Add(2*time.Second)), 0, "entries renewed in the meantime stay")
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	d := New(DefaultLease)
	d.Announce(epoch, entry("a", 1))
	last := d.LastChange()
	d.Announce(epoch, entry("b", 1))
	d.Announce(epoch, entry("a", 1))
	changed := d.Since(epoch, last)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].VM, ident.VM("b"))
}
