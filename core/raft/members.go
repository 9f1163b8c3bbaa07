package raft

import (
	"encoding/json"
	"slices"

	"chicorymast/core/ident"
)

// AddLearner lets a new control daemon follow the log without a vote.
func (n *Node) AddLearner(p Peer) ([]Effect, error) {
	m := n.members.clone()
	if m.has(p.ID) {
		return nil, nil
	}
	m.Learners = append(m.Learners, p)
	return n.proposeMembers(m)
}

// Promote gives a learner a vote, once it holds the whole log.
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

// Remove takes a voter or a learner out. It refuses when those who remain and
// answer would not be a majority.
func (n *Node) Remove(id ident.Node) ([]Effect, error) {
	m := n.members.clone()
	if !m.has(id) {
		return nil, ErrUnknownNode
	}
	is := func(p Peer) bool { return p.ID == id }
	m.Voters = slices.DeleteFunc(m.Voters, is)
	m.Learners = slices.DeleteFunc(m.Learners, is)
	if len(m.Voters) == 0 {
		return nil, ErrLastVoter
	}
	if n.role == roleLeader && n.answering(m) < len(m.Voters)/2+1 {
		return nil, ErrNoMajority
	}
	return n.proposeMembers(m)
}

// answering counts the voters of m that hold nearly all and answered lately.
func (n *Node) answering(m Membership) int {
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

// proposeMembers appends new members; they count from then on. Only one such
// entry may be undecided, and the leader must have committed in its term.
func (n *Node) proposeMembers(m Membership) ([]Effect, error) {
	if n.role != roleLeader {
		return nil, ErrNotLeader
	}
	if n.membersAt > n.log.commit {
		return nil, ErrChangePending
	}
	if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
		return nil, ErrNotReady
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	n.appendOwn(EntryMembers, data)
	n.replicateAll()
	return n.take(), nil
}

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Membership) has(id ident.Node) bool {
	is := func(p Peer) bool { return p.ID == id }
	return slices.ContainsFunc(m.Voters, is) || slices.ContainsFunc(m.Learners, is)
}

// Address returns the address of a member.
func (m Membership) Address(id ident.Node) (address string, ok bool) {
	for _, p := range slices.Concat(m.Voters, m.Learners) {
		if p.ID == id {
			return p.Address, true
		}
	}
	return "", false
}
