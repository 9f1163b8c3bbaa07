package raft

import "chicorymast/core/ident"

// campaign asks the voters, first whether they would vote (pre-vote), so that
// a node that was cut off does not disturb the others when it returns.
func (n *Node) campaign(as role) {
	n.resetTimeout()
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
	fits := n.log.upToDate(m.Index, m.LogTerm)
	if m.Kind == KindPreVote {
		granted := fits && m.Term > n.hard.Term
		term := n.hard.Term
		if granted {
			term = m.Term
		}
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: term, Granted: granted})
		return
	}
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	granted := fits && free && n.role == roleFollower
	if granted {
		n.resetTimeout()
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

// countVotes moves on when a majority agrees; it reports whether it did.
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
	n.settled = true
	n.elapsed = 0
	n.peers = map[ident.Node]*progress{}
	n.sentAt = map[uint64]int{}
	n.confirmedAt = n.tick
	n.trackPeers()
	n.emit(LeaderChange{Term: n.hard.Term, Leading: true, Leader: n.cfg.ID})
	// An entry of its own term lets the leader commit those of earlier terms.
	n.appendOwn(EntryNoop, nil)
	n.heartbeat()
}

// trackPeers keeps a progress for every other member.
func (n *Node) trackPeers() {
	for _, p := range n.others() {
		if n.peers[p.ID] == nil {
			n.peers[p.ID] = &progress{next: n.log.last() + 1, heard: true, heardAt: n.tick, snapshotAt: -n.cfg.ElectionTicks}
		}
	}
}

// TransferLeadership hands leadership to the follower that is furthest, before a planned
// stop.
func (n *Node) TransferLeadership() []Effect {
	if n.role != roleLeader {
		return nil
	}
	var best ident.Node
	for _, p := range n.members.Voters {
		if p.ID != n.cfg.ID && (best == "" || n.peers[p.ID].match > n.peers[best].match) {
			best = p.ID
		}
	}
	if best != "" && n.peers[best].match == n.log.last() {
		n.send(Message{Kind: KindElectNow, To: best})
	}
	return n.take()
}
