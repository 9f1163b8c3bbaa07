package store

import (
	"encoding/json"
	"errors"
	"os"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
)

// Identity says which node a data folder belongs to.
type Identity struct {
	Node ident.Node `json:"node,omitempty"`
	// Token names the folder from its first use on.
	Token string `json:"token"`
	// Cluster is common to all nodes that were set up together.
	Cluster string `json:"cluster,omitempty"`
	// InitialTokens are the tokens of all that were set up together.
	InitialTokens map[ident.VM]string `json:"founders,omitempty"`
	// InitialAddresses are the founders' control addresses, where settings name no VMs.
	InitialAddresses map[ident.VM]string `json:"addresses,omitempty"`
	// Bootstrap is set in a folder that was first used while the whole fleet
	// was set up: only such a folder may found.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// Identity returns who this node is; ok is false in a new folder.
func (s *Store) Identity() (id Identity, ok bool, err error) {
	defer fault.Note(&err, "read identity in %s", s.dir)
	data, err := os.ReadFile(s.path(nameIdentity))
	if errors.Is(err, os.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, err
	}
	return id, true, json.Unmarshal(data, &id)
}

// SetIdentity makes the identity durable. A folder keeps its identity for
// good; one that lost it is a new node.
func (s *Store) SetIdentity(id Identity) (err error) {
	defer fault.Note(&err, "write identity in %s", s.dir)
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	if err := writeSynced(s.path(nameIdentity), data); err != nil {
		return err
	}
	return syncFolder(s.dir)
}
