package raft

import (
	"encoding/json"
	"slices"

	"chicorymast/core/ident"
)

// Propose appends a command to the leader's log and returns its index and term.
func (n *Node) Propose(data json.RawMessage) (effects []Effect, at Index, term Term, err error) {
	if n.role != roleLeader {
		return nil, 0, 0, ErrNotLeader
	}
	n.appendEntry(EntryCommand, data)
	n.replicateAll()
	return n.takeEffects(), n.log.last(), n.hard.Term, nil
}

func (n *Node) appendEntry(kind EntryKind, data json.RawMessage) {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.emit(Save{Entries: []Entry{e}})
	if kind == EntryMembers {
		n.adoptMembers(e)
		n.trackPeers()
	}
	n.advanceCommit()
}

// heartbeat starts a new round: it sends an append to every member, even without
// entries.
func (n *Node) heartbeat() {
	n.round++
	n.sentAt[n.round] = n.tick
	n.replicateAll()
	n.confirmRounds()
}

// BeginRead starts a heartbeat round that verifies leadership for a linearizable
// read. Once ConfirmedRound has reached the round, all entries committed before
// the read began are committed at this node (Raft thesis, 6.4).
func (n *Node) BeginRead() (effects []Effect, round uint64, err error) {
	if n.role != roleLeader {
		return nil, 0, ErrNotLeader
	}
	if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
		return nil, 0, ErrNotReady
	}
	n.heartbeat()
	return n.takeEffects(), n.round, nil
}

// ConfirmedRound returns the newest heartbeat round that a majority
// acknowledged.
func (n *Node) ConfirmedRound() uint64 {
	return n.confirmed
}

func (n *Node) replicateAll() {
	for _, p := range n.others() {
		n.replicate(p.ID)
	}
}

func (n *Node) replicate(to ident.Node) {
	p := n.peers[to]
	prev := p.next - 1
	t, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(to, p)
		return
	}
	entries := n.log.slice(p.next, batchEntries)
	n.send(Message{
		Kind: KindAppend, To: to, Index: prev, LogTerm: t, Entries: entries,
		Commit: n.log.commit, Round: n.round, QuorumAgeTicks: n.quorumAge(),
	})
	p.next += Index(len(entries))
}

func (n *Node) sendSnapshot(to ident.Node, p *progress) {
	if n.tick-p.snapshotAt < n.cfg.ElectionTicks {
		// A snapshot is in flight; a heartbeat keeps the follower from starting
		// an election.
		n.send(Message{Kind: KindAppend, To: to, Index: n.log.last(), LogTerm: n.log.lastTerm(), Round: n.round, QuorumAgeTicks: n.quorumAge()})
		return
	}
	p.snapshotAt = n.tick
	s := n.snapshot
	n.send(Message{Kind: KindSnapshot, To: to, Snapshot: &s, Round: n.round})
}

func (n *Node) handleAppend(m Message) {
	if n.role != roleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.followed = 0, m.From
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Index: n.log.last()}
	t, ok := n.log.term(m.Index)
	if m.Index < n.log.snapshot.Index {
		// The snapshot covers the previous entry, so everything up to the
		// snapshot is committed.
		reply.Granted, reply.Index = true, n.log.snapshot.Index
		n.send(reply)
		return
	}
	if !ok || t != m.LogTerm {
		reply.Index = min(n.log.last(), m.Index)
		if ok {
			reply.Index = m.Index - 1
		}
		n.send(reply)
		return
	}
	n.acceptEntries(m)
	reply.Granted, reply.Index = true, m.Index+Index(len(m.Entries))
	n.send(reply)
}

func (n *Node) acceptEntries(m Message) {
	added := n.log.merge(m.Entries)
	if len(added) > 0 {
		n.emit(Save{Entries: added})
		n.updateMembers(added)
	}
	match := m.Index + Index(len(m.Entries))
	n.commitTo(min(m.Commit, match))
	if m.Commit <= match && m.QuorumAgeTicks >= 0 {
		n.leaderQuorumAge, n.leaderQuorumAgeAt = m.QuorumAgeTicks, n.tick
	}
}

// updateMembers updates the members after a change of the log: from a new
// membership entry, or from an older one if the latest was truncated.
func (n *Node) updateMembers(added []Entry) {
	truncated := n.membersIndex >= added[0].Index
	if truncated || slices.ContainsFunc(added, func(e Entry) bool { return e.Kind == EntryMembers }) {
		n.restoreMembers()
	}
}

