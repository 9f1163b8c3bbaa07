// Package state holds the configuration as a deterministic state machine: the
// same commands in the same order produce the same state on every VM.
//
// # Usage
//
//	st := state.New()
//	data, err := state.Encode(state.Confirm{...})
//	cmd, err := state.Decode(data)
//	result := st.Apply(cmd)
//	published := st.Clone()         // a copy for readers
//
// A command whose change id was seen before returns the first result and
// changes nothing. Every accepted command increments the revision. A State is
// not safe for concurrent use; no function in this package reads a clock.
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

// KeptChanges is how many results are kept, to recognise resent changes and as the
// audit trail.
const KeptChanges = 20_000

// Outcome says whether a command was accepted.
type Outcome string

// The outcomes of commands.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
)

// Result is the result of one command. It also serves as its entry in the audit
// trail.
type Result struct {
	ChangeID ident.ChangeID `json:"change_id"`
	Kind     Kind           `json:"kind"`
	Actor    ident.Actor    `json:"actor"`
	AtMillis int64          `json:"at_ms"`
	Outcome  Outcome        `json:"outcome"`
	Revision ident.Revision `json:"revision"`
	// ConflictsWith is the confirmed change that a rejected one conflicts with.
	ConflictsWith ident.ChangeID `json:"winner,omitempty"`
	Detail        string         `json:"detail,omitempty"`
	// Digest is the hash of the command without its metadata. A change id that is
	// reused for another command is rejected.
	Digest string `json:"digest"`
}

// Key is a caller's key, stored under its digest.
type Key struct {
	ID            ident.KeyID     `json:"id"`
	Workspace     ident.Workspace `json:"workspace"`
	ExpiresMillis int64           `json:"expires_ms,omitempty"`
}

// State is the complete configuration at one revision.
type State struct {
	Revision ident.Revision          `json:"revision"`
	Intent   intent.Intent           `json:"intent"`
	Keys     map[ident.KeyDigest]Key `json:"keys"`
	Drains   map[ident.VM]bool       `json:"drains"`
	// Evacuations are the data centres whose upstreams get no new calls. The field is
	// left out while it is empty: earlier releases don't know it.
	Evacuations map[ident.DataCentre]bool `json:"evacuations,omitempty"`
	// ReplicaGroups are the replica groups of each data centre.
	ReplicaGroups map[ident.DataCentre][]ReplicaGroup `json:"groups"`
	// ConfirmedBy is the change that last replaced the intent, and ConfirmedAt the
	// revision that it created.
	ConfirmedBy ident.ChangeID `json:"confirmed_by"`
	ConfirmedAt ident.Revision `json:"confirmed_at"`
	// Document is the last confirmed configuration document.
	Document   Document                  `json:"document"`
	Results    map[ident.ChangeID]Result `json:"results"`
	AuditTrail []ident.ChangeID          `json:"trail"`

	itemHash    itemSum
	itemsHashed bool
}

// New returns an empty state, at revision zero.
func New() *State {
	return &State{
		Intent:        intent.Empty(),
		Keys:          map[ident.KeyDigest]Key{},
		Drains:        map[ident.VM]bool{},
		Evacuations:   map[ident.DataCentre]bool{},
		ReplicaGroups: map[ident.DataCentre][]ReplicaGroup{},
		Results:       map[ident.ChangeID]Result{},
	}
}

// Clone returns a copy that later calls of Apply on s do not affect.
func (s *State) Clone() *State {
	c := *s
	c.Keys = maps.Clone(s.Keys)
	c.Drains = maps.Clone(s.Drains)
	c.Evacuations = maps.Clone(s.Evacuations)
	c.ReplicaGroups = maps.Clone(s.ReplicaGroups)
	c.Results = maps.Clone(s.Results)
	c.AuditTrail = slices.Clone(s.AuditTrail)
	return &c
}

// WithoutHistory returns a copy without the results of past changes and the
// text of the document, which only control daemons need.
func (s *State) WithoutHistory() *State {
	c := *s
	c.Keys = maps.Clone(s.Keys)
	c.Drains = maps.Clone(s.Drains)
	c.Evacuations = maps.Clone(s.Evacuations)
	c.ReplicaGroups = maps.Clone(s.ReplicaGroups)
	c.Results = map[ident.ChangeID]Result{}
	c.AuditTrail = nil
	c.Document.Text = ""
	return &c
}

