package state

import (
	"testing"

	"chicorymast/core/delta"
	"chicorymast/core/ident"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

// confirmDocument returns the command that confirms a document with the given text.
func confirmDocument(s *State, base, version DocumentVersion, text string) Confirm {
	digest := DocumentDigest(text)
	return Confirm{
		Metadata: Metadata{ChangeID: DocumentChangeID(version, digest)},
		Base:     s.ConfirmedAt,
		Patch:    intent.Patch{Services: map[ident.Service]*intent.ServiceSpec{ident.Service(text): {}}},
		Document: &DocumentChange{Base: base, Version: version, Digest: digest, Delta: delta.Between(s.Document.Text, text)},
	}
}

func mustOutcome(t *testing.T, s *State, c Confirm, want Outcome) {
	t.Helper()
	r := s.Apply(c)
	assert.Equal(t, r.Outcome, want, "%s", r.Detail)
}

func TestDocuments(t *testing.T) {
	s := New()
	firstDocument := confirmDocument(s, 0, 3, "first")
	mustOutcome(t, s, firstDocument, OutcomeAccepted)
	t.Run("a repeated document is accepted again", func(t *testing.T) {
		before := s.Revision
		mustOutcome(t, s, firstDocument, OutcomeAccepted)
		// Another control daemon may have computed the patch for another state.
		other := firstDocument
		other.Base, other.Patch = s.ConfirmedAt, intent.Patch{}
		mustOutcome(t, s, other, OutcomeAccepted)
		assert.Equal(t, s.Revision, before)
	})
	t.Run("only one document per base is accepted", func(t *testing.T) {
		a, b := confirmDocument(s, 3, 7, "a"), confirmDocument(s, 3, 7, "b")
		mustOutcome(t, s, a, OutcomeAccepted)
		mustOutcome(t, s, b, OutcomeConflict)
		assert.Equal(t, s.Document.Text, "a")
	})
	t.Run("a version that is not higher is invalid", func(t *testing.T) {
		mustOutcome(t, s, confirmDocument(s, 7, 7, "same number"), OutcomeInvalid)
		mustOutcome(t, s, confirmDocument(s, 7, 6, "lower"), OutcomeInvalid)
	})
	t.Run("a rejected document is accepted once its base is in force", func(t *testing.T) {
		rejected := confirmDocument(s, 8, 9, "early")
		mustOutcome(t, s, rejected, OutcomeConflict)
		mustOutcome(t, s, confirmDocument(s, 7, 8, "eight"), OutcomeAccepted)
		mustOutcome(t, s, confirmDocument(s, 8, 9, "early"), OutcomeAccepted)
	})
	t.Run("a delta that does not match the digest is invalid", func(t *testing.T) {
		bad := confirmDocument(s, 9, 10, "ten")
		bad.Document.Delta = delta.Delta{{Literal: "eleven"}}
		mustOutcome(t, s, bad, OutcomeInvalid)
	})
	t.Run("an earlier document is still accepted after later ones", func(t *testing.T) {
		mustOutcome(t, s, firstDocument, OutcomeAccepted)
		assert.Equal(t, s.Document.Text, "early")
	})
}

// Daemons other than control daemons store a document's version but not its text.
// Their digest of the configuration must still equal that of control daemons.
func TestOnlyControlDaemonsStoreText(t *testing.T) {
	s, follower := New(), New()
	for i, text := range []string{"one", "two", "three"} {
		c := confirmDocument(s, DocumentVersion(i), DocumentVersion(i+1), text)
		mustOutcome(t, s, c, OutcomeAccepted)
		follower.ApplyAccepted(WithoutDocumentText(c))
	}
	assert.Equal(t, follower.Document.Version, s.Document.Version)
	assert.Equal(t, follower.Document.Text, "")
	assert.Equal(t, follower.Digest(), s.Digest())
	assert.Equal(t, s.WithoutHistory().Document.Text, "")
}
