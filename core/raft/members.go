package raft

import (
	"encoding/json"
	"slices"

	"chicorymast/core/ident"
)

// AddLearner adds a control daemon that receives the log but does not vote.
func (n *Node) AddLearner(p Peer) ([]Effect, error) {
	m := n.members.clone()
	if m.has(p.ID) {
		return nil, nil
	}
	m.Learners = append(m.Learners, p)
	return n.proposeMembers(m)
}

// Promote turns a learner into a voter. It fails with ErrLearnerBehind while the
// learner lacks committed entries.
func (n *Node) Promote(id ident.Node) ([]Effect, error) {
	m := n.members.clone()
	at := slices.IndexFunc(m.Learners, func(p Peer) bool { return p.ID == id })
	if at < 0 {
		return nil, ErrUnknownNode
	}
	if p := n.peers[id]; n.role == roleLeader && (p == nil || p.match < n.log.commit) {
		return nil, ErrLearnerBehind
	}
	m.Voters = append(m.Voters, m.Learners[at])
	m.Learners = slices.Delete(m.Learners, at, at+1)
	return n.proposeMembers(m)
}

// Remove removes a voter or a learner. It fails with ErrNoMajority if fewer than
// a majority of the remaining voters respond.
func (n *Node) Remove(id ident.Node) ([]Effect, error) {
	m := n.members.clone()
	if !m.has(id) {
		return nil, ErrUnknownNode
	}
	matches := func(p Peer) bool { return p.ID == id }
	m.Voters = slices.DeleteFunc(m.Voters, matches)
	m.Learners = slices.DeleteFunc(m.Learners, matches)
	if len(m.Voters) == 0 {
		return nil, ErrLastVoter
	}
	if n.role == roleLeader && n.responsive(m) < len(m.Voters)/2+1 {
		return nil, ErrNoMajority
	}
	return n.proposeMembers(m)
}

// responsive counts the voters of m, this node included, that acknowledged a
// recent heartbeat round.
func (n *Node) responsive(m Membership) int {
	count := 0
	for _, p := range m.Voters {
		if p.ID == n.cfg.ID {
			count++
			continue
		}
		known := n.peers[p.ID]
		if known != nil && known.round+uint64(n.cfg.ElectionTicks/n.cfg.HeartbeatTicks) >= n.round {
			count++
		}
	}
	return count
}

// proposeMembers appends a membership entry, which takes effect at once. Only
// one such entry may be uncommitted, and the leader must have committed an entry
// of its term.
func (n *Node) proposeMembers(m Membership) ([]Effect, error) {
	if n.role != roleLeader {
		return nil, ErrNotLeader
	}
	if n.membersIndex > n.log.commit {
		return nil, ErrChangePending
	}
	if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
		return nil, ErrNotReady
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	n.appendEntry(EntryMembers, data)
	n.replicateAll()
	return n.takeEffects(), nil
}

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Membership) has(id ident.Node) bool {
	matches := func(p Peer) bool { return p.ID == id }
	return slices.ContainsFunc(m.Voters, matches) || slices.ContainsFunc(m.Learners, matches)
}

// Address returns the network address of a member.
func (m Membership) Address(id ident.Node) (address string, ok bool) {
	for _, p := range slices.Concat(m.Voters, m.Learners) {
		if p.ID == id {
			return p.Address, true
		}
	}
	return "", false
}
