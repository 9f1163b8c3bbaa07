package relay

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/bulk"
	"chicorymast/core/fresh"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

func newRelay(t testing.TB, vm ident.VM, root func() bool) (*Relay, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	return New(Options{
		VM: vm, Clock: clock, Board: board.New(), Address: string(vm), Source: func() string { return "source" },
		OtherRelays: func() []string { return nil }, Root: root,
	}), clock
}

func up(vm ident.VM) member.Entry {
	return member.Entry{VM: vm, Phase: member.PhaseUp, Version: 1}
}

// learn makes an entry known to a relay through the relay that it syncs with.
func learn(r *Relay, clock *timer.Manual, entries ...member.Entry) {
	r.opt.Board.RelayContact.Write(&board.RelayContact{At: clock.Now()})
	r.opt.Board.Members.Write(board.NewMembers(entries))
	r.addFromSource(clock.Now())
}

func mustHavePhase(t testing.TB, r *Relay, vm ident.VM, want member.Phase) {
	t.Helper()
	e, known := r.directory.Get(vm)
	assert.Assert(t, known, "%s is not known", vm)
	assert.Equal(t, e.Phase, want)
}

func never() bool { return false }

// What a relay says of its own direct members must not be undone by relays that have
// not heard of the loss yet.
func TestLostDirectMemberIsGoneAfterOneLease(t *testing.T) {
	r, clock := newRelay(t, "relay", never)
	r.announce(up("lost"))
	for range 8 {
		clock.Advance(member.DefaultLease / 6)
		r.expire(clock.Now())
		learn(r, clock, up("lost"), up("other"))
	}
	mustHavePhase(t, r, "lost", member.PhaseGone)
	mustHavePhase(t, r, "other", member.PhaseUp)
}

// A relay that pulls learns of a lost member when the member's own relay does.
func TestLossIsTakenFromTheRelayOfTheMember(t *testing.T) {
	r, clock := newRelay(t, "relay", func() bool { return true })
	m := &mirror{members: map[ident.VM]member.Entry{}}
	r.updateMirror(m, wire.PullReply{Full: true, Members: []member.Entry{up("lost")}})
	mustHavePhase(t, r, "lost", member.PhaseUp)
	gone := up("lost")
	gone.Phase, gone.AgeMs = member.PhaseGone, member.DefaultLease.Milliseconds()
	clock.Advance(time.Second)
	r.updateMirror(m, wire.PullReply{Members: []member.Entry{gone}})
	mustHavePhase(t, r, "lost", member.PhaseGone)
	t.Run("until it announces itself again", func(t *testing.T) {
		r.updateMirror(m, wire.PullReply{Members: []member.Entry{up("lost")}})
		mustHavePhase(t, r, "lost", member.PhaseUp)
	})
}

// A control daemon that the settings no longer name as a seed pulls from nobody and
// must take the members from its own relay.
func TestFormerRootTakesMembersFromItsRelay(t *testing.T) {
	root := true
	r, clock := newRelay(t, "relay", func() bool { return root })
	root = false
	learn(r, clock, up("far"))
	mustHavePhase(t, r, "far", member.PhaseUp)
}

// steppingClock advances by step each time it is read.
type steppingClock struct {
	*timer.Manual
	step time.Duration
}

func (c steppingClock) Now() time.Time {
	c.Advance(c.step)
	return c.Manual.Now()
}

// Guards against a relay that has lost the leader and holds daemons beyond the time within
// which a change is in force.
func TestHeldSyncEndsWhenTheConfigurationIsStale(t *testing.T) {
	r, clock := newRelay(t, "relay", never)
	r.opt.Clock = steppingClock{clock, 10 * time.Millisecond}
	r.opt.Board.Freshness.Write(&board.Freshness{AsOf: clock.Now().Add(100*time.Millisecond - fresh.StaleAfter)})
	changed := r.awaitChange(t.Context(), nil, nil, time.Hour)
	assert.Assert(t, !changed)
	assert.Assert(t, r.age() >= fresh.StaleAfter)
}

// withHistory gives a relay a small configuration with many changes behind it.
func withHistory(t testing.TB, r *Relay, changes int) {
	t.Helper()
	st := state.New()
	var recent []board.AcceptedCommand
	for i := range changes {
		cmd := state.SetDrain{
			Metadata: state.Metadata{ChangeID: ident.ChangeID(strconv.Itoa(i)), Actor: ident.Actor(strings.Repeat("a", 500))},
			VM:       "vm", Draining: i%2 == 0,
		}
		data, err := state.Encode(cmd)
		assert.NilError(t, err)
		assert.Equal(t, st.Apply(cmd).Outcome, state.OutcomeAccepted)
		recent = append(recent, board.AcceptedCommand{Revision: st.Revision, Command: data})
	}
	r.opt.Board.Config.Write(board.NewConfig(st, recent))
}

