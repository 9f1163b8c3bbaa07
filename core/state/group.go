package state

import (
	"slices"

	"chicorymast/core/ident"
)

// GroupsPerDataCentre is the number of replica groups in each data centre; the
// records of actions are divided among them.
const GroupsPerDataCentre = 16

// ReplicaGroup is the set of VMs that store one part of the records of actions.
type ReplicaGroup struct {
	// Epoch is the revision at which the members were set.
	Epoch   ident.Revision `json:"epoch"`
	Members []ident.VM     `json:"members"`
	// PreviousMembers are the members of the epoch before this one.
	PreviousMembers []ident.VM `json:"before,omitempty"`
}

// Has reports whether a VM is a member.
func (g ReplicaGroup) Has(vm ident.VM) bool {
	return slices.Contains(g.Members, vm)
}

// assignGroup accepts the first assignment of a group, or one that is based on its
// current epoch and adds, removes or replaces a single member.
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
	s.hashItems()
	r := s.accept()
	groups = slices.Clone(groups)
	s.toggleGroups(c.DataCentre, groups)
	groups[c.Index] = ReplicaGroup{Epoch: s.Revision, Members: slices.Clone(c.Members), PreviousMembers: have.Members}
	s.ReplicaGroups[c.DataCentre] = groups
	s.toggleGroups(c.DataCentre, groups)
	return r
}

// toggleGroups adds a data centre's replica groups to the hash, or removes them if
// they are part of it.
func (s *State) toggleGroups(dc ident.DataCentre, groups []ReplicaGroup) {
	if _, known := s.ReplicaGroups[dc]; !known {
		return
	}
	for i, g := range groups {
		s.itemHash.toggle("replicas", groupName(dc, i), g)
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
