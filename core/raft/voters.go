package raft

import (
	"slices"

	"chicorymast/core/ident"
)

// VoterPolicy says which members a leader keeps as voters. It changes one member at a
// time, so any two majorities that decide share a node, whatever it takes for lost.
type VoterPolicy struct {
	// Target is the number of voters to keep. With zero, every learner becomes a voter.
	Target int
	// UnreachableAfter is how long a voter may be silent before a learner replaces it.
	UnreachableAfter Ticks
	// SilentAfter is the time without a reply after which a member does not count as
	// responsive. A live member replies several times in it.
	SilentAfter Ticks
	// RemoveSuperseded also removes voters whose address another member has taken over,
	// not just learners.
	RemoveSuperseded bool
}

// VoterChange is a change of members that a leader should start. The set is sealed.
type VoterChange interface{ isVoterChange() }

// RemoveMember removes a voter or a learner.
type RemoveMember struct{ ID ident.Node }

// PromoteLearner makes a learner a voter.
type PromoteLearner struct{ ID ident.Node }

func (RemoveMember) isVoterChange()   {}
func (PromoteLearner) isVoterChange() {}

// Changes returns the changes that bring the members closer to the policy; the first one
// that can be started should be. It returns none unless the node leads.
//
// A superseded voter is removed before its successor is promoted: it can never vote
// again, so a majority without it is easier to reach, also when the successor is lost,
// too. An unreachable voter may return, so a learner that holds the whole log is promoted
// first, and the number of voters never falls.
func (p VoterPolicy) Changes(st Status) (changes []VoterChange) {
	if !st.Leading || st.LeadingTicks < p.SilentAfter {
		return nil // silence is known only once members could reply to heartbeats
	}
	if id := p.superseded(st); id != "" {
		return []VoterChange{RemoveMember{id}}
	}
	unreachable := p.unreachableVoter(st)
	surplus := p.Target > 0 && len(st.Members.Voters) > p.Target
	if surplus && unreachable != "" {
		return []VoterChange{RemoveMember{unreachable}}
	}
	if surplus || (p.Target > 0 && len(st.Members.Voters) == p.Target && unreachable == "") {
		return nil
	}
	for _, l := range st.Members.Learners {
		if p.responds(st, l.ID) {
			changes = append(changes, PromoteLearner{l.ID})
		}
	}
	return changes
}

// superseded returns a silent member at whose address another member responds, voters
// first. Its process has lost its data folder, or the address was assigned to another
// daemon; in both cases it gets no messages of the leader any more.
func (p VoterPolicy) superseded(st Status) ident.Node {
	members := slices.Concat(st.Members.Voters, st.Members.Learners)
	former := members
	if !p.RemoveSuperseded {
		former = st.Members.Learners
	}
	for _, f := range former {
		if f.Address == "" || p.responds(st, f.ID) {
			continue
		}
		if slices.ContainsFunc(members, func(m Peer) bool {
			return m.ID != f.ID && m.Address == f.Address && p.responds(st, m.ID)
		}) {
			return f.ID
		}
	}
	return ""
}

func (p VoterPolicy) responds(st Status, id ident.Node) bool {
	return id == st.ID || st.SinceReply[id] <= p.SilentAfter
}

func (p VoterPolicy) unreachableVoter(st Status) ident.Node {
	for _, v := range st.Members.Voters {
		if v.ID != st.ID && st.SinceReply[v.ID] > p.UnreachableAfter {
			return v.ID
		}
	}
	return ""
}
