package raft

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"chicorymast/core/ident"
)

// Ticks is a span of time in the agreement's unit.
type Ticks int

// Config sets up a node. Times are in ticks.
type Config struct {
	ID             ident.Node
	ElectionTicks  int
	HeartbeatTicks int
	Rand           *rand.Rand
}

const (
	// batchEntries is the most entries in one message.
	batchEntries = 256
	// CatchUpEntries stay in the log after a snapshot, for followers that are a
	// little behind.
	CatchUpEntries = 256
)

type role string

const (
	roleFollower     role = "follower"
	rolePreCandidate role = "pre_candidate"
	roleCandidate    role = "candidate"
	roleLeader       role = "leader"
)

// progress is what a leader knows of a follower.
type progress struct {
	match, next Index
	// heard is set when the follower answered since the last check.
	heard bool
	// heardAt is the tick of its last answer.
	heardAt int
	// round is the newest heartbeat that the follower answered.
	round uint64
	// snapshotAt is the tick at which a snapshot was sent last.
	snapshotAt int
}

// Node is one member of the agreement.
type Node struct {
	cfg  Config
	hard HardState
	log  log
	// snapshot is the newest one, for followers that are far behind.
	snapshot Snapshot
	members  Membership
	// membersAt is the log entry that members come from.
	membersAt Index

	role    role
	leader  ident.Node
	votes   map[ident.Node]bool
	peers   map[ident.Node]*progress
	tick    int
	elapsed int
	timeout int
	round   uint64
	// sentAt remembers when each unconfirmed heartbeat round was sent.
	sentAt map[uint64]int
	// confirmedAt is the tick of the newest round that a majority answered.
	confirmedAt int
	// confirmed is that round.
	confirmed uint64
	leaderAge int
	ageAt     int
	forced    bool
	// settled is set once a leader was known since the start.
	settled bool

	effects []Effect
}

// New returns a node with the state of its data folder.
func New(cfg Config, r Restored) *Node {
	n := &Node{cfg: cfg, hard: r.HardState, log: newLog(r), snapshot: r.Snapshot, role: roleFollower, peers: map[ident.Node]*progress{}}
	n.findMembers()
	n.resetTimeout()
	return n
}

// Tick moves time on by one tick.
func (n *Node) Tick() []Effect {
	n.tick++
	n.elapsed++
	if n.role == roleLeader {
		n.tickLeader()
		return n.take()
	}
	if n.elapsed >= n.timeout && n.mayLead() {
		n.campaign(rolePreCandidate)
	}
	return n.take()
}

func (n *Node) tickLeader() {
	if n.elapsed%n.cfg.HeartbeatTicks == 0 {
		n.heartbeat()
	}
	if n.elapsed < n.cfg.ElectionTicks {
		return
	}
	n.elapsed = 0
	if !n.quorumHeard() {
		n.becomeFollower(n.hard.Term, "")
	}
}

// quorumHeard reports whether a majority answered since the last check, and
// begins a new check.
func (n *Node) quorumHeard() bool {
	heard := 0
	for _, p := range n.members.Voters {
		if p.ID == n.cfg.ID || n.peers[p.ID].heard {
			heard++
		}
	}
	for _, p := range n.peers {
		p.heard = false
	}
	return heard >= n.majority()
}

// Step takes a message.
func (n *Node) Step(m Message) []Effect {
	if m.To != n.cfg.ID {
		return nil
	}
	if n.ignoresVote(m) {
		return nil
	}
	if m.Term > n.hard.Term && m.Kind != KindPreVote && !(m.Kind == KindPreVoteReply && m.Granted) {
		leader := ident.Node("")
		if m.Kind == KindAppend || m.Kind == KindSnapshot {
			leader = m.From
		}
		n.becomeFollower(m.Term, leader)
	}
	if m.Term < n.hard.Term {
		n.answerOldTerm(m)
		return n.take()
	}
	n.handle(m)
	return n.take()
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
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindSnapshotReply:
		n.handleAppendReply(m)
	case KindElectNow:
		if n.mayLead() {
			n.forced = true
			n.campaign(roleCandidate)
		}
	}
}

