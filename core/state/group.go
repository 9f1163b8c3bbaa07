package state

import (
	"slices"

	"chicorymast/core/ident"
)

// GroupsPerDataCentre is over how many groups of replicas the records of
// actions are spread in each data centre.
const GroupsPerDataCentre = 16

// ReplicaGroup is the replicas of one part of the actions' records.
type ReplicaGroup struct {
	// Epoch is the revision at which the members were set.
	Epoch   ident.Revision `json:"epoch"`
	Members []ident.VM     `json:"members"`
	// PreviousMembers are the members of the epoch before.
	PreviousMembers []ident.VM `json:"before,omitempty"`
}

// Has reports whether a VM is a member.
func (g ReplicaGroup) Has(vm ident.VM) bool {
	return slices.Contains(g.Members, vm)
}

// assignGroup accepts a first assignment, or one that adds, removes or
// replaces a single member of the epoch that it was made on.
func (s *State) assignGroup(c AssignGroup) Result {
	groups := s.ReplicaGroups[c.DataCentre]
	if c.Index < 0 || c.Index >= GroupsPerDataCentre || len(c.Members) == 0 {
		return Result{Outcome: OutcomeInvalid, Detail: "no such group of replicas"}
	}
	if len(groups) == 0 {
		groups = make([]ReplicaGroup, GroupsPerDataCentre)
	}
	have := groups[c.Index]
	if have.Epoch != c.BaseEpoch {
		return Result{Outcome: OutcomeConflict, Detail: "the group was changed meanwhile"}
	}
	if len(have.Members) > 0 && (missing(have.Members, c.Members) > 1 || missing(c.Members, have.Members) > 1) {
		return Result{Outcome: OutcomeInvalid, Detail: "only one replica can be changed at a time"}
	}
	s.prepare()
	r := s.accept()
	groups = slices.Clone(groups)
	s.mixGroups(c.DataCentre, groups)
	groups[c.Index] = ReplicaGroup{Epoch: s.Revision, Members: slices.Clone(c.Members), PreviousMembers: have.Members}
	s.ReplicaGroups[c.DataCentre] = groups
	s.mixGroups(c.DataCentre, groups)
	return r
}

// mixGroups takes a data centre's groups out of the hash, or puts them in.
func (s *State) mixGroups(dc ident.DataCentre, groups []ReplicaGroup) {
	if _, known := s.ReplicaGroups[dc]; !known {
		return
	}
	for i, g := range groups {
		s.items.mix("replicas", groupName(dc, i), g)
	}
}

// missing counts the VMs of a that are not in b.
func missing(a, b []ident.VM) int {
	n := 0
	for _, vm := range a {
		if !slices.Contains(b, vm) {
			n++
		}
	}
	return n
}