func (n *Node) commitTo(i Index) {
	if committed := n.log.commitUpTo(i); len(committed) > 0 {
		n.emit(Commit{Entries: committed})
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.peers[m.From]
	if n.role != roleLeader || p == nil {
		return
	}
	p.replied, p.lastReplyAt = true, n.tick
	p.round = max(p.round, m.Round)
	n.confirmRounds()
	if !m.Granted {
		p.next = max(p.match+1, min(p.next, m.Index+1))
		n.replicate(m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if p.next <= n.log.last() {
		n.replicate(m.From)
	}
}

// advanceCommit raises the commit index to the highest entry that a majority stores,
// provided that it is of the current term. Entries of earlier terms are committed
// along with it.
func (n *Node) advanceCommit() {
	matches := make([]Index, 0, len(n.members.Voters))
	for _, p := range n.members.Voters {
		if p.ID == n.cfg.ID {
			matches = append(matches, n.log.last())
			continue
		}
		if known := n.peers[p.ID]; known != nil {
			matches = append(matches, known.match)
		}
	}
	slices.Sort(matches)
	majorityMatch := matches[len(matches)-n.majority()]
	if t, ok := n.log.term(majorityMatch); ok && t == n.hard.Term {
		n.commitAndNotify(majorityMatch)
	}
	if n.membersIndex <= n.log.commit && !n.isVoter(n.cfg.ID) {
		// The committed membership does not include this node as a voter.
		n.becomeFollower(n.hard.Term, "")
	}
}

// commitAndNotify commits at the leader. The others hear of it before the commit is
// acknowledged, also if the leader stops right after that.
func (n *Node) commitAndNotify(i Index) {
	committed := n.log.commitUpTo(i)
	if len(committed) == 0 {
		return
	}
	n.replicateAll()
	n.emit(Commit{Entries: committed})
}

// confirmRounds updates the newest heartbeat round that a majority acknowledged.
func (n *Node) confirmRounds() {
	rounds := make([]uint64, 0, len(n.members.Voters))
	for _, p := range n.members.Voters {
		if p.ID == n.cfg.ID {
			rounds = append(rounds, n.round)
			continue
		}
		rounds = append(rounds, n.peers[p.ID].round)
	}
	slices.Sort(rounds)
	confirmed := rounds[len(rounds)-n.majority()]
	n.confirmed = max(n.confirmed, confirmed)
	if at, ok := n.sentAt[confirmed]; ok {
		n.confirmedAt = max(n.confirmedAt, at)
	}
	for r := range n.sentAt {
		if r < confirmed {
			delete(n.sentAt, r)
		}
	}
}

func (n *Node) handleSnapshot(m Message) {
	if n.role != roleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.followed = 0, m.From
	reply := Message{Kind: KindSnapshotReply, To: m.From, Round: m.Round, Granted: true}
	if m.Snapshot == nil || m.Snapshot.Index <= n.log.commit {
		reply.Index = n.log.commit
		n.send(reply)
		return
	}
	s := *m.Snapshot
	n.snapshot = s
	n.log.reset(s)
	n.restoreMembers()
	n.emit(Save{Snapshot: &s})
	n.emit(InstallSnapshot{Snapshot: s})
	reply.Index = s.Index
	n.send(reply)
}

// Compact replaces the log up to a committed index with a snapshot of the state
// machine's data.
func (n *Node) Compact(at Index, data json.RawMessage) []Effect {
	t, ok := n.log.term(at)
	if !ok || at > n.log.commit || at <= n.snapshot.Index {
		return nil
	}
	s := Snapshot{Index: at, Term: t, Members: n.membersUpTo(at), Data: data}
	n.snapshot = s
	n.log.compact(s, CatchUpEntries)
	n.emit(Save{Snapshot: &s})
	return n.takeEffects()
}

// membersUpTo returns the members as of a log index.
func (n *Node) membersUpTo(at Index) Membership {
	m := n.snapshot.Members
	for _, e := range n.log.entries {
		if e.Kind != EntryMembers || e.Index > at || e.Index <= n.snapshot.Index {
			continue
		}
		var next Membership
		if json.Unmarshal(e.Data, &next) == nil {
			m = next
		}
	}
	return m
}

// EntriesAfterSnapshot returns the log entries after the latest snapshot.
func (n *Node) EntriesAfterSnapshot() []Entry {
	return n.log.slice(max(n.log.first(), n.snapshot.Index+1), int(n.log.last()))
}
