// Package ident holds the named types for identifiers and units that every
// other package shares, so that a workspace is never passed where a service
// is expected and a rate is never mistaken for a count.
//
// # Usage
//
//	var ws ident.Workspace = "mlyn"
//	digest := ident.DigestKey("the caller's key")
//	if route.Class.Above(ident.ClassNormal) { ... }
//
// All types marshal to JSON as plain strings or numbers. Nothing in this
// package keeps state, reads a clock or fails.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// Workspace names one tenant.
	Workspace string
	// Service names a group of interchangeable upstreams.
	Service string
	// Route names one kind of call.
	Route string
	// Group names a set of routes that grants can refer to.
	Group string
	// Grant names one permission of a workspace with its rate and burst.
	Grant string
	// DataCentre names a failure domain.
	DataCentre string
	// VM names one machine and the daemon that runs on it.
	VM string
	// Node names one control daemon with one data folder; a VM that comes
	// back with an empty folder is a new node.
	Node string
	// Upstream names one announced server process behind a daemon.
	Upstream string
	// ChangeID is the operator's identifier of one change; resending it
	// returns the first answer.
	ChangeID string
	// ActionID identifies one customer action across all of its calls.
	ActionID string
	// KeyDigest is the lower-case hex SHA-256 of a caller's key.
	KeyDigest string
	// KeyID is the public name of a key; it cannot be used to call.
	KeyID string
	// Actor names the operator who made a change.
	Actor string
)

// Revision counts accepted configurations; it only grows.
type Revision uint64

// Rate is in calls per second.
type Rate float64

// Burst is in calls.
type Burst float64

// Class is the importance of a route's calls.
type Class string

// The classes, from the one that is shed last to the one shed first.
const (
	ClassCritical Class = "critical"
	ClassHigh     Class = "high"
	ClassNormal   Class = "normal"
	ClassLow      Class = "low"
)

// Classes lists all classes in the order in which they are served.
var Classes = [...]Class{ClassCritical, ClassHigh, ClassNormal, ClassLow}

// Index returns the position of c in Classes. Unknown classes count as low.
func (c Class) Index() int {
	for i, known := range Classes {
		if c == known {
			return i
		}
	}
	return len(Classes) - 1
}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool {
	return Classes[c.Index()] == c
}

// Above reports whether c is more important than other.
func (c Class) Above(other Class) bool {
	return c.Index() < other.Index()
}

// Priority is how important a call is among all others: the class of the
// workspace goes before that of the route.
type Priority struct {
	// WorkspaceTier is how many classes the workspace stands behind the most important
	// one there is.
	WorkspaceTier int
	Class         Class
}

// PriorityCount is how many there are.
const PriorityCount = len(Classes) * len(Classes)

// Index returns the position of s among all, 0 being the most important.
func (s Priority) Index() int {
	return min(s.WorkspaceTier, len(Classes)-1)*len(Classes) + s.Class.Index()
}

// DigestKey returns the digest under which a key is stored and compared.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// PublicID returns the name under which operators see the key of a digest.
func PublicID(d KeyDigest) KeyID {
	const shown = 12
	if len(d) < shown {
		return KeyID(d)
	}
	return KeyID(d[:shown])
}
