// Package rendez orders VMs for a key by rendezvous (highest random weight)
// hashing: every daemon that knows the same VMs finds the same order, and a
// VM that comes or goes moves only the keys that it holds.
//
// # Usage
//
//	order := rendez.Order("grant/mlyn_calls", vms)
//	owner, standby := order[0], order[1]
//
// The order depends on the names only. All functions are pure.
package rendez

import (
	"cmp"
	"slices"

	"chicorymast/core/ident"

	"github.com/cespare/xxhash/v2"
)

// Order returns the VMs for a key, the highest first.
func Order(key string, vms []ident.VM) []ident.VM {
	return Top(key, vms, len(vms))
}

// Top returns the n highest VMs for a key, the highest first.
func Top(key string, vms []ident.VM, n int) []ident.VM {
	type scored struct {
		vm    ident.VM
		score uint64
	}
	scores := make([]scored, len(vms))
	for i, vm := range vms {
		scores[i] = scored{vm: vm, score: weight(key, vm)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	top := make([]ident.VM, 0, min(n, len(scores)))
	for _, s := range scores[:min(n, len(scores))] {
		top = append(top, s.vm)
	}
	return top
}

// First returns the highest VM for a key without ordering the others.
func First(key string, vms []ident.VM) (first ident.VM, ok bool) {
	var best uint64
	for _, vm := range vms {
		score := weight(key, vm)
		if !ok || score > best || (score == best && vm < first) {
			first, best, ok = vm, score, true
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
