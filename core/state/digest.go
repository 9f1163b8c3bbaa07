package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// itemSum is the XOR of the hashes of all configuration items, truncated to 16
// bytes. A change hashes only the items it affects, whatever the size of the
// configuration.
type itemSum [16]byte

// toggle adds an item to the sum, or removes it if it is part of the sum.
func (s *itemSum) toggle(kind, name string, item any) {
	data, err := json.Marshal(item)
	if err != nil {
		return // cannot happen: all item types marshal
	}
	h := sha256.Sum256([]byte(kind + "\x00" + name + "\x00" + string(data)))
	for i := range s {
		s[i] ^= h[i]
	}
}

// Digest returns a hash of the configuration in force, in hex. Equal
// configurations have equal digests on every VM.
func (s *State) Digest() string {
	s.hashItems()
	total := s.itemHash
	total.toggle("revision", "", s.Revision)
	total.toggle("limits", "", s.Intent.Limits)
	return hex.EncodeToString(total[:])
}

// hashItems hashes all items of a new or decoded state, once.
func (s *State) hashItems() {
	if s.itemsHashed {
		return
	}
	s.itemsHashed = true
	s.itemHash = itemSum{}
	toggleAll(&s.itemHash, "workspace", s.Intent.Workspaces)
	toggleAll(&s.itemHash, "service", s.Intent.Services)
	toggleAll(&s.itemHash, "route", s.Intent.Routes)
	toggleAll(&s.itemHash, "group", s.Intent.Groups)
	toggleAll(&s.itemHash, "grant", s.Intent.Grants)
	toggleAll(&s.itemHash, "data_centre", s.Intent.DataCentres)
	toggleAll(&s.itemHash, "key", s.Keys)
	toggleAll(&s.itemHash, "drain", s.Drains)
	toggleAll(&s.itemHash, "evacuation", s.Evacuations)
	for dc, groups := range s.ReplicaGroups {
		for i, g := range groups {
			s.itemHash.toggle("replicas", groupName(dc, i), g)
		}
	}
}

func toggleAll[K ~string, V any](s *itemSum, kind string, items map[K]V) {
	for name, item := range items {
		s.toggle(kind, string(name), item)
	}
}

// togglePatch removes the items that a patch replaces from the hash and adds the
// new ones.
func (s *State) togglePatch(have intent.Intent, p intent.Patch) {
	toggleChanged(&s.itemHash, "workspace", have.Workspaces, p.Workspaces)
	toggleChanged(&s.itemHash, "service", have.Services, p.Services)
	toggleChanged(&s.itemHash, "route", have.Routes, p.Routes)
	toggleChanged(&s.itemHash, "group", have.Groups, p.Groups)
	toggleChanged(&s.itemHash, "grant", have.Grants, p.Grants)
	toggleChanged(&s.itemHash, "data_centre", have.DataCentres, p.DataCentres)
}

func toggleChanged[K ~string, V any](s *itemSum, kind string, have map[K]V, patch map[K]*V) {
	for name, next := range patch {
		if old, existed := have[name]; existed {
			s.toggle(kind, string(name), old)
		}
		if next != nil {
			s.toggle(kind, string(name), *next)
		}
	}
}

func groupName(dc ident.DataCentre, i int) string {
	return fmt.Sprintf("%s/%d", dc, i)
}
