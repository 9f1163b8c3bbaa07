// Package state is the configuration as a deterministic state machine: the
// same commands in the same order give the same state on every VM.
//
// # Usage
//
//	st := state.New()
//	data, err := state.Encode(state.Confirm{...})
//	cmd, err := state.Decode(data)
//	result := st.Apply(cmd)
//	copy := st.Clone()              // an immutable copy to publish
//
// A command whose change id was seen before returns the first result and
// changes nothing. Every accepted command raises the revision by one. The
// state is not safe for concurrent use; nothing here reads a clock.
package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// KeptChanges is how many results are kept for resent change ids, and how
// many lines the audit trail has.
const KeptChanges = 20_000

// Outcome says what became of a command.
type Outcome string

// The outcomes of commands.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
)

// Result is the answer to one command; it is also its line of the audit trail.
type Result struct {
	ChangeID ident.ChangeID `json:"change_id"`
	Kind     Kind           `json:"kind"`
	Actor    ident.Actor    `json:"actor"`
	AtMillis int64          `json:"at_ms"`
	Outcome  Outcome        `json:"outcome"`
	Revision ident.Revision `json:"revision"`
	// ConflictsWith is the change that took the base revision of a conflicting one.
	ConflictsWith ident.ChangeID `json:"winner,omitempty"`
	Detail        string         `json:"detail,omitempty"`
	// Digest is of the command; the same change id with another content is refused.
	Digest string `json:"digest"`
}

// Key is a caller's key as the system knows it.
type Key struct {
	ID            ident.KeyID     `json:"id"`
	Workspace     ident.Workspace `json:"workspace"`
	ExpiresMillis int64           `json:"expires_ms,omitempty"`
}

// State is the whole configuration at one revision.
type State struct {
	Revision ident.Revision          `json:"revision"`
	Intent   intent.Intent           `json:"intent"`
	Keys     map[ident.KeyDigest]Key `json:"keys"`
	Drains   map[ident.VM]bool       `json:"drains"`
	// ReplicaGroups are the replicas of actions' records in each data centre.
	ReplicaGroups map[ident.DataCentre][]ReplicaGroup `json:"groups"`
	// ConfirmedBy is the change that last replaced the intent, at ConfirmedAt.
	ConfirmedBy ident.ChangeID `json:"confirmed_by"`
	ConfirmedAt ident.Revision `json:"confirmed_at"`
	// Document is the intent as its writer wrote it, if it was a document.
	Document   Document                  `json:"document"`
	Results    map[ident.ChangeID]Result `json:"results"`
	AuditTrail []ident.ChangeID          `json:"trail"`

	items    sum
	prepared bool
}

// New returns the state at revision zero.
func New() *State {
	return &State{
		Intent:        intent.Empty(),
		Keys:          map[ident.KeyDigest]Key{},
		Drains:        map[ident.VM]bool{},
		ReplicaGroups: map[ident.DataCentre][]ReplicaGroup{},
		Results:       map[ident.ChangeID]Result{},
	}
}

// Clone returns a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	c := *s
	c.Keys = maps.Clone(s.Keys)
	c.Drains = maps.Clone(s.Drains)
	c.ReplicaGroups = maps.Clone(s.ReplicaGroups)
	c.Results = maps.Clone(s.Results)
	c.AuditTrail = slices.Clone(s.AuditTrail)
	return &c
}

// WithoutHistory returns a copy without the results of past changes: what daemons
// need that do not answer operators.
func (s *State) WithoutHistory() *State {
	c := *s
	c.Keys = maps.Clone(s.Keys)
	c.Drains = maps.Clone(s.Drains)
	c.ReplicaGroups = maps.Clone(s.ReplicaGroups)
	c.Results = map[ident.ChangeID]Result{}
	c.AuditTrail = nil
	c.Document.Text = ""
	return &c
}

// Apply carries out one command and returns its result.
func (s *State) Apply(c Command) Result {
	digest := commandDigest(c)
	h := c.head()
	if first, seen := s.Results[h.ChangeID]; seen {
		if isDocument(c) {
			return first // the change id stands for the content
		}
		return resent(first, digest)
	}
	r := s.execute(c)
	r.ChangeID, r.Kind, r.Actor, r.AtMillis, r.Digest = h.ChangeID, KindOf(c), h.Actor, h.AtMillis, digest
	r.Revision = s.Revision
	// A document that was refused may be sent again when its base is in force.
	if r.Outcome == OutcomeAccepted || !isDocument(c) {
		s.record(r)
	}
	return r
}

// ApplyAccepted carries out a command that is known to be accepted, on a daemon that
// answers no operators: nothing is recorded.
func (s *State) ApplyAccepted(c Command) {
	s.execute(c)
}

