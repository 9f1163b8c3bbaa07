package raft

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"chicorymast/core/ident"
)

// Ticks is a duration in calls of Node.Tick.
type Ticks int

// Config holds the settings of a node. Durations are in ticks.
type Config struct {
	ID             ident.Node
	ElectionTicks  int
	HeartbeatTicks int
	// Rand must differ between two starts of a node.
	Rand *rand.Rand
}

const (
	// batchEntries is the maximum number of entries in one message.
	batchEntries = 256
	// CatchUpEntries is how many entries before a snapshot stay in the log, so that
	// followers slightly behind need no snapshot.
	CatchUpEntries = 512
	// CatchUpBytes is the size in bytes up to which they stay.
	CatchUpBytes = 1 << 20
	// minSnapshotEntries and maxSnapshotEntries are the numbers of entries after which a new
	// snapshot may be and is written. Those after the snapshot are applied one by one when
	// a node starts, which takes about a millisecond each.
	minSnapshotEntries = 200
	maxSnapshotEntries = 1000
	// MaxLogBytes is the size of the entries after which a snapshot is written, however few.
	MaxLogBytes = 4 << 20
	// logShare is the part of the size of the last snapshot that the entries after it take at
	// least, so that snapshots cost a small multiple of the entries.
	logShare = 4
)

type role string

const (
	roleFollower     role = "follower"
	rolePreCandidate role = "pre_candidate"
	roleCandidate    role = "candidate"
	roleLeader       role = "leader"
)

// Node is one member of a Raft cluster.
type Node struct {
	cfg  Config
	hard HardState
	log  log
	// snapshot is the latest one. It is sent to followers that need entries which are
	// no longer in the log.
	snapshot Snapshot
	members  Membership
	// membersIndex is the index of the entry that set members.
	membersIndex Index

	role    role
	leader  ident.Node
	votes   map[ident.Node]bool
	peers   map[ident.Node]*progress
	tick    int
	elapsed int
	timeout int
	round   uint64
	// sentAt maps each unconfirmed heartbeat round to the tick it was sent at.
	sentAt map[uint64]int
	// confirmedAt is the tick of the newest round that a majority acknowledged.
	confirmedAt int
	// confirmed is that round.
	confirmed uint64
	// confirmedAsOf is the latest time, on this node's own clock, at which a majority is
	// known to have confirmed the leader while this node had all committed entries; negative
	// if there is none.
	confirmedAsOf int
	// stampBase makes the stamps of this start differ from those of earlier ones.
	stampBase Stamp
	// stalled is the time that Tick has not counted.
	stalled int
	// incoming is the part of a snapshot that has arrived.
	incoming *incomingSnapshot
	// forced is set during an election that a leadership transfer started.
	forced bool
	// leaderSeen is set once a leader has been known since the start.
	leaderSeen bool
	// followed is the leader whose entries or heartbeats this node received last.
	followed ident.Node
	// heardAt is the tick of the last message of each other node.
	heardAt map[ident.Node]int
	// leadingSince is the tick at which this node became the leader.
	leadingSince int

	effects []Effect
}

// New returns a node that starts from restored state.
func New(cfg Config, r Restored) *Node {
	n := &Node{
		cfg: cfg, hard: r.HardState, log: newLog(r), snapshot: r.Snapshot, role: roleFollower,
		peers: map[ident.Node]*progress{}, heardAt: map[ident.Node]int{}, confirmedAsOf: -1,
	}
	n.stampBase = Stamp(cfg.Rand.Uint64N(maxStampBase))
	n.restoreMembers()
	n.resetElectionTimer()
	return n
}

// Tick advances time by one tick.
func (n *Node) Tick() []Effect {
	n.tick++
	n.elapsed++
	if n.role == roleLeader {
		n.tickLeader()
		return n.takeEffects()
	}
	if n.elapsed >= n.timeout && n.mayCampaign() {
		n.campaign(rolePreCandidate)
	}
	return n.takeEffects()
}

// Stall tells the node of time that passed without a Tick because its host did not run.
// Election timers do not count it, so that messages which have arrived meanwhile are
// handled first, but ages do.
func (n *Node) Stall(t Ticks) {
	n.stalled += int(t)
}

// clock is the time since the node started, in ticks, stalls included.
func (n *Node) clock() int {
	return n.tick + n.stalled
}

