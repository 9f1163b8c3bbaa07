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
	// unreachableTicks is how long a voter may send no reply before it is replaced.
	// It is longer than a restart takes, so that a planned restart changes nothing.
	unreachableTicks = raft.Ticks(5 * time.Second / TickInterval)
	// joinTimeout bounds one request to be added.
	joinTimeout = time.Second
)

// join asks the leader to add this node while it is not a member: either it is
// new, or it was replaced while it was away.
func (c *Control) join() {
	if c.opt.ControlAddresses == nil || c.isMember() {
		return
	}
	for _, address := range c.opt.ControlAddresses() {
		if address != c.opt.Address && c.requestJoin(address) {
			return
		}
	}
}

// isMember reports whether this node is in the membership and hears from a
// leader. A node that hears from no leader may have been removed, so it asks to
// be added; for a member the request changes nothing.
func (c *Control) isMember() (member bool) {
	c.enqueueAndWait(func() {
		if c.node == nil || c.failed {
			member = true // no node that could be added yet
			return
		}
		st := c.node.Status()
		_, listed := st.Members.Address(c.identity.Node)
		member = listed && st.Leader != ""
	})
	return member
}

func (c *Control) requestJoin(address string) (done bool) {
	const maxAttempts = 2
	for range maxAttempts {
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

// addLearner adds a node as a learner. Another learner with the same address is
// an earlier node that has lost its data folder and never returns, so it is
// removed first.
func (c *Control) addLearner(joiner raft.Peer) ([]raft.Effect, error) {
	for _, p := range c.node.Status().Members.Learners {
		if p.Address == joiner.Address && p.ID != joiner.ID {
			return c.node.Remove(p.ID)
		}
	}
	return c.node.AddLearner(joiner)
}

// maintainVoters keeps 2n+1 voters, n being ToleratedFailures; with n zero it
// promotes every learner. An unreachable voter is replaced by a learner that
// holds the whole log: the learner is promoted first, then the voter is removed,
// so that the number of voters never falls in between.
func (c *Control) maintainVoters() {
	st := c.node.Status()
	if !st.Leading {
		return
	}
	unreachable := unreachableVoter(st)
	voterTarget := 2*c.opt.ToleratedFailures + 1
	if c.opt.ToleratedFailures > 0 && len(st.Members.Voters) > voterTarget && unreachable != "" {
		c.changeVoters(c.node.Remove(unreachable))
		return
	}
	if c.opt.ToleratedFailures > 0 && len(st.Members.Voters) >= voterTarget &&
		(unreachable == "" || len(st.Members.Voters) > voterTarget) {
		return
	}
	for _, p := range st.Members.Learners {
		if st.SinceReply[p.ID] > unreachableTicks {
			continue
		}
		if c.changeVoters(c.node.Promote(p.ID)) {
			return
		}
	}
}

// changeVoters carries out the effects of a membership change. It reports
// whether the change was started or another one is pending, so that no other
// one should be tried now.
func (c *Control) changeVoters(effects []raft.Effect, err error) bool {
	c.handleEffects(effects)
	return err == nil || errors.Is(err, raft.ErrChangePending)
}

func unreachableVoter(st raft.Status) ident.Node {
	for _, p := range st.Members.Voters {
		if p.ID != st.ID && st.SinceReply[p.ID] > unreachableTicks {
			return p.ID
		}
	}
	return ""
}
