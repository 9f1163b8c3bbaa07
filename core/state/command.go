package state

import (
	"encoding/json"
	"errors"
	"fmt"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// Command is one change of the configuration. The set is sealed.
type Command interface {
	metadata() Metadata
	isCommand()
}

// Metadata is the part that all commands have in common.
type Metadata struct {
	ChangeID ident.ChangeID `json:"change_id"`
	Actor    ident.Actor    `json:"actor"`
	// AtMillis is the proposer's wall clock in Unix milliseconds. It is used for
	// the audit trail, never to order commands.
	AtMillis int64 `json:"at_ms"`
}

func (m Metadata) metadata() Metadata { return m }
func (Metadata) isCommand()           {}

// Confirm puts a planned intent in force.
type Confirm struct {
	Metadata
	// Base is the revision of the last confirmation when the plan was made.
	Base  ident.Revision `json:"base"`
	Patch intent.Patch   `json:"patch"`
	// Document is set if the intent came from a configuration document, whose
	// text is stored so that it can be read back.
	Document *DocumentChange `json:"document,omitempty"`
}

// GrantKey adds a key to a workspace.
type GrantKey struct {
	Metadata
	Digest    ident.KeyDigest `json:"digest"`
	Workspace ident.Workspace `json:"workspace"`
	// ExpiresMillis is in Unix milliseconds; zero means never.
	ExpiresMillis int64 `json:"expires_ms,omitempty"`
}

// WithdrawKey permanently removes a key.
type WithdrawKey struct {
	Metadata
	Key ident.KeyID `json:"key"`
}

// SetDrain starts or ends the drain of a VM: its upstreams get no new calls while
// it lasts.
type SetDrain struct {
	Metadata
	VM       ident.VM `json:"vm"`
	Draining bool     `json:"draining"`
}

// SetEvacuation starts or ends the evacuation of a data centre: no upstream there
// gets new calls while it lasts.
type SetEvacuation struct {
	Metadata
	DataCentre ident.DataCentre `json:"data_centre"`
	Evacuating bool             `json:"evacuating"`
	// Base is the revision of the last confirmation when the plan was made; zero means
	// that no plan was made. It is not part of what the change id stands for, so that an
	// order that was planned again is acknowledged again.
	Base ident.Revision `json:"base,omitempty"`
}

// AssignGroup sets the members of a replica group, which stores records of
// actions, in a data centre. The leader proposes it and changes one member at a
// time.
type AssignGroup struct {
	Metadata
	DataCentre ident.DataCentre `json:"data_centre"`
	Index      int              `json:"index"`
	// BaseEpoch is the epoch of the group that the change is based on.
	BaseEpoch ident.Revision `json:"after"`
	Members   []ident.VM     `json:"members"`
}

// Kind is the type of an encoded command.
type Kind string

// The kinds of commands.
const (
	KindConfirm       Kind = "confirm"
	KindGrantKey      Kind = "grant_key"
	KindWithdrawKey   Kind = "withdraw_key"
	KindSetDrain      Kind = "set_drain"
	KindSetEvacuation Kind = "set_evacuation"
	KindAssignGroup   Kind = "assign_group"
)

// ErrCommand is wrapped by all errors of Encode and Decode.
var ErrCommand = errors.New("unreadable command")

type envelope struct {
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// KindOf returns the kind of a command.
func KindOf(c Command) Kind {
	switch c.(type) {
	case Confirm:
		return KindConfirm
	case GrantKey:
		return KindGrantKey
	case WithdrawKey:
		return KindWithdrawKey
	case SetDrain:
		return KindSetDrain
	case SetEvacuation:
		return KindSetEvacuation
	case AssignGroup:
		return KindAssignGroup
	}
	return ""
}

// ChangeOf returns the change id of a command.
func ChangeOf(c Command) ident.ChangeID {
	return c.metadata().ChangeID
}

// SameChange reports whether two commands are one change that was sent twice.
func SameChange(a, b Command) bool {
	if ChangeOf(a) != ChangeOf(b) {
		return false
	}
	// The change id of a document contains the digest of its content.
	return (hasDocument(a) && hasDocument(b)) || commandDigest(a) == commandDigest(b)
}

// Encode encodes a command as JSON. Its errors wrap ErrCommand.
func Encode(c Command) (data []byte, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	return json.Marshal(envelope{Kind: KindOf(c), Body: body})
}

// Decode decodes a command that Encode encoded. Its errors wrap ErrCommand.
func Decode(data []byte) (Command, error) {
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	switch env.Kind {
	case KindConfirm:
		return decodeBody[Confirm](env.Body)
	case KindGrantKey:
		return decodeBody[GrantKey](env.Body)
	case KindWithdrawKey:
		return decodeBody[WithdrawKey](env.Body)
	case KindSetDrain:
		return decodeBody[SetDrain](env.Body)
	case KindSetEvacuation:
		return decodeBody[SetEvacuation](env.Body)
	case KindAssignGroup:
		return decodeBody[AssignGroup](env.Body)
	}
	return nil, fmt.Errorf("%w: kind %q", ErrCommand, env.Kind)
}

func decodeBody[C Command](body []byte) (Command, error) {
	var c C
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	return c, nil
}