func (n *Node) tickLeader() {
	for _, p := range n.peers {
		p.expire(n.tick, n.cfg.ElectionTicks)
	}
	if n.elapsed%n.cfg.HeartbeatTicks == 0 {
		n.heartbeat()
	}
	if n.elapsed < n.cfg.ElectionTicks {
		return
	}
	n.elapsed = 0
	if !n.quorumReplied() {
		n.becomeFollower(n.hard.Term, "")
	}
}

// quorumReplied reports whether a majority replied since the last call, and starts
// the next check.
func (n *Node) quorumReplied() bool {
	replied := 0
	for _, p := range n.members.Voters {
		if p.ID == n.cfg.ID || n.peers[p.ID].replied {
			replied++
		}
	}
	for _, p := range n.peers {
		p.replied = false
	}
	return replied >= n.majority()
}

// Step handles a received message.
func (n *Node) Step(m Message) []Effect {
	if m.To != n.cfg.ID {
		return nil
	}
	n.heardAt[m.From] = n.tick
	if n.dropsVoteRequest(m) {
		return nil
	}
	if m.Term > n.hard.Term && m.Kind != KindPreVote && !(m.Kind == KindPreVoteReply && m.Granted) {
		leader := ident.Node("")
		if m.fromLeader() {
			leader = m.From
		}
		n.becomeFollower(m.Term, leader)
	}
	if m.Term < n.hard.Term {
		n.replyToOldTerm(m)
		return n.takeEffects()
	}
	n.handle(m)
	return n.takeEffects()
}

func (n *Node) handle(m Message) {
	switch m.Kind {
	case KindPreVote, KindVote:
		n.handleVote(m)
	case KindPreVoteReply, KindVoteReply:
		n.handleVoteReply(m)
	case KindAppend:
		n.handleAppend(m)
	case KindAppendReply:
		n.handleAppendReply(m)
	case KindSnapshot, KindSnapshotPiece:
		n.handleSnapshot(m)
	case KindSnapshotReply:
		n.handleSnapshotReply(m)
	case KindElectNow:
		if n.mayCampaign() {
			n.forced = true
			n.campaign(roleCandidate)
		}
	}
}

// dropsVoteRequest reports whether to drop a vote request. A node that has received
// a message from its leader within the minimum election timeout drops it, because
// that leader still works. A leadership transfer is exempt.
func (n *Node) dropsVoteRequest(m Message) bool {
	if m.Kind != KindVote && m.Kind != KindPreVote {
		return false
	}
	hasLeader := n.leader != "" && n.leader != m.From && n.elapsed < n.cfg.ElectionTicks
	return hasLeader && !m.Forced
}

// replyToOldTerm replies to a message of an earlier term with the current term,
// so that a former leader that was isolated steps down.
func (n *Node) replyToOldTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot, KindSnapshotPiece:
		n.send(Message{Kind: KindAppendReply, To: m.From, Index: n.log.last()})
	case KindPreVote:
		n.send(Message{Kind: KindPreVoteReply, To: m.From})
	}
}

// fromLeader reports whether only a leader sends such messages.
func (m Message) fromLeader() bool {
	return m.Kind == KindAppend || m.Kind == KindSnapshot || m.Kind == KindSnapshotPiece
}

func (n *Node) becomeFollower(t Term, leader ident.Node) {
	formerRole, formerLeader := n.role, n.leader
	if t > n.hard.Term {
		n.hard = HardState{Term: t}
		n.saveHard()
	}
	n.role, n.leader, n.votes, n.forced = roleFollower, leader, nil, false
	n.leaderSeen = n.leaderSeen || leader != ""
	n.resetElectionTimer()
	if formerRole == roleLeader || leader != formerLeader {
		n.emit(LeaderChange{Term: n.hard.Term, Leader: leader})
	}
}

// startTimeoutEighths is the minimum election timeout after a start, in eighths of
// ElectionTicks. It amounts to three heartbeats, which leaves time for a leader's
// first one to arrive from another region.
const startTimeoutEighths = 3

// resetElectionTimer restarts the election timer with a random timeout. Until the
// node has seen a leader since its start, the timeout may be shorter, because the
// node follows no leader yet and a working one soon sends a heartbeat.
func (n *Node) resetElectionTimer() {
	n.elapsed = 0
	minTimeout, spread := n.cfg.ElectionTicks, n.cfg.ElectionTicks
	if !n.leaderSeen {
		minTimeout = max(1, n.cfg.ElectionTicks*startTimeoutEighths/8)
		spread = max(1, n.cfg.ElectionTicks-minTimeout)
	}
	n.timeout = minTimeout + n.cfg.Rand.IntN(spread)
}

