package raft

import "chicorymast/core/ident"

// campaign requests pre-votes or votes. An election starts with a pre-vote, which
// does not raise the term, so that a node returning from a partition does not
// depose the leader.
func (n *Node) campaign(as role) {
	n.resetElectionTimer()
	n.role, n.votes = as, map[ident.Node]bool{n.cfg.ID: true}
	if n.leader != "" {
		n.leader = ""
		n.emit(LeaderChange{Term: n.hard.Term})
	}
	kind, term := KindPreVote, n.hard.Term+1
	if as == roleCandidate {
		n.hard = HardState{Term: term, Vote: n.cfg.ID}
		n.saveHard()
		kind = KindVote
	}
	if n.countVotes() {
		return
	}
	for _, p := range n.members.Voters {
		if p.ID == n.cfg.ID {
			continue
		}
		n.send(Message{Kind: kind, To: p.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Forced: n.forced})
	}
}

func (n *Node) handleVote(m Message) {
	upToDate := n.log.upToDate(m.Index, m.LogTerm)
	if m.Kind == KindPreVote {
		granted := upToDate && m.Term > n.hard.Term
		term := n.hard.Term
		if granted {
			term = m.Term
		}
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: term, Granted: granted})
		return
	}
	mayVote := n.hard.Vote == "" || n.hard.Vote == m.From
	granted := upToDate && mayVote && n.role == roleFollower
	if granted {
		n.resetElectionTimer()
		if n.hard.Vote != m.From {
			n.hard.Vote = m.From
			n.saveHard()
		}
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Granted: granted})
}

func (n *Node) handleVoteReply(m Message) {
	expected := KindVoteReply
	if n.role == rolePreCandidate {
		expected = KindPreVoteReply
	}
	electing := n.role == rolePreCandidate || n.role == roleCandidate
	if !electing || m.Kind != expected || !m.Granted {
		return
	}
	if m.Kind == KindPreVoteReply && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// countVotes starts the vote after a won pre-vote, or becomes leader after a won
// vote. It reports whether a majority was reached.
func (n *Node) countVotes() bool {
	granted := 0
	for _, p := range n.members.Voters {
		if n.votes[p.ID] {
			granted++
		}
	}
	if granted < n.majority() {
		return false
	}
	if n.role == rolePreCandidate {
		n.campaign(roleCandidate)
		return true
	}
	n.becomeLeader()
	return true
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.forced = roleLeader, n.cfg.ID, nil, false
	n.leaderSeen = true
	n.elapsed = 0
	n.peers = map[ident.Node]*progress{}
	n.sentAt = map[uint64]int{}
	n.confirmedAt = n.clock()
	n.leadingSince = n.tick
	n.trackPeers()
	if former := n.peers[n.followed]; former != nil {
		// Its silence caused the election; the other followers were heard by it only.
		former.lastReplyAt = n.heardAt[n.followed]
	}
	n.followed = n.cfg.ID
	n.emit(LeaderChange{Term: n.hard.Term, Leading: true, Leader: n.cfg.ID})
	// A leader commits entries of earlier terms only along with one of its own.
	n.appendEntry(EntryNoop, nil)
	n.heartbeat()
}

// trackPeers adds the missing progress records of other members.
func (n *Node) trackPeers() {
	for _, p := range n.others() {
		if n.peers[p.ID] == nil {
			n.peers[p.ID] = &progress{state: sendProbing, next: n.log.last() + 1, replied: true, lastReplyAt: n.tick}
		}
	}
}

// TransferLeadership asks the most advanced voter to start an election at once
// if it holds the whole log. A leader calls it before a planned stop.
func (n *Node) TransferLeadership() []Effect {
	if n.role != roleLeader {
		return nil
	}
	var target ident.Node
	for _, p := range n.members.Voters {
		if p.ID != n.cfg.ID && (target == "" || n.peers[p.ID].match > n.peers[target].match) {
			target = p.ID
		}
	}
	if target != "" && n.peers[target].match == n.log.last() {
		n.send(Message{Kind: KindElectNow, To: target})
	}
	return n.takeEffects()
}
