// Package raft is the agreement among control daemons: a replicated log with
// a leader, majority quorums and terms, after Ongaro and Ousterhout (USENIX
// ATC 2014) with pre-vote, check-quorum and one-at-a-time membership changes
// from Ongaro's thesis.
//
// # Usage
//
//	n := raft.New(raft.Config{ID: "control-1", ...}, restored)
//	effects := n.Tick()            // at a fixed interval
//	effects = n.Step(message)      // when a message arrives
//	effects, err := n.Propose(data)
//	for _, e := range effects {
//		switch e := e.(type) {
//		case raft.Save:    // make durable before the next effect
//		case raft.Send:    // send, unreliably
//		case raft.Commit:  // apply in order
//		case raft.Install: // replace the state machine's state
//		case raft.Role:    // note who leads
//		}
//	}
//
// Effects must be carried out in order, a Save before all that follow it.
// Messages may be lost, repeated and reordered. A Node is pure and not safe
// for concurrent use; time comes as ticks.
package raft

import (
	"encoding/json"
	"errors"

	"chicorymast/core/ident"
)

// Term numbers the periods of leadership.
type Term uint64

// Index is a position in the log, from 1.
type Index uint64

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("this control daemon does not lead")
	ErrChangePending = errors.New("another membership change is under way")
	ErrNotReady      = errors.New("the leader has not committed anything in its term yet")
	ErrUnknownNode   = errors.New("no such control daemon")
	ErrLearnerBehind = errors.New("the learner does not hold the whole log yet")
	ErrNoMajority    = errors.New("the step would leave no reachable majority")
	ErrLastVoter     = errors.New("the last voter can't be removed")
)

// EntryKind says what a log entry holds.
type EntryKind string

// The kinds of entries.
const (
	EntryNoop    EntryKind = "noop"
	EntryCommand EntryKind = "command"
	EntryMembers EntryKind = "members"
)

// Entry is one record of the log.
type Entry struct {
	Index Index           `json:"index"`
	Term  Term            `json:"term"`
	Kind  EntryKind       `json:"kind"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Peer is one control daemon. The ID is new for every new data folder.
type Peer struct {
	ID      ident.Node `json:"id"`
	Address string     `json:"address"`
}

// Membership is who votes and who only follows.
type Membership struct {
	Voters   []Peer `json:"voters"`
	Learners []Peer `json:"learners,omitempty"`
}

// HardState is the state that must be durable before a message tells of it.
type HardState struct {
	Term Term       `json:"term"`
	Vote ident.Node `json:"vote,omitempty"`
}

// Snapshot replaces the log up to its index.
type Snapshot struct {
	Index   Index           `json:"index"`
	Term    Term            `json:"term"`
	Members Membership      `json:"members"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Restored is what a data folder held at the start.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// MessageKind names one form of message.
type MessageKind string

// The forms of messages.
const (
	KindPreVote       MessageKind = "pre_vote"
	KindPreVoteReply  MessageKind = "pre_vote_reply"
	KindVote          MessageKind = "vote"
	KindVoteReply     MessageKind = "vote_reply"
	KindAppend        MessageKind = "append"
	KindAppendReply   MessageKind = "append_reply"
	KindSnapshot      MessageKind = "snapshot"
	KindElectNow      MessageKind = "elect_now"
	KindSnapshotReply MessageKind = "snapshot_reply"
)

// Message is what nodes tell each other.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ident.Node  `json:"from"`
	To   ident.Node  `json:"to"`
	Term Term        `json:"term"`
	// Index and LogTerm are of the entry before Entries, of the candidate's
	// last entry, or of the last matching entry in a reply.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  Index   `json:"commit,omitempty"`
	// Granted is the answer to a vote or an append.
	Granted bool `json:"granted,omitempty"`
	// Round numbers the leader's heartbeats.
	Round uint64 `json:"round,omitempty"`
	// QuorumAgeTicks is how long ago a majority confirmed the leader.
	QuorumAgeTicks int       `json:"age_ticks,omitempty"`
	Snapshot       *Snapshot `json:"snapshot,omitempty"`
	// Forced marks a vote that the leader itself asked for.
	Forced bool `json:"forced,omitempty"`
}

// Effect is what a node asks its driver to do. The set is sealed.
type Effect interface{ isEffect() }

// Save makes state durable. Entries replace all from the first one's index.
type Save struct {
	HardState *HardState `json:"hard,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
	Snapshot  *Snapshot  `json:"snapshot,omitempty"`
}

// Send sends a message.
type Send struct{ Message Message }

// Commit applies entries that are decided.
type Commit struct{ Entries []Entry }

// InstallSnapshot replaces the state machine's state.
type InstallSnapshot struct{ Snapshot Snapshot }

// LeaderChange tells of a change of leadership at this node.
type LeaderChange struct {
	Term    Term
	Leading bool
	Leader  ident.Node
}

func (Save) isEffect()            {}
func (Send) isEffect()            {}
func (Commit) isEffect()          {}
func (InstallSnapshot) isEffect() {}
func (LeaderChange) isEffect()    {}
