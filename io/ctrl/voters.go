package ctrl

import (
	"context"
	"errors"
	"time"

	"chicorymast/core/raft"
	"chicorymast/io/wire"
)

const (
	// unreachableTicks is how long a voter may send no reply before it is replaced.
	// It is longer than a restart takes, so that a planned restart changes nothing, and
	// leaves time to replace it within catch_up of the platform.
	unreachableTicks = raft.Ticks(2 * time.Second / TickInterval)
	// silentTicks is the time without a reply after which a member does not count as
	// responsive: four heartbeats.
	silentTicks = raft.Ticks(4 * heartbeatTicks)
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

// maintainVoters keeps 2n+1 voters, n being ToleratedFailures; with n zero it
// promotes every learner. Where control daemons join by themselves, a node at whose
// address another one has joined is an earlier node that has lost its data folder. It
// never returns, so it is removed at once.
func (c *Control) maintainVoters() {
	policy := raft.VoterPolicy{
		UnreachableAfter: unreachableTicks, SilentAfter: silentTicks, RemoveSuperseded: c.opt.ControlAddresses != nil,
	}
	if c.opt.ToleratedFailures > 0 {
		policy.Target = 2*c.opt.ToleratedFailures + 1
	}
	for _, change := range policy.Changes(c.node.Status()) {
		if c.startVoterChange(change) {
			return
		}
	}
}

// startVoterChange reports whether the change was started or another one is pending, so
// that no other should be started now.
func (c *Control) startVoterChange(change raft.VoterChange) bool {
	var effects []raft.Effect
	var err error
	switch change := change.(type) {
	case raft.RemoveMember:
		effects, err = c.node.Remove(change.ID)
	case raft.PromoteLearner:
		effects, err = c.node.Promote(change.ID)
	}
	c.handleEffects(effects)
	return err == nil || errors.Is(err, raft.ErrChangePending)
}
