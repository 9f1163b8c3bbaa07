package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"chicorymast/core/delta"
	"chicorymast/core/ident"
)

// DocumentVersion is the version that the author of a document assigned. Zero
// means that there is no document.
type DocumentVersion uint64

// Document is the configuration document that the intent in force came from. Only
// control daemons store its text.
type Document struct {
	Version DocumentVersion `json:"version"`
	Digest  string          `json:"digest,omitempty"`
	Text    string          `json:"text,omitempty"`
}

// DocumentChange replaces the document of version Base by a new one.
type DocumentChange struct {
	Base    DocumentVersion `json:"base"`
	Version DocumentVersion `json:"version"`
	// Digest is the hash of the complete new text (see DocumentDigest).
	Digest string      `json:"digest"`
	Delta  delta.Delta `json:"delta"`
}

// DocumentDigest returns the SHA-256 of a document's text in hex.
func DocumentDigest(text string) string {
	hash := sha256.Sum256([]byte(text))
	return hex.EncodeToString(hash[:])
}

// DocumentChangeID returns the change id of a document. The same content under
// the same version is the same change, regardless of who sends it.
func DocumentChangeID(v DocumentVersion, digest string) ident.ChangeID {
	return ident.ChangeID(fmt.Sprintf("document/%d/%s", v, digest))
}

// checkDocument rejects a document that is not based on the version in force, has
// no higher version or has a delta that does not match its digest. It returns the text of
// any other.
func (s *State) checkDocument(d *DocumentChange) (text string, r Result, ok bool) {
	have := s.Document.Version
	if d.Base != have {
		return "", Result{Outcome: OutcomeConflict, ConflictsWith: s.ConfirmedBy, Detail: fmt.Sprintf("built on version %d, but %d is in force", d.Base, have)}, false
	}
	if d.Version <= have {
		return "", Result{Outcome: OutcomeInvalid, Detail: fmt.Sprintf("version %d is not above %d, which is in force", d.Version, have)}, false
	}
	text, matches := s.resultingText(d)
	if !matches {
		return "", Result{Outcome: OutcomeInvalid, Detail: "the delta does not lead to the document that it names"}, false
	}
	return text, Result{}, true
}

// resultingText returns the text that a change results in, and whether it matches the
// digest. Without a delta (see WithoutDocumentText) the text is empty.
func (s *State) resultingText(d *DocumentChange) (text string, matches bool) {
	if len(d.Delta) == 0 {
		return "", true
	}
	text, err := delta.Apply(s.Document.Text, d.Delta)
	return text, err == nil && DocumentDigest(text) == d.Digest
}

// setDocument replaces the document. On daemons other than control daemons, which
// receive no text, it sets version and digest only.
func (s *State) setDocument(d *DocumentChange, text string) {
	s.Document = Document{Version: d.Version, Digest: d.Digest, Text: text}
}

// WithoutDocumentText returns the command as it is sent to daemons that store
// no documents: with version and digest, but without the delta.
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