func (n *Node) emit(e Effect) {
	n.effects = append(n.effects, e)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.emit(Send{Message: m})
}

func (n *Node) saveHard() {
	h := n.hard
	n.emit(Save{HardState: &h})
}

func (n *Node) takeEffects() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) majority() int {
	return len(n.members.Voters)/2 + 1
}

func (n *Node) isVoter(id ident.Node) bool {
	return slices.ContainsFunc(n.members.Voters, func(p Peer) bool { return p.ID == id })
}

// mayCampaign reports whether the node may start an election. A node that an
// uncommitted membership change removes still may: the others may lack that
// entry, and then they can elect no leader without this node.
func (n *Node) mayCampaign() bool {
	if n.isVoter(n.cfg.ID) {
		return true
	}
	committed := n.membersUpTo(n.log.commit)
	matches := func(p Peer) bool { return p.ID == n.cfg.ID }
	return n.membersIndex > n.log.commit && slices.ContainsFunc(committed.Voters, matches)
}

// others returns every other voter and learner.
func (n *Node) others() []Peer {
	var out []Peer
	for _, p := range slices.Concat(n.members.Voters, n.members.Learners) {
		if p.ID != n.cfg.ID {
			out = append(out, p)
		}
	}
	return out
}

// restoreMembers sets the members from the newest membership entry, or from the
// snapshot.
func (n *Node) restoreMembers() {
	n.members, n.membersIndex = n.snapshot.Members, n.snapshot.Index
	for _, e := range n.log.entries {
		if e.Kind == EntryMembers && e.Index > n.snapshot.Index {
			n.adoptMembers(e)
		}
	}
}

func (n *Node) adoptMembers(e Entry) {
	var m Membership
	if json.Unmarshal(e.Data, &m) == nil {
		n.members, n.membersIndex = m, e.Index
	}
}

// Status describes the state of a node.
type Status struct {
	ID      ident.Node
	Term    Term
	Leading bool
	Leader  ident.Node
	Commit  Index
	Last    Index
	Members Membership
	// QuorumAgeTicks is the time since a majority last confirmed the leader, as far
	// as this node knows; negative if unknown.
	QuorumAgeTicks int
	// Match is the highest index known to be stored by each other member. It is
	// set at the leader only.
	Match map[ident.Node]Index
	// SinceReply is the time since the last reply of each other member. It is set at
	// the leader only. It counts from the start of the leadership, and for the leader
	// before from its last message.
	SinceReply map[ident.Node]Ticks
	// LeadingTicks is how long this node has been the leader; zero if it is not.
	LeadingTicks Ticks
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.hard.Term, Leading: n.role == roleLeader, Leader: n.leader,
		Commit: n.log.commit, Last: n.log.last(), Members: n.members, QuorumAgeTicks: n.quorumAge(),
	}
	if s.Leading {
		s.LeadingTicks = Ticks(n.tick - n.leadingSince)
		s.Match, s.SinceReply = map[ident.Node]Index{}, map[ident.Node]Ticks{}
		for id, p := range n.peers {
			s.Match[id], s.SinceReply[id] = p.match, Ticks(n.tick-p.lastReplyAt)
		}
	}
	return s
}

func (n *Node) quorumAge() int {
	if n.role == roleLeader {
		if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
			return -1
		}
		return n.clock() - n.confirmedAt
	}
	if n.leader == "" || n.confirmedAsOf < 0 {
		return -1
	}
	return n.clock() - n.confirmedAsOf
}

// HardState returns the state that must be durable.
func (n *Node) HardState() HardState {
	return n.hard
}

// SnapshotDue reports whether a new snapshot should be written, after the given number and
// bytes of entries since the last one of the given size.
func SnapshotDue(entries, bytes, snapshotBytes int) bool {
	if entries >= maxSnapshotEntries || bytes >= max(MaxLogBytes, snapshotBytes) {
		return true
	}
	return entries >= minSnapshotEntries && bytes >= snapshotBytes/logShare
}

// SnapshotBytes returns the size of the newest snapshot in bytes.
func (n *Node) SnapshotBytes() int {
	return len(n.snapshot.Data)
}

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() Index {
	return n.snapshot.Index
}
