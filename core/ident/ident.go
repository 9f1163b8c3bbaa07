// Package ident defines the named types for identifiers and units that all
// other packages share, so that the compiler rejects a workspace passed as a
// service or a rate passed as a count.
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
	// Workspace identifies a tenant.
	Workspace string
	// Service identifies a group of interchangeable upstreams.
	Service string
	// Route identifies one kind of call.
	Route string
	// Group identifies a set of routes that grants can refer to.
	Group string
	// Grant identifies a permission of a workspace, with its rate and burst.
	Grant string
	// DataCentre identifies a failure domain.
	DataCentre string
	// VM identifies a machine and the daemon that runs on it.
	VM string
	// Node identifies a control daemon together with its data folder; a VM that
	// restarts with an empty folder is a new node.
	Node string
	// Upstream identifies an announced server process behind a daemon.
	Upstream string
	// ChangeID identifies a configuration change and is chosen by the operator;
	// resending a change with the same id returns the first result.
	ChangeID string
	// ActionID identifies a customer action across all of its calls.
	ActionID string
	// KeyDigest is the lower-case hex SHA-256 of a caller's key.
	KeyDigest string
	// KeyID is the public identifier of a key; it does not authenticate a call.
	KeyID string
	// Actor identifies the operator who made a change.
	Actor string
)

// Revision numbers the accepted configurations in increasing order.
type Revision uint64

// Rate is in calls per second.
type Rate float64

// Burst is in calls.
type Burst float64

// Class is the importance of a route's calls.
type Class string

// The classes, from the last to be shed to the first.
const (
	ClassCritical Class = "critical"
	ClassHigh     Class = "high"
	ClassNormal   Class = "normal"
	ClassLow      Class = "low"
)

// Classes lists all classes in the order in which they are served.
var Classes = [...]Class{ClassCritical, ClassHigh, ClassNormal, ClassLow}

// Index returns the position of c in Classes. An unknown class counts as low.
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

// Priority is the importance of a call relative to all other calls. The class
// of the workspace takes precedence over the class of the route.
type Priority struct {
	// WorkspaceTier is the number of classes between the class of the workspace
	// and that of the most important workspace; 0 is the most important.
	WorkspaceTier int
	// Class is the class of the route.
	Class Class
}

// PriorityCount is the number of distinct priorities.
const PriorityCount = len(Classes) * len(Classes)

// Index returns the position of p among all priorities; 0 is the most important.
func (p Priority) Index() int {
	return min(p.WorkspaceTier, len(Classes)-1)*len(Classes) + p.Class.Index()
}

// DigestKey returns the digest under which a key is stored and compared.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// PublicID returns the identifier that operators see for the key with digest d:
// the first 12 hex digits.
func PublicID(d KeyDigest) KeyID {
	const digits = 12
	if len(d) < digits {
		return KeyID(d)
	}
	return KeyID(d[:digits])
}
