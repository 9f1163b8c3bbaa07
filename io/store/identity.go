package store

import (
	"encoding/json"
	"errors"
	"os"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
)

// Identity is the identity of the node that owns a data folder.
type Identity struct {
	Node ident.Node `json:"node,omitempty"`
	// Token identifies the folder; it is created at the folder's first use.
	Token string `json:"token"`
	// Cluster is the same for all nodes that were bootstrapped together.
	Cluster string `json:"cluster,omitempty"`
	// InitialTokens are the tokens of all initial voters.
	InitialTokens map[ident.VM]string `json:"founders,omitempty"`
	// InitialAddresses are the control addresses of the initial voters, where the
	// settings do not name their VMs.
	InitialAddresses map[ident.VM]string `json:"addresses,omitempty"`
	// Bootstrap is set in a folder that was first used while the whole fleet was
	// being set up. Only the node of such a folder may take part in a bootstrap.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// Identity returns the node's identity; ok is false in a new folder.
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

// SetIdentity writes the identity durably. Once it names a node it must not change;
// a node that has lost its identity is a new node.
func (s *Store) SetIdentity(id Identity) (err error) {
	defer fault.Note(&err, "write identity in %s", s.dir)
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	if err := s.fs.writeSynced(s.path(nameIdentity), data); err != nil {
		return err
	}
	return syncFolder(s.dir)
}
