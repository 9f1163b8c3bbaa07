package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// sum is the exclusive-or of the hashes of all items in force. An item that
// changes costs its own hash, whatever the size of the configuration.
type sum [16]byte

func (s *sum) mix(kind, name string, item any) {
	data, err := json.Marshal(item)
	if err != nil {
		return // the items always marshal
	}
	h := sha256.Sum256([]byte(kind + "\x00" + name + "\x00" + string(data)))
	for i := range s {
		s[i] ^= h[i]
	}
}

// Digest returns a hash of all that is in force; equal states have equal
// digests on every VM.
func (s *State) Digest() string {
	s.prepare()
	total := s.items
	total.mix("revision", "", s.Revision)
	total.mix("limits", "", s.Intent.Limits)
	return hex.EncodeToString(total[:])
}

// prepare hashes all items of a state that was decoded or is new.
func (s *State) prepare() {
	if s.prepared {
		return
	}
	s.prepared = true
	s.items = sum{}
	mixAll(&s.items, "workspace", s.Intent.Workspaces)
	mixAll(&s.items, "service", s.Intent.Services)
	mixAll(&s.items, "route", s.Intent.Routes)
	mixAll(&s.items, "group", s.Intent.Groups)
	mixAll(&s.items, "grant", s.Intent.Grants)
	mixAll(&s.items, "data_centre", s.Intent.DataCentres)
	mixAll(&s.items, "key", s.Keys)
	mixAll(&s.items, "drain", s.Drains)
	for dc, groups := range s.ReplicaGroups {
		for i, g := range groups {
			s.items.mix("replicas", groupName(dc, i), g)
		}
	}
}

func mixAll[K ~string, V any](s *sum, kind string, items map[K]V) {
	for name, item := range items {
		s.mix(kind, string(name), item)
	}
}

// mixPatch takes the old items of a patch out and puts the new ones in.
func (s *State) mixPatch(have intent.Intent, p intent.Patch) {
	mixChanged(&s.items, "workspace", have.Workspaces, p.Workspaces)
	mixChanged(&s.items, "service", have.Services, p.Services)
	mixChanged(&s.items, "route", have.Routes, p.Routes)
	mixChanged(&s.items, "group", have.Groups, p.Groups)
	mixChanged(&s.items, "grant", have.Grants, p.Grants)
	mixChanged(&s.items, "data_centre", have.DataCentres, p.DataCentres)
}

func mixChanged[K ~string, V any](s *sum, kind string, have map[K]V, patch map[K]*V) {
	for name, next := range patch {
		if old, existed := have[name]; existed {
			s.mix(kind, string(name), old)
		}
		if next != nil {
			s.mix(kind, string(name), *next)
		}
	}
}

func groupName(dc ident.DataCentre, i int) string {
	return fmt.Sprintf("%s/%d", dc, i)
}
