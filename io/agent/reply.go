package agent

import (
	"encoding/json"
	"slices"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/fresh"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

func (a *Agent) applyReply(q wire.SyncRequest, sent time.Time, reply wire.SyncReply) {
	switch {
	case reply.RetryMs > 0:
		a.bulkAt, a.reserved = a.opt.Clock.Now().Add(time.Duration(reply.RetryMs)*time.Millisecond), reply.Reserved
	case !q.Small:
		a.reserved = false
		a.applyMembers(reply)
	}
	a.age = time.Duration(reply.AgeMs) * time.Millisecond
	a.confirm(q, sent, reply)
}

// confirm brings the configuration to that of a relay, and notes as of when it is known
// to be the newest. A reply whose configuration can't be applied confirms nothing.
func (a *Agent) confirm(q wire.SyncRequest, sent time.Time, reply wire.SyncReply) {
	if !a.opt.FollowConfig {
		return
	}
	have := a.opt.Board.Config.Read().State.Revision
	if reply.Config != nil && (reply.Config.Revision > have || q.HaveRevision == have) {
		// A delta starts from the revision of the request; another relay may have led
		// beyond it since.
		if q.HaveRevision != have || !a.applyConfig(*reply.Config) {
			return
		}
		have = reply.Config.Revision
	}
	if reply.Revision <= have {
		a.updateFreshness(sent, reply)
	}
}

// recall passes on what a relay knows of upstreams that have left this VM.
func (a *Agent) recall(reply wire.SyncReply) {
	if a.opt.Recall != nil && (a.cursor.Epoch == "" || len(reply.Departures) > 0 || reply.Evacuated) {
		a.opt.Recall(reply.Departures, reply.Evacuated)
	}
}

func (a *Agent) applyMembers(reply wire.SyncReply) {
	a.cursor = reply.Directory
	for _, e := range reply.Members {
		a.raiseVersion(e)
	}
	if a.members.Update(a.opt.Clock.Now(), reply.Full, reply.Members) {
		a.opt.Board.Members.Write(board.NewMembers(a.members.Entries()))
	}
}

// raiseVersion raises the version of this VM's announcement above one that the
// directory still holds from before a restart, written while the clock ran ahead.
func (a *Agent) raiseVersion(e member.Entry) {
	if e.VM != a.opt.VM {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Version > a.version {
		a.version = e.Version + 1
	}
}

func (a *Agent) applyConfig(d wire.ConfigDelta) (applied bool) {
	next, err := applyDelta(a.opt.Board.Config.Read(), d)
	if err == nil && next.Digest() == d.Digest {
		a.opt.Board.Config.Write(next)
		a.opt.Log.Emit(event.ConfigApplied, zap.Uint64("revision", uint64(next.State.Revision)), a.unconfirmed())
		return true
	}
	a.opt.Log.Emit(event.DigestMismatch, zap.Uint64("revision", uint64(d.Revision)), zap.Error(err))
	if have := a.opt.Board.Config.Read(); d.Snapshot == nil {
		// The invalid digest matches no state, so the next sync returns a snapshot.
		a.opt.Board.Config.Write(have.WithInvalidDigest())
	}
	return false
}

func applyDelta(have *board.Config, d wire.ConfigDelta) (next *board.Config, err error) {
	defer fault.Note(&err, "apply configuration delta to revision %d", d.Revision)
	if d.Snapshot != nil {
		st := state.New()
		if err := json.Unmarshal(d.Snapshot, st); err != nil {
			return nil, err
		}
		return board.NewConfig(st, nil), nil
	}
	st := have.State.Clone()
	var accepted []board.AcceptedCommand
	for _, raw := range d.Commands {
		cmd, err := state.Decode(raw)
		if err != nil {
			return nil, err
		}
		st.ApplyAccepted(cmd)
		accepted = append(accepted, board.AcceptedCommand{Revision: st.Revision, Command: raw})
	}
	return have.Next(st, board.AppendRecent(slices.Clone(have.RecentCommands), accepted...)), nil
}

func (a *Agent) updateFreshness(sent time.Time, reply wire.SyncReply) {
	age := time.Duration(reply.AgeMs) * time.Millisecond
	asOf := fresh.AsOf(sent, time.Duration(reply.HeldMs)*time.Millisecond, age)
	known := reply.AgeMs < board.NeverConfirmed.Milliseconds()
	if known && asOf.After(a.opt.Board.Freshness.Read().AsOf) {
		a.opt.Board.Freshness.Write(&board.Freshness{AsOf: asOf, Source: reply.Relay})
	}
}

// unconfirmed is the time since the configuration was last confirmed, an upper bound of
// how long ago a change that arrives now was committed; negative if it never was.
func (a *Agent) unconfirmed() zap.Field {
	f := a.opt.Board.Freshness.Read()
	if f.AsOf.IsZero() {
		return zap.Int64("unconfirmed_ms", -1)
	}
	return zap.Int64("unconfirmed_ms", f.Age(a.opt.Clock.Now()).Milliseconds())
}

// checkStale logs when the configuration becomes stale and when it is confirmed again.
func (a *Agent) checkStale() {
	stale := a.opt.Board.Freshness.Read().Age(a.opt.Clock.Now()) > fresh.SyncHold+fresh.StaleAfter
	if stale == a.stale || !a.opt.FollowConfig {
		return
	}
	a.stale = stale
	if stale {
		a.opt.Log.Emit(event.ConfigStale)
		return
	}
	a.opt.Log.Emit(event.ConfigFresh)
}
