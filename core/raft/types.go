// Package raft implements consensus among control daemons: a replicated log
// with a leader, majority quorums and terms, after Ongaro and Ousterhout (USENIX
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
//		case raft.Save:            // make durable before the next effect
//		case raft.Send:            // send, without a delivery guarantee
//		case raft.Commit:          // apply in order
//		case raft.InstallSnapshot: // replace the state machine's state
//		case raft.LeaderChange:    // record the leader
//		}
//	}
//
// Effects must be executed in order; a Save must be durable before the next
// effect starts. Messages may be lost, repeated and reordered. A Node does no
// I/O, reads no clock (time is counted in ticks) and is not safe for concurrent
// use.
package raft

import (
	"encoding/json"
	"errors"

	"chicorymast/core/ident"
)

// Term numbers the leadership terms.
type Term uint64

// Stamp is a reading of a node's own clock, in ticks from a random base, or zero.
type Stamp uint64

// Index is a position in the log. The first one is 1.
type Index uint64

// Errors of proposals and membership changes.
var (
	ErrNotLeader     = errors.New("this control daemon does not lead")
	ErrChangePending = errors.New("another membership change is under way")
	ErrNotReady      = errors.New("the leader has not committed anything in its term yet")
	ErrUnknownNode   = errors.New("no such control daemon")
	ErrLearnerBehind = errors.New("the learner does not hold the whole log yet")
	ErrNoMajority    = errors.New("the step would leave no reachable majority")
	ErrLastVoter     = errors.New("the last voter can't be removed")
)

// EntryKind is the type of a log entry.
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

// Peer is one control daemon. Every new data folder has a new ID.
type Peer struct {
	ID      ident.Node `json:"id"`
	Address string     `json:"address"`
}

// Membership is the set of voters and learners. Learners receive the log but do not vote.
type Membership struct {
	Voters   []Peer `json:"voters"`
	Learners []Peer `json:"learners,omitempty"`
}

// HardState is the state that must be durable before a message that depends on it
// is sent.
type HardState struct {
	Term Term       `json:"term"`
	Vote ident.Node `json:"vote,omitempty"`
}

// Snapshot replaces the log up to and including its index.
type Snapshot struct {
	Index   Index           `json:"index"`
	Term    Term            `json:"term"`
	Members Membership      `json:"members"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Restored is the state read from a data folder at start-up.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// MessageKind is the type of a message.
type MessageKind string

// The kinds of messages.
const (
	KindPreVote       MessageKind = "pre_vote"
	KindPreVoteReply  MessageKind = "pre_vote_reply"
	KindVote          MessageKind = "vote"
	KindVoteReply     MessageKind = "vote_reply"
	KindAppend        MessageKind = "append"
	KindAppendReply   MessageKind = "append_reply"
	KindElectNow      MessageKind = "elect_now"
	KindSnapshotPiece MessageKind = "snapshot_piece"
	KindSnapshotReply MessageKind = "snapshot_reply"
	// KindSnapshot carries a whole snapshot; only earlier releases send it.
	KindSnapshot MessageKind = "snapshot"
)

// Message is sent from one node to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ident.Node  `json:"from"`
	To   ident.Node  `json:"to"`
	Term Term        `json:"term"`
	// Index and LogTerm identify the entry before Entries, or the last entry of
	// the candidate. In a reply, Index is the last matching entry, or on a
	// rejection the highest that may match.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  Index   `json:"commit,omitempty"`
	// Granted is the result of a vote or an append.
	Granted bool `json:"granted,omitempty"`
	// Round is the number of the leader's latest heartbeat round.
	Round uint64 `json:"round,omitempty"`
	// Rejected is, in a reply without Granted, the index of the message that was rejected;
	// earlier releases leave it out.
	Rejected Index `json:"rejected,omitempty"`
	// QuorumAgeTicks is the time since a majority last confirmed the leader.
	QuorumAgeTicks int `json:"age_ticks,omitempty"`
	// Stamp is the follower's own clock at its reply. The leader returns the newest one as
	// Echo: the message was sent after that, however long it was on its way.
	Stamp Stamp `json:"stamp,omitempty"`
	Echo  Stamp `json:"echo,omitempty"`
	// Snapshot is sent without its data, of which the message holds the Piece at Offset.
	// Size is that of all data. In a reply, Offset is the number of bytes received.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Piece    []byte    `json:"piece,omitempty"`
	Offset   int       `json:"offset,omitempty"`
	Size     int       `json:"size,omitempty"`
	// Forced marks a vote request that is part of a leadership transfer.
	Forced bool `json:"forced,omitempty"`
}

// Effect is an operation that the caller must execute. The set is sealed.
type Effect interface{ isEffect() }

// Save makes state durable. Entries replace all stored entries from the index of
// the first one on.
type Save struct {
	HardState *HardState `json:"hard,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
	Snapshot  *Snapshot  `json:"snapshot,omitempty"`
}

// Send sends a message.
type Send struct{ Message Message }

// Commit applies committed entries.
type Commit struct{ Entries []Entry }

// InstallSnapshot replaces the state machine's state.
type InstallSnapshot struct{ Snapshot Snapshot }

// LeaderChange reports a new leader, or its loss, as known to this node.
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
