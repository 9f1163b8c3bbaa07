package trial

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Fleets of packages that are tested at the same time must not take each other's ports.
func TestFleetsOfTwoProcessesShareNoPort(t *testing.T) {
	const addresses = 400
	claim := func() []string {
		b, err := claimBlock()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = b.guard.Close() })
		list, err := b.freeAddresses(addresses)
		assert.NilError(t, err)
		return list
	}
	first, second := claim(), claim()
	for _, a := range second {
		assert.Assert(t, !slices.Contains(first, a), "%s is in both", a)
	}
}

func TestTooManyAddressesAreRefused(t *testing.T) {
	b, err := claimBlock()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = b.guard.Close() })
	_, err = b.freeAddresses(portsPerBlock)
	assert.ErrorContains(t, err, "not enough free ports")
}