func replyBytes(t testing.TB, r *Relay, q wire.SyncRequest) int {
	t.Helper()
	reply, err := r.sync(t.Context(), q)
	assert.NilError(t, err)
	data, err := json.Marshal(reply)
	assert.NilError(t, err)
	return len(data)
}

// Guards against searches of daemons that start, each of which gets the whole history of
// changes from several relays.
func TestProbeReplyIsSmallWhateverTheHistory(t *testing.T) {
	r, _ := newRelay(t, "relay", never)
	withHistory(t, r, 1000)
	for _, have := range []ident.Revision{0, 1, 500, 900} {
		size := replyBytes(t, r, wire.SyncRequest{Probe: true, HaveRevision: have})
		assert.Assert(t, size <= 8<<10, "%d bytes from revision %d", size, have)
	}
	reply, err := r.sync(t.Context(), wire.SyncRequest{Probe: true, HaveRevision: 999})
	assert.NilError(t, err)
	assert.Assert(t, reply.Config != nil, "a daemon that lacks one change must not wait for its first sync")
}

// Guards against a list of changes that is longer than the configuration which it leads to.
func TestSnapshotReplacesALongerHistory(t *testing.T) {
	r, _ := newRelay(t, "relay", never)
	withHistory(t, r, 1000)
	size := replyBytes(t, r, wire.SyncRequest{Entry: up("starting")})
	snapshot, err := json.Marshal(r.opt.Board.Config.Read().State.WithoutHistory())
	assert.NilError(t, err)
	assert.Assert(t, size <= len(snapshot)+8<<10, "%d bytes for a configuration of %d", size, len(snapshot))
}

// occupy makes a relay send large replies up to its limit; the returned function ends them.
func occupy(t testing.TB, r *Relay) (end func()) {
	t.Helper()
	assert.Equal(t, r.gate.Admit(r.opt.Clock.Now(), bulk.MaxHeld, false), bulk.Send{})
	return func() { r.sent(bulk.MaxHeld) }
}

// Guards against a relay that makes all of its large replies at once when many daemons start.
func TestLargeRepliesArePutOff(t *testing.T) {
	r, clock := newRelay(t, "relay", never)
	for i := range 200 {
		r.announce(up(ident.VM(strconv.Itoa(i))))
	}
	withHistory(t, r, 3)
	r.opt.Board.Freshness.Write(&board.Freshness{AsOf: clock.Now()})
	end := occupy(t, r)
	q := wire.SyncRequest{Entry: up("starting")}
	reply, err := r.sync(t.Context(), q)
	assert.NilError(t, err)
	assert.Assert(t, reply.RetryMs > 0 && reply.Reserved)
	assert.Assert(t, len(reply.Members) == 0 && reply.Directory.Epoch == "")
	assert.Assert(t, reply.Config != nil && reply.AgeMs == 0, "changes are in force meanwhile")
	t.Run("small ones are not", func(t *testing.T) {
		small := q
		small.Small = true
		reply, err := r.sync(t.Context(), small)
		assert.NilError(t, err)
		assert.Assert(t, reply.RetryMs == 0 && reply.Config != nil && len(reply.Members) == 0)
	})
	t.Run("until others were sent", func(t *testing.T) {
		q.Reserved = true
		answered := make(chan wire.SyncReply)
		go func() {
			reply, err := r.sync(t.Context(), q)
			assert.Check(t, err)
			answered <- reply
		}()
		end()
		reply := <-answered
		assert.Assert(t, reply.Full && len(reply.Members) == 201)
	})
}

// Guards against a daemon that restarts in an evacuated data centre and lets calls through
// while its first configuration, which may be large, is on its way or put off.
func TestDaemonWithoutConfigurationLearnsOfItsEvacuation(t *testing.T) {
	r, _ := newRelay(t, "relay", never)
	st := state.New()
	st.Apply(state.SetEvacuation{Metadata: state.Metadata{ChangeID: "e"}, DataCentre: "east", Evacuating: true})
	r.opt.Board.Config.Write(board.NewConfig(st, nil))
	for name, c := range map[string]struct {
		dc   ident.DataCentre
		have ident.Revision
		want bool
	}{
		"without a configuration":  {"east", 0, true},
		"in another data centre":   {"west", 0, false},
		"by its own configuration": {"east", 1, false},
	} {
		for _, probe := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				entry := up("vm")
				entry.DataCentre = c.dc
				reply, err := r.sync(t.Context(), wire.SyncRequest{Probe: probe, Entry: entry, HaveRevision: c.have, Small: true})
				assert.NilError(t, err)
				assert.Equal(t, reply.Evacuated, c.want)
			})
		}
	}
}
