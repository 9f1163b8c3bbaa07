package ctrl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/store"
	"chicorymast/io/wire"
)

// A new set of control daemons is bootstrapped when all initial voters are
// reachable and have empty folders: each has written a random token to its
// folder, and each has seen the tokens of all. A daemon whose token differs from
// the one that the others saw has lost its folder. It must not vote again under
// its old node id, so it waits until operators add it as a new node.

const (
	identityInterval = 500 * time.Millisecond
	probeTimeout     = time.Second
	tokenBytes       = 8
	// nodeTokenDigits is the length of the token prefix in the id of a joining
	// node; it tells the node from earlier ones on the same VM.
	nodeTokenDigits = 8
)

func (c *Control) restoreIdentity() error {
	id, ok, err := c.store.Identity()
	if err != nil {
		return err
	}
	if !ok || id.Token == "" {
		id = store.Identity{Token: c.newToken(), Bootstrap: c.opt.Bootstrap}
		if err := c.store.SetIdentity(id); err != nil {
			return err
		}
	}
	c.token, c.identity, c.initialTokens = id.Token, id, id.InitialTokens
	return nil
}

func (c *Control) handleProbe(context.Context, wire.ProbeRequest) (reply wire.ProbeReply, err error) {
	c.enqueueAndWait(func() {
		reply = wire.ProbeReply{
			VM: c.opt.VM, Token: c.token, Node: c.identity.Node, InitialTokens: c.initialTokens,
			InitialAddresses: c.identity.InitialAddresses, Bootstrap: c.identity.Bootstrap,
		}
	})
	return reply, nil
}

// resolveIdentity makes one attempt to give this node its identity.
func (c *Control) resolveIdentity() {
	resolved := false
	c.enqueueAndWait(func() { resolved = c.identity.Node != "" })
	if resolved {
		return
	}
	addresses, included := c.initialAddresses()
	if c.opt.Join || !included {
		c.becomeJoiningNode()
		return
	}
	tokens := map[ident.VM]string{c.opt.VM: c.token}
	vmAddresses := map[ident.VM]string{c.opt.VM: c.opt.Address}
	// One daemon that has an identity is enough to decide; a bootstrap needs all.
	for _, address := range addresses {
		reply, err := c.probeAddress(address)
		if err != nil {
			continue
		}
		if reply.Node != "" {
			c.adoptIdentity(reply)
			return
		}
		if reply.Bootstrap || !c.bySeeds() {
			tokens[reply.VM], vmAddresses[reply.VM] = reply.Token, address
		}
	}
	switch {
	case c.bySeeds() && !c.identity.Bootstrap:
		c.becomeJoiningNode()
	case len(tokens) == len(addresses)+1 && sameInitialState(tokens):
		c.becomeInitialVoter(tokens, vmAddresses)
	}
}

// bySeeds reports whether the initial voters are known by address only.
func (c *Control) bySeeds() bool {
	return len(c.opt.Voters) == 0
}

// initialAddresses returns the control addresses of the other initial voters,
// and whether this daemon is an initial voter, too.
func (c *Control) initialAddresses() (others []string, included bool) {
	if c.bySeeds() {
		others = slices.DeleteFunc(slices.Clone(c.opt.Seeds), func(a string) bool { return a == c.opt.Address })
		return others, len(others) < len(c.opt.Seeds)
	}
	for _, p := range c.opt.Voters {
		if vmOf(p.ID) != c.opt.VM {
			others = append(others, p.Address)
		}
	}
	return others, true
}

// initialVoters returns the membership of a set that was just bootstrapped.
func (c *Control) initialVoters() []raft.Peer {
	if c.bySeeds() {
		return InitialVoters(c.identity.InitialAddresses)
	}
	return c.opt.Voters
}

// initialStateOf returns the part of a token that is the digest of the state
// with which the folder began.
func initialStateOf(token string) string {
	_, digest, _ := strings.Cut(token, "-")
	return digest
}

// sameInitialState reports whether all folders began with the same state.
func sameInitialState(tokens map[ident.VM]string) bool {
	digests := map[string]bool{}
	for _, token := range tokens {
		digests[initialStateOf(token)] = true
	}
	return len(digests) == 1
}

// newToken returns a token for a new folder: random bytes and the digest of the
// state with which the folder begins.
func (c *Control) newToken() string {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // crypto/rand never returns an error
	digest := sha256.Sum256(c.restored.Snapshot.Data)
	return hex.EncodeToString(raw) + "-" + hex.EncodeToString(digest[:tokenBytes])
}

func (c *Control) probeAddress(address string) (wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return wire.Call[wire.ProbeReply](ctx, c.opt.Pool, address, wire.MethodProbe, wire.ProbeRequest{From: c.opt.VM})
}

// adoptIdentity makes this node an initial voter if a node that has an identity
// saw the token of this folder at the bootstrap, and else a joining node.
func (c *Control) adoptIdentity(other wire.ProbeReply) {
	if other.InitialTokens[c.opt.VM] == c.token {
		c.becomeInitialVoter(other.InitialTokens, other.InitialAddresses)
		return
	}
	c.becomeJoiningNode()
}

func (c *Control) becomeInitialVoter(tokens, addresses map[ident.VM]string) {
	id := store.Identity{Node: ident.Node(c.opt.VM), Token: c.token, Cluster: clusterID(tokens), InitialTokens: tokens}
	if c.bySeeds() {
		id.InitialAddresses = addresses
	}
	c.setIdentity(id)
}

func (c *Control) becomeJoiningNode() {
	node := ident.Node(string(c.opt.VM) + "#" + c.token[:nodeTokenDigits])
	c.setIdentity(store.Identity{Node: node, Token: c.token})
}

func (c *Control) setIdentity(id store.Identity) {
	c.enqueueAndWait(func() {
		if c.identity.Node != "" {
			return
		}
		if err := c.store.SetIdentity(id); err != nil {
			return // retried at the next interval
		}
		c.identity, c.initialTokens = id, id.InitialTokens
		c.startNode()
	})
}

func clusterID(tokens map[ident.VM]string) string {
	h := sha256.New()
	for _, vm := range slices.Sorted(maps.Keys(tokens)) {
		h.Write([]byte(string(vm) + "=" + tokens[vm] + "\n"))
	}
	return hex.EncodeToString(h.Sum(nil)[:tokenBytes])
}

// InitialVoters returns the initial voters of the settings; the node id of an
// initial voter is the name of its VM.
func InitialVoters(addresses map[ident.VM]string) []raft.Peer {
	var peers []raft.Peer
	for _, vm := range slices.Sorted(maps.Keys(addresses)) {
		peers = append(peers, raft.Peer{ID: ident.Node(vm), Address: addresses[vm]})
	}
	return peers
}
