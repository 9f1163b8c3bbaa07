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

// A new set of control daemons is founded when every one of them is there and
// has an empty folder: each has written a random token to its folder, and
// each has seen the tokens of all. A daemon whose token is not the one that
// the others saw has lost its folder. It must not vote again under its old
// name, so it waits until operators add it as a new node.

const (
	foundInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	tokenBytes    = 8
	// nodeTokenDigits of the token tell a joining node from earlier ones.
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
	c.token, c.identity, c.founders = id.Token, id, id.InitialTokens
	return nil
}

func (c *Control) probe(context.Context, wire.ProbeRequest) (reply wire.ProbeReply, err error) {
	c.wait(func() {
		reply = wire.ProbeReply{
			VM: c.opt.VM, Token: c.token, Node: c.identity.Node, InitialTokens: c.founders,
			InitialAddresses: c.identity.InitialAddresses, Bootstrap: c.identity.Bootstrap,
		}
	})
	return reply, nil
}

// found makes one attempt to learn who this node is.
func (c *Control) found() {
	known := false
	c.wait(func() { known = c.identity.Node != "" })
	if known {
		return
	}
	addresses, mine := c.founderAddresses()
	if c.opt.Join || !mine {
		c.becomeJoiner()
		return
	}
	tokens := map[ident.VM]string{c.opt.VM: c.token}
	at := map[ident.VM]string{c.opt.VM: c.opt.Address}
	// One that is set up is enough to learn from; founding needs all.
	for _, address := range addresses {
		reply, err := c.probeOne(address)
		if err != nil {
			continue
		}
		if reply.Node != "" {
			c.compareFounders(reply)
			return
		}
		if reply.Bootstrap || !c.bySeeds() {
			tokens[reply.VM], at[reply.VM] = reply.Token, address
		}
	}
	switch {
	case c.bySeeds() && !c.identity.Bootstrap:
		c.becomeJoiner()
	case len(tokens) == len(addresses)+1 && sameOrigin(tokens):
		c.becomeFounder(tokens, at)
	}
}

// bySeeds reports whether the first voters are known by address only.
func (c *Control) bySeeds() bool {
	return len(c.opt.Voters) == 0
}

// founderAddresses lists the control addresses of the other founders, and
// whether this daemon is one.
func (c *Control) founderAddresses() (others []string, mine bool) {
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

// firstVoters returns the members of a set that was just founded.
func (c *Control) firstVoters() []raft.Peer {
	if c.bySeeds() {
		return InitialVoters(c.identity.InitialAddresses)
	}
	return c.opt.Voters
}

// originOf is the part of a token that says what state a folder began with.
func originOf(token string) string {
	_, origin, _ := strings.Cut(token, "-")
	return origin
}

// sameOrigin reports whether all folders began with the same state.
func sameOrigin(tokens map[ident.VM]string) bool {
	origins := map[string]bool{}
	for _, token := range tokens {
		origins[originOf(token)] = true
	}
	return len(origins) == 1
}

// newToken names a new folder: at random, and by what it began with.
func (c *Control) newToken() string {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // crypto/rand never fails
	origin := sha256.Sum256(c.restored.Snapshot.Data)
	return hex.EncodeToString(raw) + "-" + hex.EncodeToString(origin[:tokenBytes])
}

func (c *Control) probeOne(address string) (wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return wire.Call[wire.ProbeReply](ctx, c.opt.Pool, address, wire.MethodProbe, wire.ProbeRequest{From: c.opt.VM})
}

// compareFounders follows a node that is set up, if that one has seen this
// very folder.
func (c *Control) compareFounders(other wire.ProbeReply) {
	if other.InitialTokens[c.opt.VM] == c.token {
		c.becomeFounder(other.InitialTokens, other.InitialAddresses)
		return
	}
	c.becomeJoiner()
}

func (c *Control) becomeFounder(tokens, addresses map[ident.VM]string) {
	id := store.Identity{Node: ident.Node(c.opt.VM), Token: c.token, Cluster: clusterOf(tokens), InitialTokens: tokens}
	if c.bySeeds() {
		id.InitialAddresses = addresses
	}
	c.become(id)
}

func (c *Control) becomeJoiner() {
	node := ident.Node(string(c.opt.VM) + "#" + c.token[:nodeTokenDigits])
	c.become(store.Identity{Node: node, Token: c.token})
}

func (c *Control) become(id store.Identity) {
	c.wait(func() {
		if c.identity.Node != "" {
			return
		}
		if err := c.store.SetIdentity(id); err != nil {
			return // tried again at the next interval
		}
		c.identity, c.founders = id, id.InitialTokens
		c.startNode()
	})
}

func clusterOf(tokens map[ident.VM]string) string {
	h := sha256.New()
	for _, vm := range slices.Sorted(maps.Keys(tokens)) {
		h.Write([]byte(string(vm) + "=" + tokens[vm] + "\n"))
	}
	return hex.EncodeToString(h.Sum(nil)[:tokenBytes])
}

// InitialVoters makes the first members from settings; a node's first name is
// that of its VM.
func InitialVoters(addresses map[ident.VM]string) []raft.Peer {
	var peers []raft.Peer
	for _, vm := range slices.Sorted(maps.Keys(addresses)) {
		peers = append(peers, raft.Peer{ID: ident.Node(vm), Address: addresses[vm]})
	}
	return peers
}
