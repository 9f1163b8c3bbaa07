package ctrl

import (
	"context"
	"errors"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

const (
	// silentTicks without an answer make a voter one to be replaced: longer
	// than a restart takes, so that a planned one changes nothing.
	silentTicks = raft.Ticks(5 * time.Second / TickInterval)
	// joinTimeout bounds one request to be added.
	joinTimeout = time.Second
)

// join asks the leader to take this node in, while it is none of the members:
// as a new one, or as one that was replaced while it was away.
func (c *Control) join() {
	if c.opt.ControlAddresses == nil || c.isMember() {
		return
	}
	for _, address := range c.opt.ControlAddresses() {
		if address != c.opt.Address && c.askToJoin(address) {
			return
		}
	}
}

// isMember reports whether this node takes part. One that hears from no leader
// may have been removed; it asks, and is told when it still belongs.
func (c *Control) isMember() (member bool) {
	c.wait(func() {
		if c.node == nil || c.broken {
			member = true // there is nothing to be added yet
			return
		}
		st := c.node.Status()
		_, listed := st.Members.Address(c.identity.Node)
		member = listed && st.Leader != ""
	})
	return member
}

func (c *Control) askToJoin(address string) (done bool) {
	const hops = 2
	for range hops {
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		q := wire.MembershipRequest{Op: wire.MembershipAdd, Address: c.opt.Address}
		reply, err := wire.Call[wire.MembershipReply](ctx, c.opt.Pool, address, wire.MethodMembership, q)
		cancel()
		if err != nil || reply.Done || reply.Leader == "" {
			return err == nil && reply.Done
		}
		address = reply.Leader
	}
	return false
}

// addLearner takes a node in. Another one that had its address has lost its
// folder and never comes back, so its place as a learner ends.
func (c *Control) addLearner(joiner raft.Peer) ([]raft.Effect, error) {
	for _, p := range c.node.Status().Members.Learners {
		if p.Address == joiner.Address && p.ID != joiner.ID {
			return c.node.Remove(p.ID)
		}
	}
	return c.node.AddLearner(joiner)
}

// keepVoters keeps as many voters as are needed to bear the losses that the
// settings name. A learner that holds the whole log takes the place of a voter
// that has been silent: it gets its vote first, then the silent one leaves, so
// that the set never shrinks on the way.
func (c *Control) keepVoters() {
	st := c.node.Status()
	if !st.Leading {
		return
	}
	silent := silentVoter(st)
	wanted := 2*c.opt.ToleratedFailures + 1
	if c.opt.ToleratedFailures > 0 && len(st.Members.Voters) > wanted && silent != "" {
		c.changeVoters(c.node.Remove(silent))
		return
	}
	if c.opt.ToleratedFailures > 0 && len(st.Members.Voters) >= wanted && (silent == "" || len(st.Members.Voters) > wanted) {
		return
	}
	for _, p := range st.Members.Learners {
		if st.SinceReply[p.ID] > silentTicks {
			continue
		}
		if c.changeVoters(c.node.Promote(p.ID)) {
			return
		}
	}
}

// changeVoters carries a change out; it reports whether no other one should be
// tried now.
func (c *Control) changeVoters(effects []raft.Effect, err error) bool {
	c.carryOut(effects)
	return err == nil || errors.Is(err, raft.ErrChangePending)
}

func silentVoter(st raft.Status) ident.Node {
	for _, p := range st.Members.Voters {
		if p.ID != st.ID && st.SinceReply[p.ID] > silentTicks {
			return p.ID
		}
	}
	return ""
}