// ignoresVote protects a working leader: a node that has heard from it lately
// helps nobody to replace it.
func (n *Node) ignoresVote(m Message) bool {
	if m.Kind != KindVote && m.Kind != KindPreVote {
		return false
	}
	following := n.leader != "" && n.leader != m.From && n.elapsed < n.cfg.ElectionTicks
	return following && !m.Forced
}

// answerOldTerm tells the sender of an old message the present term, so that
// an isolated old leader learns of it.
func (n *Node) answerOldTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: KindAppendReply, To: m.From, Index: n.log.last()})
	case KindPreVote:
		n.send(Message{Kind: KindPreVoteReply, To: m.From})
	}
}

func (n *Node) becomeFollower(t Term, leader ident.Node) {
	was, had := n.role, n.leader
	if t > n.hard.Term {
		n.hard = HardState{Term: t}
		n.saveHard()
	}
	n.role, n.leader, n.votes, n.forced = roleFollower, leader, nil, false
	n.settled = n.settled || leader != ""
	n.resetTimeout()
	if was == roleLeader || leader != had {
		n.emit(LeaderChange{Term: n.hard.Term, Leader: leader})
	}
}

// startEighths of the shortest wait for a leader are kept by a node that has just
// started: three heartbeats, of which a leader's first needs a way across regions.
const startEighths = 3

// resetTimeout begins a new wait for a leader. A node that has just started
// waits less: it has no leader to lose, and one that is there soon says so.
func (n *Node) resetTimeout() {
	n.elapsed = 0
	least, spread := n.cfg.ElectionTicks, n.cfg.ElectionTicks
	if !n.settled {
		least = max(1, n.cfg.ElectionTicks*startEighths/8)
		spread = max(1, n.cfg.ElectionTicks-least)
	}
	n.timeout = least + n.cfg.Rand.IntN(spread)
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

func (n *Node) take() []Effect {
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

// mayLead reports whether the node may ask for votes. One that is left out by
// an undecided change still may: the others may lack that entry and be unable
// to elect anyone without it.
func (n *Node) mayLead() bool {
	if n.isVoter(n.cfg.ID) {
		return true
	}
	decided := n.membersUpTo(n.log.commit)
	is := func(p Peer) bool { return p.ID == n.cfg.ID }
	return n.membersAt > n.log.commit && slices.ContainsFunc(decided.Voters, is)
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

// findMembers takes the members from the newest entry that holds them.
func (n *Node) findMembers() {
	n.members, n.membersAt = n.snapshot.Members, n.snapshot.Index
	for _, e := range n.log.entries {
		if e.Kind == EntryMembers && e.Index > n.snapshot.Index {
			n.adopt(e)
		}
	}
}

func (n *Node) adopt(e Entry) {
	var m Membership
	if json.Unmarshal(e.Data, &m) == nil {
		n.members, n.membersAt = m, e.Index
	}
}

// Status is what a node says of itself.
type Status struct {
	ID      ident.Node
	Term    Term
	Leading bool
	Leader  ident.Node
	Commit  Index
	Last    Index
	Members Membership
	// QuorumAgeTicks is how long ago a majority confirmed the leader, as far as
	// this node knows; it is negative when it knows nothing.
	QuorumAgeTicks int
	// Match is how far each follower is, at the leader only.
	Match map[ident.Node]Index
	// SinceReply is for how long each follower has not answered, at the leader only.
	SinceReply map[ident.Node]Ticks
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.hard.Term, Leading: n.role == roleLeader, Leader: n.leader,
		Commit: n.log.commit, Last: n.log.last(), Members: n.members, QuorumAgeTicks: n.age(),
	}
	if s.Leading {
		s.Match, s.SinceReply = map[ident.Node]Index{}, map[ident.Node]Ticks{}
		for id, p := range n.peers {
			s.Match[id], s.SinceReply[id] = p.match, Ticks(n.tick-p.heardAt)
		}
	}
	return s
}

func (n *Node) age() int {
	if n.role == roleLeader {
		if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
			return -1
		}
		return n.tick - n.confirmedAt
	}
	if n.leader == "" || n.ageAt == 0 {
		return -1
	}
	return n.leaderAge + n.tick - n.ageAt
}

// HardState returns the state that must be durable.
func (n *Node) HardState() HardState {
	return n.hard
}

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() Index {
	return n.snapshot.Index
}
