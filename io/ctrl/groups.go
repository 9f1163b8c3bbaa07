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

// The leader maintains the replica groups: it fills them up to five members and
// replaces a member that has been away for too long. It changes one member of a
// group at a time.

const (
	groupSize = 5
	// memberAbsenceLimit is how long a member may be away, for instance to restart,
	// before another VM replaces it.
	memberAbsenceLimit = 30 * time.Second
	// groupChangeInterval is the shortest time between two changes of one group.
	groupChangeInterval = 5 * time.Second
	// assignmentDelay is how long a new leader waits before it assigns members, so
	// that the VMs of a starting fleet have announced themselves.
	assignmentDelay = 4 * time.Second
)

// groupMaintenance is the leader's state for maintaining the replica groups.
type groupMaintenance struct {
	leadingSince time.Time
	lastSeen     map[ident.VM]time.Time
	lastChange   map[string]time.Time
}

func newGroupMaintenance() groupMaintenance {
	return groupMaintenance{lastSeen: map[ident.VM]time.Time{}, lastChange: map[string]time.Time{}}
}

// maintainGroups proposes missing or replaced members of all groups; it runs in
// the node's goroutine.
func (c *Control) maintainGroups(now time.Time) {
	if !c.node.Status().Leading {
		c.groupMaintenance.leadingSince = now
		return
	}
	members := c.opt.Board.Members.Read()
	for _, vms := range members.ByDataCentre {
		for _, vm := range vms {
			c.groupMaintenance.lastSeen[vm] = now
		}
	}
	if now.Sub(c.groupMaintenance.leadingSince) < assignmentDelay {
		return
	}
	for dc := range c.state.Intent.DataCentres {
		c.maintainDataCentre(now, dc, members)
	}
}

func (c *Control) maintainDataCentre(now time.Time, dc ident.DataCentre, members *board.Members) {
	vms := members.ByDataCentre[dc]
	if len(vms) == 0 {
		return
	}
	groups := c.state.ReplicaGroups[dc]
	for i := range state.GroupsPerDataCentre {
		var g state.ReplicaGroup
		if len(groups) > 0 {
			g = groups[i]
		}
		key := fmt.Sprintf("%s/%d", dc, i)
		next, change := c.nextMembers(now, key, g, vms)
		if !change || now.Sub(c.groupMaintenance.lastChange[key]) < groupChangeInterval {
			continue
		}
		c.groupMaintenance.lastChange[key] = now
		c.proposeGroup(now, dc, i, g.Epoch, next)
	}
}

// nextMembers returns the members that a group should have. They differ from
// the present ones by at most one, unless the group is empty.
func (c *Control) nextMembers(now time.Time, key string, g state.ReplicaGroup, vms []ident.VM) ([]ident.VM, bool) {
	order := rendez.Order("records/"+key, vms)
	if len(g.Members) == 0 {
		return order[:targetGroupSize(len(order))], true
	}
	spare := slices.DeleteFunc(slices.Clone(order), func(vm ident.VM) bool { return g.Has(vm) })
	if len(spare) == 0 {
		return nil, false
	}
	next := slices.Clone(g.Members)
	for i, vm := range next {
		if now.Sub(c.groupMaintenance.lastSeen[vm]) > memberAbsenceLimit &&
			now.Sub(c.groupMaintenance.leadingSince) > memberAbsenceLimit {
			next[i] = spare[0]
			return next, true
		}
	}
	if len(next) < targetGroupSize(len(order)) {
		return append(next, spare[0]), true
	}
	return nil, false
}

// targetGroupSize returns the size of a group among n VMs. It is odd: one more
// replica would need a larger majority and tolerate no more failures.
func targetGroupSize(n int) int {
	if n >= groupSize {
		return groupSize
	}
	if n%2 == 0 {
		return max(1, n-1)
	}
	return n
}

func (c *Control) proposeGroup(now time.Time, dc ident.DataCentre, index int, baseEpoch ident.Revision, next []ident.VM) {
	data, err := state.Encode(state.AssignGroup{
		Metadata: state.Metadata{
			ChangeID: ident.ChangeID(fmt.Sprintf("group/%s/%d/%d", dc, index, baseEpoch)),
			Actor:    "control", AtMillis: now.UnixMilli(),
		},
		DataCentre: dc, Index: index, BaseEpoch: baseEpoch, Members: next,
	})
	if err != nil {
		return
	}
	effects, _, _, err := c.node.Propose(data)
	if err == nil {
		c.handleEffects(effects)
	}
}
