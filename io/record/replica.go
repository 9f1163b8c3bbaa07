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
	// recoveringSince is when recovery began.
	recoveringSince time.Time
	copying         bool
	// restarted is set if this daemon may have acknowledged records of the
	// group before it was restarted.
	restarted bool
}

// applyConfig creates, updates and removes replicas as the configuration requires.
func (r *Records) applyConfig(now time.Time) {
	if !r.setOrigin() {
		return
	}
	st := r.opt.Board.Config.Read().State
	r.mu.Lock()
	defer r.mu.Unlock()
	for dc, groups := range st.ReplicaGroups {
		for i, g := range groups {
			r.applyGroup(now, groupID{dc, i}, g)
		}
	}
}

// setOrigin sets the origin once a configuration has been confirmed after the
// start, and reports whether it is set. All records that this daemon acknowledged
// before the start belong to groups of that revision or an earlier one.
func (r *Records) setOrigin() bool {
	asOf := r.opt.Board.Freshness.Read().AsOf
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasOrigin && asOf.After(r.started) {
		r.hasOrigin = true
		r.origin = r.opt.Board.Config.Read().State.Revision
	}
	return r.hasOrigin
}

func (r *Records) applyGroup(now time.Time, id groupID, g state.ReplicaGroup) {
	rep := r.replicas[id]
	if !g.Has(r.opt.VM) {
		delete(r.replicas, id)
		return
	}
	if rep == nil {
		rep = &replica{table: dedup.NewTable(dedup.DefaultRetention, dedup.DefaultStoredBytes), recoveringSince: now, restarted: g.Epoch <= r.origin}
		rep.ready = len(g.PreviousMembers) == 0 && !rep.restarted
		r.replicas[id] = rep
	}
	rep.group = g
	if !rep.ready && !rep.copying {
		r.recover(now, id, rep)
	}
}

// recover starts to copy the records of a majority of the group. After a restart
// these are current members other than this one; if this one is new in the group,
// they are previous members. The mutex must be held.
func (r *Records) recover(now time.Time, id groupID, rep *replica) {
	if rep.restarted && now.Sub(rep.recoveringSince) < recoveryDelay {
		return
	}
	sources, quorum := rep.group.PreviousMembers, len(rep.group.PreviousMembers)/2+1
	if rep.restarted {
		sources, quorum = rep.group.Members, len(rep.group.Members)/2+1
	}
	if rep.restarted && len(rep.group.Members) == 1 {
		// No other replica holds the lost records: wait until they have expired.
		rep.ready = now.Sub(rep.recoveringSince) > dedup.DefaultRetention
		return
	}
	rep.copying = true
	go r.copyRecords(id, rep, sources, quorum)
}

func (r *Records) copyRecords(id groupID, rep *replica, sources []ident.VM, quorum int) {
	r.mu.Lock()
	epoch := rep.group.Epoch
	r.mu.Unlock()
	q := wire.RecordCopyRequest{Group: wire.RecordGroup{DataCentre: id.dc, Index: id.index, Epoch: epoch}}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var copies []wire.RecordCopyReply
	for _, vm := range sources {
		if vm == r.opt.VM {
			continue
		}
		if reply := callReplica(ctx, r, vm, wire.MethodRecordCopy, q, r.serveCopy); reply.Ready {
			copies = append(copies, reply)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.copying = false
	if len(copies) < quorum || rep.group.Epoch != epoch || r.replicas[id] != rep {
		return
	}
	for _, c := range copies {
		rep.table.Merge(r.opt.Clock.Now(), c.Records)
	}
	rep.ready = true
}

// readyReplica returns the replica of a group if it is ready and has the same epoch. If
// the epoch is newer than the replica's, it first applies the configuration. The
// mutex must be held.
func (r *Records) readyReplica(g wire.RecordGroup) *replica {
	id := groupID{g.DataCentre, g.Index}
	rep := r.replicas[id]
	if rep == nil || rep.group.Epoch < g.Epoch {
		groups := r.opt.Board.Config.Read().State.ReplicaGroups[g.DataCentre]
		if r.hasOrigin && g.Index < len(groups) {
			r.applyGroup(r.opt.Clock.Now(), id, groups[g.Index])
		}
		rep = r.replicas[id]
	}
	if rep == nil || !rep.ready || rep.group.Epoch != g.Epoch {
		return nil
	}
	return rep
}

func (r *Records) serveBegin(_ context.Context, q wire.RecordBeginRequest) (wire.RecordBeginReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.readyReplica(q.Group)
	if rep == nil {
		return wire.RecordBeginReply{}, nil
	}
	return wire.RecordBeginReply{Ready: true, Reply: rep.table.Begin(r.opt.Clock.Now(), q.Claim)}, nil
}

// serveEnd records the outcome of a run. It ignores the epoch, since an outcome is
// valid in all epochs.
func (r *Records) serveEnd(_ context.Context, q wire.RecordEndRequest) (wire.RecordEndReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replicas[groupID{q.Group.DataCentre, q.Group.Index}]
	if rep == nil || !rep.ready {
		return wire.RecordEndReply{}, nil
	}
	if q.Phase == "" {
		rep.table.Release(q.ID, q.RunID)
		return wire.RecordEndReply{Ready: true}, nil
	}
	rep.table.End(r.opt.Clock.Now(), q.ID, q.Fingerprint, q.RunID, q.Phase, q.Response)
	return wire.RecordEndReply{Ready: true}, nil
}

// serveCopy returns all records to a replica of the same or an earlier epoch.
// This replica no longer acknowledges claims of epochs before the requested one.
func (r *Records) serveCopy(_ context.Context, q wire.RecordCopyRequest) (wire.RecordCopyReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replicas[groupID{q.Group.DataCentre, q.Group.Index}]
	if rep == nil || !rep.ready || rep.group.Epoch < q.Group.Epoch {
		return wire.RecordCopyReply{}, nil
	}
	return wire.RecordCopyReply{Ready: true, Records: rep.table.Records(r.opt.Clock.Now())}, nil
}

// ReplicaCounts returns the number of groups of which this daemon is a replica,
// and the number of those for which it is ready.
func (r *Records) ReplicaCounts() (ready, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.replicas {
		all++
		if rep.ready {
			ready++
		}
	}
	return ready, all
}