func resent(first Result, digest string) Result {
	if first.Digest == digest {
		return first
	}
	first.Outcome = OutcomeInvalid
	first.Detail = "this change id was used for another change"
	return first
}

func (s *State) execute(c Command) Result {
	switch c := c.(type) {
	case Confirm:
		return s.confirm(c)
	case GrantKey:
		return s.grantKey(c)
	case WithdrawKey:
		return s.withdrawKey(c)
	case SetDrain:
		return s.setDrain(c)
	case AssignGroup:
		return s.assignGroup(c)
	}
	return Result{Outcome: OutcomeInvalid, Detail: "unknown command"}
}

func (s *State) accept() Result {
	s.Revision++
	return Result{Outcome: OutcomeAccepted}
}

func isDocument(c Command) bool {
	confirm, ok := c.(Confirm)
	return ok && confirm.Document != nil
}

func (s *State) confirm(c Confirm) Result {
	if c.Document != nil {
		if r, ok := s.checkDocument(c.Document); !ok {
			return r
		}
	}
	if c.Base != s.ConfirmedAt {
		detail := fmt.Sprintf("planned on revision %d, but %d is in force", c.Base, s.ConfirmedAt)
		return Result{Outcome: OutcomeConflict, ConflictsWith: s.ConfirmedBy, Detail: detail}
	}
	want := c.Patch.Apply(s.Intent)
	if err := intent.Check("intent", want); err != nil {
		return Result{Outcome: OutcomeInvalid, Detail: err.Error()}
	}
	s.prepare()
	r := s.accept()
	s.mixPatch(s.Intent, c.Patch)
	s.Intent = want
	s.ConfirmedBy, s.ConfirmedAt = c.ChangeID, s.Revision
	if c.Document != nil {
		s.takeDocument(c.Document)
	}
	s.dropOrphanKeys()
	return r
}

// dropOrphanKeys ends the keys of workspaces that are no longer in the intent.
func (s *State) dropOrphanKeys() {
	maps.DeleteFunc(s.Keys, func(d ident.KeyDigest, k Key) bool {
		_, known := s.Intent.Workspaces[k.Workspace]
		if !known {
			s.items.mix("key", string(d), k)
		}
		return !known
	})
}

func (s *State) grantKey(c GrantKey) Result {
	if _, ok := s.Intent.Workspaces[c.Workspace]; !ok {
		return Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("no workspace %q", c.Workspace)}
	}
	if len(c.Digest) != hex.EncodedLen(sha256.Size) {
		return Result{Outcome: OutcomeInvalid, Detail: "not a key digest"}
	}
	if _, taken := s.Keys[c.Digest]; taken {
		return Result{Outcome: OutcomeInvalid, Detail: "this key is already granted"}
	}
	s.prepare()
	r := s.accept()
	key := Key{ID: ident.PublicID(c.Digest), Workspace: c.Workspace, ExpiresMillis: c.ExpiresMillis}
	s.Keys[c.Digest] = key
	s.items.mix("key", string(c.Digest), key)
	return r
}

func (s *State) withdrawKey(c WithdrawKey) Result {
	for digest, key := range s.Keys {
		if key.ID == c.Key {
			s.prepare()
			s.items.mix("key", string(digest), key)
			delete(s.Keys, digest)
			return s.accept()
		}
	}
	return Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("no key %q", c.Key)}
}

func (s *State) setDrain(c SetDrain) Result {
	s.prepare()
	if s.Drains[c.VM] != c.Draining {
		s.items.mix("drain", string(c.VM), true)
	}
	if c.Draining {
		s.Drains[c.VM] = true
	} else {
		delete(s.Drains, c.VM)
	}
	return s.accept()
}

func (s *State) record(r Result) {
	s.Results[r.ChangeID] = r
	s.AuditTrail = append(s.AuditTrail, r.ChangeID)
	if len(s.AuditTrail) > KeptChanges {
		delete(s.Results, s.AuditTrail[0])
		s.AuditTrail = s.AuditTrail[1:]
	}
}

// KeyCounts returns the number of valid keys of each workspace.
func (s *State) KeyCounts() map[ident.Workspace]int {
	counts := map[ident.Workspace]int{}
	for _, key := range s.Keys {
		counts[key.Workspace]++
	}
	return counts
}

// commandDigest covers the content of a command but not when and by whom it
// was sent, so that a resent command is recognised.
func commandDigest(c Command) string {
	data, err := Encode(withoutHead(c))
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

func withoutHead(c Command) Command {
	switch c := c.(type) {
	case Confirm:
		c.Metadata = Metadata{}
		return c
	case GrantKey:
		c.Metadata = Metadata{}
		return c
	case WithdrawKey:
		c.Metadata = Metadata{}
		return c
	case SetDrain:
		c.Metadata = Metadata{}
		return c
	case AssignGroup:
		c.Metadata = Metadata{}
		return c
	}
	return c
}
