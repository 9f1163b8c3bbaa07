package record

import (
	"context"
	"time"

	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// replica is this daemon's copy of the records of one replica group.
type replica struct {
	group state.ReplicaGroup
	table *dedup.Table
	// ready is set if the replica may serve requests.
	ready bool
	// since is when recovery began.
	since   time.Time
	copying bool
	// restarted is set if this daemon may have acknowledged records of the
	// group before it was restarted.
	restarted bool
}

// follow creates, updates and removes replicas as the configuration requires.
func (r *Records) follow(now time.Time) {
	if !r.findOrigin() {
		return
	}
	st := r.opt.Board.Config.Read().State
	r.mu.Lock()
	defer r.mu.Unlock()
	for dc, groups := range st.ReplicaGroups {
		for i, g := range groups {
			r.followGroup(now, place{dc, i}, g)
		}
	}
}

// findOrigin sets the origin once a configuration has been confirmed after the
// start, and reports whether it is set. All records that this daemon acknowledged
// before the start belong to groups of that revision or an earlier one.
func (r *Records) findOrigin() bool {
	fresh := r.opt.Board.Freshness.Read().AsOf
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasOrigin && fresh.After(r.started) {
		r.hasOrigin = true
		r.origin = r.opt.Board.Config.Read().State.Revision
	}
	return r.hasOrigin
}

func (r *Records) followGroup(now time.Time, p place, g state.ReplicaGroup) {
	have := r.replicas[p]
	if !g.Has(r.opt.VM) {
		delete(r.replicas, p)
		return
	}
	if have == nil {
		have = &replica{table: dedup.NewTable(dedup.DefaultRetention, dedup.DefaultStoredBytes), since: now, restarted: g.Epoch <= r.origin}
		have.ready = len(g.PreviousMembers) == 0 && !have.restarted
		r.replicas[p] = have
	}
	have.group = g
	if !have.ready && !have.copying {
		r.recover(now, p, have)
	}
}

// recover starts to copy the records of a majority: of the current members after
// a restart, or of the previous members if this one is new in the group.
func (r *Records) recover(now time.Time, p place, have *replica) {
	if have.restarted && now.Sub(have.since) < quietTime {
		return
	}
	from, need := have.group.PreviousMembers, len(have.group.PreviousMembers)/2+1
	if have.restarted {
		from, need = have.group.Members, len(have.group.Members)/2+1
	}
	if have.restarted && len(have.group.Members) == 1 {
		// No other replica holds the lost records: wait until they have expired.
		have.ready = now.Sub(have.since) > dedup.DefaultRetention
		return
	}
	have.copying = true
	go r.copyFrom(p, have, from, need)
}

func (r *Records) copyFrom(p place, have *replica, from []ident.VM, need int) {
	r.mu.Lock()
	epoch := have.group.Epoch
	r.mu.Unlock()
	q := wire.RecordCopyRequest{Group: wire.RecordGroup{DataCentre: p.dc, Index: p.index, Epoch: epoch}}
	ctx, cancel := context.WithTimeout(context.Background(), claimTime)
	defer cancel()
	var copies []wire.RecordCopyReply
	for _, vm := range from {
		if vm == r.opt.VM {
			continue
		}
		if reply := ask(ctx, r, vm, wire.MethodRecordCopy, q, r.serveCopy); reply.Ready {
			copies = append(copies, reply)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	have.copying = false
	if len(copies) < need || have.group.Epoch != epoch || r.replicas[p] != have {
		return
	}
	for _, c := range copies {
		have.table.Merge(r.opt.Clock.Now(), c.Records)
	}
	have.ready = true
}

// find returns the replica of a group if it is ready and has the same epoch. If
// the epoch is newer than the replica's, it first applies the configuration.
func (r *Records) find(g wire.RecordGroup) *replica {
	p := place{g.DataCentre, g.Index}
	have := r.replicas[p]
	if have == nil || have.group.Epoch < g.Epoch {
		groups := r.opt.Board.Config.Read().State.ReplicaGroups[g.DataCentre]
		if r.hasOrigin && g.Index < len(groups) {
			r.followGroup(r.opt.Clock.Now(), p, groups[g.Index])
		}
		have = r.replicas[p]
	}
	if have == nil || !have.ready || have.group.Epoch != g.Epoch {
		return nil
	}
	return have
}

func (r *Records) serveBegin(_ context.Context, q wire.RecordBeginRequest) (wire.RecordBeginReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.find(q.Group)
	if have == nil {
		return wire.RecordBeginReply{}, nil
	}
	return wire.RecordBeginReply{Ready: true, Reply: have.table.Begin(r.opt.Clock.Now(), q.Claim)}, nil
}

// serveEnd records the outcome of a run. It ignores the epoch, since an outcome is
// valid in all epochs.
func (r *Records) serveEnd(_ context.Context, q wire.RecordEndRequest) (wire.RecordEndReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.replicas[place{q.Group.DataCentre, q.Group.Index}]
	if have == nil || !have.ready {
		return wire.RecordEndReply{}, nil
	}
	if q.Phase == "" {
		have.table.Release(q.ID, q.RunID)
		return wire.RecordEndReply{Ready: true}, nil
	}
	have.table.End(r.opt.Clock.Now(), q.ID, q.Fingerprint, q.RunID, q.Phase, q.Response)
	return wire.RecordEndReply{Ready: true}, nil
}

// serveCopy returns all records to a replica of the same or an earlier epoch.
// From then on this replica acknowledges no claims of an earlier epoch.
func (r *Records) serveCopy(_ context.Context, q wire.RecordCopyRequest) (wire.RecordCopyReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.replicas[place{q.Group.DataCentre, q.Group.Index}]
	if have == nil || !have.ready || have.group.Epoch < q.Group.Epoch {
		return wire.RecordCopyReply{}, nil
	}
	return wire.RecordCopyReply{Ready: true, Records: have.table.Records(r.opt.Clock.Now())}, nil
}

// ReplicaCounts returns the number of groups of which this daemon is a replica,
// and the number of those for which it is ready.
func (r *Records) ReplicaCounts() (ready, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, have := range r.replicas {
		all++
		if have.ready {
			ready++
		}
	}
	return ready, all
}
