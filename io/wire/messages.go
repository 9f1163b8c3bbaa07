package wire

import (
	"encoding/json"

	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
)

// The methods between daemons.
const (
	// MethodSync renews a daemon's announcement at its relay and brings back
	// what is new.
	MethodSync Method = "sync"
	// MethodPull brings one relay's own members to another.
	MethodPull Method = "pull"
	// MethodPropose asks the control part for a change.
	MethodPropose Method = "propose"
)

// SyncRequest is sent by a daemon to its relay.
type SyncRequest struct {
	Entry        member.Entry   `json:"entry"`
	HaveRevision ident.Revision `json:"have_revision"`
	HaveDigest   string         `json:"have_digest,omitempty"`
	Directory    Mark           `json:"directory"`
	// WaitMs is how long the relay may wait for something new.
	WaitMs int64 `json:"wait_ms"`
}

// Mark is a place in the stream of changes of one directory.
type Mark struct {
	// Epoch changes when the directory starts anew.
	Epoch  string `json:"epoch,omitempty"`
	Change uint64 `json:"change"`
}

// SyncReply is the relay's answer.
type SyncReply struct {
	Relay     ident.VM     `json:"relay"`
	Config    *ConfigDelta `json:"config,omitempty"`
	AgeMs     int64        `json:"age_ms"`
	Directory Mark         `json:"directory"`
	// Whole is set when Members replaces all that was known.
	Whole   bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
}

// ConfigDelta leads from one revision to another: by commands, or by a
// snapshot when the commands are no longer kept.
type ConfigDelta struct {
	Revision ident.Revision    `json:"revision"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	Snapshot *state.State      `json:"snapshot,omitempty"`
	Digest   string            `json:"digest"`
}

// PullRequest is sent by one relay to another.
type PullRequest struct {
	From ident.VM `json:"from"`
	Have Mark     `json:"have"`
}

// PullReply lists the changed members that announce themselves to the relay.
type PullReply struct {
	Relay   ident.VM       `json:"relay"`
	Mark    Mark           `json:"mark"`
	Whole   bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
}

// ProposeRequest carries an encoded command.
type ProposeRequest struct {
	Command json.RawMessage `json:"command"`
	// Forwarded is set by a control daemon that is not the leader.
	Forwarded bool `json:"forwarded,omitempty"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	Result state.Result `json:"result"`
	// Leader is the control address to ask instead, when the asked daemon
	// does not lead.
	Leader string `json:"leader,omitempty"`
	// Unknown is set when the change may still be accepted.
	Unknown bool `json:"unknown,omitempty"`
	// Done is set when Result is the final answer.
	Done bool `json:"done"`
}
