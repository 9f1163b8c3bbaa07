// Package rendez ranks VMs for a key by rendezvous (highest random weight)
// hashing: all daemons that know the same VMs compute the same order, and adding
// or removing a VM moves only the keys assigned to it.
//
// # Usage
//
//	order := rendez.Order("grant/mlyn_calls", vms)
//	owner, standby := order[0], order[1]
//
// The order depends only on the names. All functions are pure.
package rendez

import (
	"cmp"
	"slices"

	"chicorymast/core/ident"

	"github.com/cespare/xxhash/v2"
)

// Order returns the VMs in order of their weight for a key, the highest first.
func Order(key string, vms []ident.VM) []ident.VM {
	return Top(key, vms, len(vms))
}

// Top returns the n VMs with the highest weights for a key, the highest first.
func Top(key string, vms []ident.VM, n int) []ident.VM {
	type weighted struct {
		vm     ident.VM
		weight uint64
	}
	weights := make([]weighted, len(vms))
	for i, vm := range vms {
		weights[i] = weighted{vm: vm, weight: weight(key, vm)}
	}
	slices.SortFunc(weights, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	top := make([]ident.VM, 0, min(n, len(weights)))
	for _, w := range weights[:min(n, len(weights))] {
		top = append(top, w.vm)
	}
	return top
}

// First returns the VM with the highest weight for a key, without sorting the
// others.
func First(key string, vms []ident.VM) (first ident.VM, ok bool) {
	var highest uint64
	for _, vm := range vms {
		w := weight(key, vm)
		if !ok || w > highest || (w == highest && vm < first) {
			first, highest, ok = vm, w, true
		}
	}
	return first, ok
}

func weight(key string, vm ident.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
