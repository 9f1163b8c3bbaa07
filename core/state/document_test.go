package state

import (
	"testing"

	"chicorymast/core/delta"
	"chicorymast/core/ident"
	"chicorymast/core/intent"

	"gotest.tools/v3/assert"
)

// document is the command that puts a text in force.
func document(s *State, base, version DocumentVersion, text string) Confirm {
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
	first := document(s, 0, 3, "first")
	mustOutcome(t, s, first, OutcomeAccepted)
	t.Run("the same again is acknowledged again", func(t *testing.T) {
		before := s.Revision
		mustOutcome(t, s, first, OutcomeAccepted)
		// Another control daemon may have computed it on another state.
		other := first
		other.Base, other.Patch = s.ConfirmedAt, intent.Patch{}
		mustOutcome(t, s, other, OutcomeAccepted)
		assert.Equal(t, s.Revision, before)
	})
	t.Run("one winner on a base", func(t *testing.T) {
		a, b := document(s, 3, 7, "a"), document(s, 3, 7, "b")
		mustOutcome(t, s, a, OutcomeAccepted)
		mustOutcome(t, s, b, OutcomeConflict)
		assert.Equal(t, s.Document.Text, "a")
	})
	t.Run("a version that does not grow", func(t *testing.T) {
		mustOutcome(t, s, document(s, 7, 7, "same number"), OutcomeInvalid)
		mustOutcome(t, s, document(s, 7, 6, "lower"), OutcomeInvalid)
	})
	t.Run("what was refused may come again when its base is in force", func(t *testing.T) {
		early := document(s, 8, 9, "early")
		mustOutcome(t, s, early, OutcomeConflict)
		mustOutcome(t, s, document(s, 7, 8, "eight"), OutcomeAccepted)
		mustOutcome(t, s, document(s, 8, 9, "early"), OutcomeAccepted)
	})
	t.Run("a delta that leads elsewhere", func(t *testing.T) {
		bad := document(s, 9, 10, "ten")
		bad.Document.Delta = delta.Delta{{Literal: "eleven"}}
		mustOutcome(t, s, bad, OutcomeInvalid)
	})
	t.Run("an earlier one is still acknowledged after others", func(t *testing.T) {
		mustOutcome(t, s, first, OutcomeAccepted)
		assert.Equal(t, s.Document.Text, "early")
	})
}

// Daemons that answer no operators follow the numbers, not the text, and agree
// with control daemons on all that is in force.
func TestFollowersKeepNoText(t *testing.T) {
	s, follower := New(), New()
	for i, text := range []string{"one", "two", "three"} {
		c := document(s, DocumentVersion(i), DocumentVersion(i+1), text)
		mustOutcome(t, s, c, OutcomeAccepted)
		follower.ApplyAccepted(WithoutDocumentText(c))
	}
	assert.Equal(t, follower.Document.Version, s.Document.Version)
	assert.Equal(t, follower.Document.Text, "")
	assert.Equal(t, follower.Digest(), s.Digest())
	assert.Equal(t, s.WithoutHistory().Document.Text, "")
}
