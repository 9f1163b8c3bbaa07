package raft

import (
	"encoding/json"
	"math"
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
	n.sentAt[n.round] = n.clock()
	for _, p := range n.others() {
		if !n.replicate(p.ID) {
			n.sendHeartbeat(p.ID)
		}
	}
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

// replicate sends a member the next entries, or tells it of the commit index, unless it
// has to acknowledge former messages first. It reports whether a message was sent.
func (n *Node) replicate(to ident.Node) (sent bool) {
	p := n.peers[to]
	if p.state == sendSnapshot {
		return n.sendPiece(to, p)
	}
	prev := p.next - 1
	t, ok := n.log.term(prev)
	if !ok {
		p.probe(p.next)
		p.state, p.snapshot = sendSnapshot, n.snapshot
		return n.sendPiece(to, p)
	}
	if !p.maySend() {
		return false
	}
	entries := n.log.slice(p.next, batchEntries, MaxMessageBytes)
	n.sendAppend(to, prev, t, entries)
	if len(entries) > 0 || p.state == sendProbing {
		p.sent(n.tick, entries)
	}
	return true
}

func (n *Node) sendAppend(to ident.Node, prev Index, t Term, entries []Entry) {
	n.send(Message{
		Kind: KindAppend, To: to, Index: prev, LogTerm: t, Entries: entries,
		Commit: n.log.commit, Round: n.round, QuorumAgeTicks: n.quorumAge(), Echo: max(n.peers[to].stamp, noStamp),
	})
}

// sendHeartbeat sends a message without entries that the member accepts whatever it lacks.
func (n *Node) sendHeartbeat(to ident.Node) {
	prev := n.peers[to].match
	t, ok := n.log.term(prev)
	if !ok {
		prev, t = 0, 0 // before all entries
	}
	n.sendAppend(to, prev, t, nil)
}

// sendPiece sends the next piece of a snapshot unless the former one is not acknowledged.
func (n *Node) sendPiece(to ident.Node, p *progress) (sent bool) {
	if p.awaiting {
		return false
	}
	p.awaiting, p.sentAt = true, n.tick
	meta := p.snapshot
	data := meta.Data
	meta.Data = nil
	end := min(len(data), p.offset+MaxMessageBytes)
	n.send(Message{
		Kind: KindSnapshotPiece, To: to, Snapshot: &meta, Piece: data[p.offset:end], Offset: p.offset, Size: len(data),
		Round: n.round,
	})
	return true
}

func (n *Node) handleAppend(m Message) {
	if n.role != roleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.followed = 0, m.From
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Stamp: n.stamp()}
	t, ok := n.log.term(m.Index)
	if m.Index < n.log.snapshot.Index {
		// The snapshot covers the previous entry, so everything up to the
		// snapshot is committed.
		reply.Granted, reply.Index = true, n.log.snapshot.Index
		n.send(reply)
		return
	}
	if !ok || t != m.LogTerm {
		reply.Rejected, reply.Index = m.Index, min(n.log.last(), m.Index)
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
		n.confirmAsOf(m)
	}
}

const (
	// noStamp is returned to a member of which no stamp has arrived yet.
	noStamp Stamp = 1
	// maxStampBase bounds the random base of stamps, so that they can't overflow.
	maxStampBase = 1 << 52
)

// stamp returns this node's clock as it is sent to the leader.
func (n *Node) stamp() Stamp {
	return n.stampBase + Stamp(n.clock()) + noStamp + 1
}

// confirmAsOf notes as of when the state here is known to be the newest: the message was
// sent after the stamp that it returns. Stamps of an earlier start are not of this clock. A
// leader of an earlier release returns none, and counts as having sent it just now.
func (n *Node) confirmAsOf(m Message) {
	sentAfter := n.clock()
	if m.Echo != 0 {
		first := n.stamp() - Stamp(n.clock())
		if m.Echo < first || m.Echo > n.stamp() {
			return
		}
		sentAfter = int(m.Echo - first)
	}
	n.confirmedAsOf = max(n.confirmedAsOf, sentAfter-m.QuorumAgeTicks)
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
	n.recordReply(p, m)
	if !m.Granted {
		if p.rejected(m.Rejected, m.Index) {
			n.replicate(m.From)
		}
		return
	}
	n.recordMatch(m.From, p, m.Index)
}

func (n *Node) recordReply(p *progress, m Message) {
	p.replied, p.lastReplyAt = true, n.tick
	p.round = max(p.round, m.Round)
	if m.Stamp != 0 {
		p.stamp = m.Stamp // not the highest: the stamps of a new start may be lower
	}
	n.confirmRounds()
}

// recordMatch records that a member has all entries up to i, and sends it further ones.
func (n *Node) recordMatch(id ident.Node, p *progress, i Index) {
	news := i > p.match
	p.accepted(n.tick, i)
	if news {
		n.advanceCommit()
	}
	for n.role == roleLeader && p.state != sendSnapshot && p.next <= n.log.last() {
		if !n.replicate(id) || p.state != sendStreaming {
			return
		}
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

// incomingSnapshot is a snapshot of which data has arrived so far.
type incomingSnapshot struct {
	meta Snapshot
	from ident.Node
	data []byte
}

func (n *Node) handleSnapshot(m Message) {
	if n.role != roleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.followed = 0, m.From
	reply := Message{Kind: KindSnapshotReply, To: m.From, Round: m.Round, Granted: true, Stamp: n.stamp()}
	if m.Snapshot == nil || m.Snapshot.Index <= n.log.commit {
		n.incoming = nil
		reply.Index = n.log.commit
		n.send(reply)
		return
	}
	if m.Kind == KindSnapshot {
		m.Piece, m.Size = m.Snapshot.Data, len(m.Snapshot.Data)
	}
	reply.Offset = n.receivePiece(m)
	if reply.Offset < m.Size {
		n.send(reply)
		return
	}
	s := n.incoming.meta
	s.Data, n.incoming = n.incoming.data, nil
	n.snapshot = s
	n.log.reset(s)
	n.restoreMembers()
	n.emit(Save{Snapshot: &s})
	n.emit(InstallSnapshot{Snapshot: s})
	reply.Index = s.Index
	n.send(reply)
}

// receivePiece stores a piece that continues the snapshot, and returns the number of bytes
// that have arrived.
func (n *Node) receivePiece(m Message) (received int) {
	in := n.incoming
	if m.Offset == 0 || in == nil || in.from != m.From || in.meta.Index != m.Snapshot.Index || in.meta.Term != m.Snapshot.Term {
		in = &incomingSnapshot{meta: *m.Snapshot, from: m.From}
		n.incoming = in
	}
	if m.Offset == len(in.data) {
		in.data = append(in.data, m.Piece...)
	}
	return len(in.data)
}

func (n *Node) handleSnapshotReply(m Message) {
	p := n.peers[m.From]
	if n.role != roleLeader || p == nil {
		return
	}
	n.recordReply(p, m)
	switch {
	case p.state != sendSnapshot:
	case m.Index >= p.snapshot.Index:
		p.probe(m.Index + 1)
		n.recordMatch(m.From, p, m.Index)
	case m.Index == 0 && (m.Offset > p.offset || m.Offset == 0):
		// It starts again from zero if the member has restarted.
		p.offset, p.awaiting = m.Offset, false
		n.sendPiece(m.From, p)
	}
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
	n.log.compact(s, CatchUpEntries, CatchUpBytes)
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
	return n.log.slice(max(n.log.first(), n.snapshot.Index+1), int(n.log.last()), math.MaxInt)
}
