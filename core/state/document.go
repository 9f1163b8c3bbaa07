package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"chicorymast/core/delta"
	"chicorymast/core/ident"
)

// DocumentVersion is the number that a document's writer gave it; zero means
// that there was none.
type DocumentVersion uint64

// Document is the intent in force as its writer wrote it. Only control
// daemons keep the text.
type Document struct {
	Version DocumentVersion `json:"version"`
	Digest  string          `json:"digest,omitempty"`
	Text    string          `json:"text,omitempty"`
}

// DocumentChange puts a new document in the place of the one it builds on.
type DocumentChange struct {
	Base    DocumentVersion `json:"base"`
	Version DocumentVersion `json:"version"`
	// Digest is that of the whole new text.
	Digest string      `json:"digest"`
	Delta  delta.Delta `json:"delta"`
}

// DocumentDigest returns the hash of a document's text.
func DocumentDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// DocumentChangeID names the change that a document asks for: the same
// content under the same number is the same change, whoever sends it again.
func DocumentChangeID(v DocumentVersion, digest string) ident.ChangeID {
	return ident.ChangeID(fmt.Sprintf("document/%d/%s", v, digest))
}

// checkDocument refuses a document that builds on another version than the
// one in force, or that does not follow it.
func (s *State) checkDocument(d *DocumentChange) (r Result, ok bool) {
	have := s.Document.Version
	if d.Base != have {
		return Result{Outcome: OutcomeConflict, ConflictsWith: s.ConfirmedBy, Detail: fmt.Sprintf("built on version %d, but %d is in force", d.Base, have)}, false
	}
	if d.Version <= have {
		return Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("version %d is not above %d, which is in force", d.Version, have)}, false
	}
	if _, fits := s.newText(d); !fits {
		return Result{Outcome: OutcomeInvalid, Detail: "the delta does not lead to the document that it names"}, false
	}
	return Result{}, true
}

// newText returns the text that a change leads to. A change without a delta
// has left the text behind and leads to none.
func (s *State) newText(d *DocumentChange) (text string, fits bool) {
	if len(d.Delta) == 0 {
		return "", true
	}
	text, err := delta.Apply(s.Document.Text, d.Delta)
	return text, err == nil && DocumentDigest(text) == d.Digest
}

// takeDocument replaces the document. Daemons that answer no operators follow
// the number only.
func (s *State) takeDocument(d *DocumentChange) {
	text, _ := s.newText(d)
	s.Document = Document{Version: d.Version, Digest: d.Digest, Text: text}
}

// WithoutDocumentText returns the command as it is passed on to daemons that keep
// no documents: the number stays, the text does not travel.
func WithoutDocumentText(c Command) Command {
	confirm, ok := c.(Confirm)
	if !ok || confirm.Document == nil {
		return c
	}
	d := *confirm.Document
	d.Delta = nil
	confirm.Document = &d
	return confirm
}
