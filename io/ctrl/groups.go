package ctrl

import (
	"fmt"
	"slices"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/rendez"
	"chicorymast/core/state"
)

// The leader keeps the groups of replicas at strength: it fills them up to
// five members and replaces a member that has been gone for a while. It
// changes one member of a group at a time.

const (
	groupSize = 5
	// groupPatience is how long a member may be away, for instance to restart,
	// before another VM takes its place.
	groupPatience = 30 * time.Second
	// groupPause stands between two changes of one group.
	groupPause = 5 * time.Second
	// stableTime is how long a leader waits before its first assignment, so
	// that the members of a starting fleet are known.
	stableTime = 4 * time.Second
)

// keeper remembers what the upkeep of groups needs.
type keeper struct {
	leadingSince time.Time
	seen         map[ident.VM]time.Time
	changed      map[string]time.Time
}

func newKeeper() keeper {
	return keeper{seen: map[ident.VM]time.Time{}, changed: map[string]time.Time{}}
}

// keepGroups proposes what is missing; it runs in the control part's goroutine.
func (c *Control) keepGroups(now time.Time) {
	if !c.node.Status().Leading {
		c.keeper.leadingSince = now
		return
	}
	members := c.opt.Board.Members.Read()
	for _, vms := range members.ByDataCentre {
		for _, vm := range vms {
			c.keeper.seen[vm] = now
		}
	}
	if now.Sub(c.keeper.leadingSince) < stableTime {
		return
	}
	for dc := range c.state.Intent.DataCentres {
		c.keepDataCentre(now, dc, members)
	}
}

func (c *Control) keepDataCentre(now time.Time, dc ident.DataCentre, members *board.Members) {
	live := members.ByDataCentre[dc]
	if len(live) == 0 {
		return
	}
	groups := c.state.ReplicaGroups[dc]
	for i := range state.GroupsPerDataCentre {
		var g state.ReplicaGroup
		if len(groups) > 0 {
			g = groups[i]
		}
		key := fmt.Sprintf("%s/%d", dc, i)
		next, change := c.nextMembers(now, key, g, live)
		if !change || now.Sub(c.keeper.changed[key]) < groupPause {
			continue
		}
		c.keeper.changed[key] = now
		c.proposeGroup(now, dc, i, g.Epoch, next)
	}
}

// nextMembers returns the members that a group should have, at most one away
// from those it has.
func (c *Control) nextMembers(now time.Time, key string, g state.ReplicaGroup, live []ident.VM) ([]ident.VM, bool) {
	order := rendez.Order("records/"+key, live)
	if len(g.Members) == 0 {
		return order[:groupTarget(len(order))], true
	}
	spare := slices.DeleteFunc(slices.Clone(order), func(vm ident.VM) bool { return g.Has(vm) })
	if len(spare) == 0 {
		return nil, false
	}
	next := slices.Clone(g.Members)
	for i, vm := range next {
		if now.Sub(c.keeper.seen[vm]) > groupPatience && now.Sub(c.keeper.leadingSince) > groupPatience {
			next[i] = spare[0]
			return next, true
		}
	}
	if len(next) < groupTarget(len(order)) {
		return append(next, spare[0]), true
	}
	return nil, false
}

// groupTarget is the size of a group among n VMs; an even size would need a
// larger majority and bear no more losses.
func groupTarget(n int) int {
	if n >= groupSize {
		return groupSize
	}
	if n%2 == 0 {
		return max(1, n-1)
	}
	return n
}

func (c *Control) proposeGroup(now time.Time, dc ident.DataCentre, i int, after ident.Revision, next []ident.VM) {
	data, err := state.Encode(state.AssignGroup{
		Metadata: state.Metadata{
			ChangeID: ident.ChangeID(fmt.Sprintf("group/%s/%d/%d", dc, i, after)),
			Actor:    "control", AtMillis: now.UnixMilli(),
		},
		DataCentre: dc, Index: i, BaseEpoch: after, Members: next,
	})
	if err != nil {
		return
	}
	effects, _, _, err := c.node.Propose(data)
	if err == nil {
		c.carryOut(effects)
	}
}