// Apply executes one command, records its result and returns it.
func (s *State) Apply(c Command) Result {
	digest := commandDigest(c)
	m := c.metadata()
	if earlier, seen := s.Results[m.ChangeID]; seen {
		if hasDocument(c) {
			return earlier // the change id contains the digest of the content
		}
		return resentResult(earlier, digest)
	}
	r := s.execute(c)
	r.ChangeID, r.Kind, r.Actor, r.AtMillis, r.Digest = m.ChangeID, KindOf(c), m.Actor, m.AtMillis, digest
	r.Revision = s.Revision
	// A rejected document may be resent once its base is in force, so its result is
	// not recorded.
	if r.Outcome == OutcomeAccepted || !hasDocument(c) {
		s.record(r)
	}
	return r
}

// ApplyAccepted executes a command that a control daemon has accepted. It does
// not record the result.
func (s *State) ApplyAccepted(c Command) {
	s.execute(c)
}

func resentResult(earlier Result, digest string) Result {
	if earlier.Digest == digest {
		return earlier
	}
	earlier.Outcome = OutcomeInvalid
	earlier.Detail = "this change id was used for another change"
	return earlier
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
	case SetEvacuation:
		return s.setEvacuation(c)
	case AssignGroup:
		return s.assignGroup(c)
	}
	return Result{Outcome: OutcomeInvalid, Detail: "unknown command"}
}

func (s *State) accept() Result {
	s.Revision++
	return Result{Outcome: OutcomeAccepted}
}

func hasDocument(c Command) bool {
	confirm, ok := c.(Confirm)
	return ok && confirm.Document != nil
}

func (s *State) confirm(c Confirm) Result {
	text := ""
	if c.Document != nil {
		var r Result
		var ok bool
		if text, r, ok = s.checkDocument(c.Document); !ok {
			return r
		}
	}
	if c.Base != s.ConfirmedAt {
		return s.overtaken(c.Base)
	}
	want := c.Patch.Apply(s.Intent)
	if err := intent.Check("intent", want); err != nil {
		return Result{Outcome: OutcomeInvalid, Detail: err.Error()}
	}
	s.hashItems()
	r := s.accept()
	s.togglePatch(s.Intent, c.Patch)
	s.Intent = want
	s.ConfirmedBy, s.ConfirmedAt = c.ChangeID, s.Revision
	if c.Document != nil {
		s.setDocument(c.Document, text)
	}
	s.dropOrphanKeys()
	return r
}

// overtaken is the result of a change whose plan was made before the last confirmation.
func (s *State) overtaken(base ident.Revision) Result {
	detail := fmt.Sprintf("planned on revision %d, but %d is in force", base, s.ConfirmedAt)
	return Result{Outcome: OutcomeConflict, ConflictsWith: s.ConfirmedBy, Detail: detail}
}

// dropOrphanKeys removes the keys of workspaces that are no longer in the intent.
func (s *State) dropOrphanKeys() {
	maps.DeleteFunc(s.Keys, func(d ident.KeyDigest, k Key) bool {
		_, known := s.Intent.Workspaces[k.Workspace]
		if !known {
			s.itemHash.toggle("key", string(d), k)
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
	if _, exists := s.Keys[c.Digest]; exists {
		return Result{Outcome: OutcomeInvalid, Detail: "this key is already granted"}
	}
	s.hashItems()
	r := s.accept()
	key := Key{ID: ident.PublicID(c.Digest), Workspace: c.Workspace, ExpiresMillis: c.ExpiresMillis}
	s.Keys[c.Digest] = key
	s.itemHash.toggle("key", string(c.Digest), key)
	return r
}

func (s *State) withdrawKey(c WithdrawKey) Result {
	for digest, key := range s.Keys {
		if key.ID == c.Key {
			s.hashItems()
			s.itemHash.toggle("key", string(digest), key)
			delete(s.Keys, digest)
			return s.accept()
		}
	}
	return Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("no key %q", c.Key)}
}

func (s *State) setDrain(c SetDrain) Result {
	s.hashItems()
	if s.Drains[c.VM] != c.Draining {
		s.itemHash.toggle("drain", string(c.VM), true)
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

// KeyCounts returns the number of granted keys of each workspace, expired ones
// included.
func (s *State) KeyCounts() map[ident.Workspace]int {
	counts := map[ident.Workspace]int{}
	for _, key := range s.Keys {
		counts[key.Workspace]++
	}
	return counts
}

// commandDigest hashes a command without its metadata, so that a resent command
// has the same digest regardless of time and sender.
func commandDigest(c Command) string {
	data, err := Encode(withoutMetadata(c))
	if err != nil {
		return ""
	}
	hash := sha256.Sum256(data)
	return hex.EncodeToString(hash[:16])
}

func withoutMetadata(c Command) Command {
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
	case SetEvacuation:
		c.Metadata, c.Base = Metadata{}, 0
		return c
	case AssignGroup:
		c.Metadata = Metadata{}
		return c
	}
	return c
}
