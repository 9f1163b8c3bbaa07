// Package relay distributes the configuration and the directory of members to
// the daemons of a data centre. Every daemon can act as a relay.
//
// # Usage
//
//	r := relay.New(relay.Options{...})
//	r.Register(server) // answers sync and pull
//	stop := r.Start() // pulls from other relays, expires leases
//
// A daemon renews its announcement with each sync. Those that sync with a relay
// are its direct members. Relays pull from each other only the direct members
// that changed, and renew the others as long as the pulls succeed. Messages
// carry ages instead of timestamps, so that clocks need not agree.
package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/bulk"
	"chicorymast/core/fresh"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/tenure"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

const (
	pullInterval = 500 * time.Millisecond
	pullTimeout  = time.Second
	// batchDelay lets changes that come close together go into one reply.
	batchDelay = 20 * time.Millisecond
	// maxWait bounds the wait that a daemon may ask for.
	maxWait = 2 * time.Second
	// maxProbeBytes is the size of the commands in the reply to a probe. A search asks
	// several relays at once, and again while none is fresh.
	maxProbeBytes = 4 << 10
	// entryBytes is the encoded size of an entry of the directory.
	entryBytes = 330
	// gateWait bounds the wait for another large reply to be sent.
	gateWait = 500 * time.Millisecond
)

// Options are the settings and dependencies of a relay.
type Options struct {
	VM    ident.VM
	Clock timer.Clock
	Board *board.Board
	Pool  *wire.Pool
	// Address is this relay's control address. Source returns the control address
	// of the relay with which this daemon itself syncs.
	Address string
	Source  func() string
	// Root reports whether this relay pulls the members from the others, even while no
	// daemon uses it, instead of taking them from the relay that it syncs with.
	Root func() bool
	// OtherRelays returns the control addresses of the other relays.
	OtherRelays func() []string
}

// Relay answers the syncs of daemons and the pulls of other relays.
type Relay struct {
	opt   Options
	epoch string

	mu        sync.Mutex
	direct    *member.Directory
	directory *member.Directory
	mirrors   map[string]*mirror
	changed   chan struct{}
	active    bool
	// gate admits large replies, and gateFreed is closed when one was sent. putOff counts
	// those that were not admitted.
	gate      *bulk.Gate
	gateFreed chan struct{}
	putOff    int
}

// mirror is a copy of the direct members of another relay.
type mirror struct {
	cursor  wire.Cursor
	members map[ident.VM]member.Entry
	pulling bool
}

// New returns a relay with an empty directory.
func New(opt Options) *Relay {
	return &Relay{
		opt:       opt,
		epoch:     string(opt.VM) + "/" + strconv.FormatInt(opt.Clock.Now().UnixNano(), 36),
		direct:    member.New(member.DefaultLease),
		directory: member.New(member.DefaultLease),
		mirrors:   map[string]*mirror{},
		changed:   make(chan struct{}),
		gate:      bulk.NewGate(bulk.MaxHeld),
		gateFreed: make(chan struct{}),
	}
}

// Register adds the relay's methods to a server.
func (r *Relay) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodSync, r.sync)
	wire.Handle(s, wire.MethodPull, r.pull)
	wire.Handle(s, wire.MethodReport, r.report)
}

// Start expires leases and pulls from other relays at an interval.
func (r *Relay) Start() (stop func()) {
	return r.opt.Clock.Every(pullInterval, func(now time.Time) {
		r.expire(now)
		if !r.opt.Root() && !r.Active() {
			return
		}
		r.addFromSource(now)
		for _, address := range r.opt.OtherRelays() {
			r.startPull(address)
		}
	})
}

func (r *Relay) sync(ctx context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
	received := r.opt.Clock.Now()
	departures := r.departures(q)
	if q.Probe {
		reply, c := r.confirmation()
		reply.Config = smallDelta(c, q)
		reply.Departures, reply.Evacuated = departures, r.evacuated(q)
		return reply, nil
	}
	r.announce(q.Entry)
	r.await(ctx, q, min(time.Duration(q.WaitMs)*time.Millisecond, maxWait))
	held := r.opt.Clock.Now().Sub(received) // before the age is read, which goes on
	reply := r.reply(ctx, q)
	reply.Departures, reply.Evacuated, reply.HeldMs = departures, r.evacuated(q), held.Milliseconds()
	return reply, nil
}

// evacuated reports whether operators evacuate the data centre of a daemon that has no
// configuration and so can't know it.
func (r *Relay) evacuated(q wire.SyncRequest) bool {
	return q.HaveRevision == 0 && r.opt.Board.Config.Read().State.Evacuations[q.Entry.DataCentre]
}

// departures returns what is known of upstreams that have left the VM of a daemon that
// does not use this relay yet. The daemon may have restarted and know nothing of them.
func (r *Relay) departures(q wire.SyncRequest) []tenure.Departure {
	if !q.Probe && q.Directory.Epoch == r.epoch {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, _ := r.directory.Get(q.Entry.VM)
	return e.Departures
}

func (r *Relay) announce(e member.Entry) {
	now := r.opt.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct.Announce(now, e)
	r.active = r.active || e.VM != r.opt.VM
	if r.directory.Announce(now, e) {
		r.wake()
	}
}

// wake wakes the waiting syncs after a change; r.mu must be held.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await returns when the daemon lacks a change, or when the wait is over.
func (r *Relay) await(ctx context.Context, q wire.SyncRequest, wait time.Duration) {
	if wait <= 0 {
		return
	}
	config := r.opt.Board.Config.Changed()
	members, pending := r.pending(q)
	if pending {
		return
	}
	if !r.awaitChange(ctx, config, members, wait) {
		return
	}
	batch := time.NewTimer(batchDelay)
	defer batch.Stop()
	<-batch.C
}

// awaitChange reports whether the configuration or the members change before the wait is
// over, ctx ends or the configuration here becomes stale.
func (r *Relay) awaitChange(ctx context.Context, config, members <-chan struct{}, wait time.Duration) bool {
	end := r.opt.Clock.Now().Add(wait)
	wasFresh := r.age() < fresh.StaleAfter
	for {
		check, ok := fresh.Hold(end.Sub(r.opt.Clock.Now()), r.age(), wasFresh)
		if !ok {
			return false
		}
		timer := time.NewTimer(check)
		select {
		case <-config:
		case <-members:
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
		return true
	}
}

// age returns the time since the configuration here was confirmed.
func (r *Relay) age() time.Duration {
	return r.opt.Board.Freshness.Read().Age(r.opt.Clock.Now())
}

func (r *Relay) pending(q wire.SyncRequest) (changed <-chan struct{}, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.opt.Board.Config.Read()
	if q.Small {
		return nil, smallDelta(c, q) != nil
	}
	behind := q.Directory.Epoch != r.epoch || q.Directory.Change != r.directory.LastChange()
	return r.changed, behind || q.HaveRevision < c.State.Revision
}

func (r *Relay) reply(ctx context.Context, q wire.SyncRequest) wire.SyncReply {
	later, admitted := bulk.Later{}, false
	if !q.Small {
		later, admitted = r.admit(ctx, q)
	}
	reply, c := r.confirmation()
	if !admitted {
		reply.Config = smallDelta(c, q)
		reply.RetryMs, reply.Reserved = later.After.Milliseconds(), later.Reserved
		return reply
	}
	reply.Config = configDelta(c, q.HaveRevision, q.HaveDigest)
	now := r.opt.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Directory = wire.Cursor{Epoch: r.epoch, Change: r.directory.LastChange()}
	reply.Members, reply.Full = entriesSince(now, r.directory, r.epoch, q.Directory)
	return reply
}

// admit returns when a reply to the daemon may be made, or when it should ask again. The
// reply is counted until it was written.
func (r *Relay) admit(ctx context.Context, q wire.SyncRequest) (later bulk.Later, admitted bool) {
	end := r.opt.Clock.Now().Add(gateWait)
	for {
		size := r.replySize(q)
		r.mu.Lock()
		now, freed := r.opt.Clock.Now(), r.gateFreed
		verdict := r.gate.Admit(now, size, q.Reserved && now.Before(end))
		r.mu.Unlock()
		switch v := verdict.(type) {
		case bulk.Send:
			if size > bulk.Small {
				wire.AfterReply(ctx, func() { r.sent(size) })
			}
			return later, true
		case bulk.Later:
			r.countPutOff()
			return v, false
		case bulk.Wait:
			r.awaitGate(ctx, freed, end.Sub(now))
		}
	}
}

func (r *Relay) countPutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putOff++
}

// LargeReplies returns the size of the large replies that are made and sent now, and how
// often one was put off since the start.
func (r *Relay) LargeReplies() (held bulk.Bytes, putOff int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Held(), r.putOff
}

// awaitGate returns when a large reply was sent, or when the wait is over.
func (r *Relay) awaitGate(ctx context.Context, freed <-chan struct{}, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-freed:
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.EndWait()
}

// sent releases a reply at the gate.
func (r *Relay) sent(size bulk.Bytes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Sent(r.opt.Clock.Now(), size)
	close(r.gateFreed)
	r.gateFreed = make(chan struct{})
}

// replySize estimates the size of the reply to a sync.
func (r *Relay) replySize(q wire.SyncRequest) (size bulk.Bytes) {
	if d := configDelta(r.opt.Board.Config.Read(), q.HaveRevision, q.HaveDigest); d != nil {
		size = bulk.Bytes(len(d.Snapshot))
		for _, command := range d.Commands {
			size += bulk.Bytes(len(command))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := uint64(r.directory.Len())
	if q.Directory.Epoch == r.epoch {
		changes = min(changes, r.directory.LastChange()-q.Directory.Change)
	}
	return size + bulk.Bytes(changes*entryBytes)
}

// confirmation returns the part of a reply that says which configuration is confirmed as
// of when, and that configuration. The age is read first: a configuration that is written
// meanwhile is newer than its age says, not older.
func (r *Relay) confirmation() (wire.SyncReply, *board.Config) {
	age := r.age()
	c := r.opt.Board.Config.Read()
	return wire.SyncReply{Relay: r.opt.VM, AgeMs: age.Milliseconds(), Revision: c.State.Revision}, c
}

func entriesSince(now time.Time, d *member.Directory, epoch string, cursor wire.Cursor) (entries []member.Entry, full bool) {
	if cursor.Epoch != epoch {
		return d.Entries(now), true
	}
	if cursor.Change == d.LastChange() {
		return nil, false
	}
	return d.Since(now, cursor.Change), false
}

// configDelta returns what leads to the current revision: the commands since, or a snapshot
// if these are not kept or take more bytes.
func configDelta(c *board.Config, have ident.Revision, digest string) *wire.ConfigDelta {
	st := c.State
	if have > st.Revision || (have == st.Revision && (digest == "" || digest == c.Digest())) {
		return nil
	}
	missing, kept := c.Since(have)
	if kept && have < st.Revision && (board.BytesOf(missing) <= maxProbeBytes || board.BytesOf(missing) <= len(c.Snapshot())) {
		return commandDelta(c, missing)
	}
	return &wire.ConfigDelta{Revision: st.Revision, Digest: c.Digest(), Snapshot: c.Snapshot()}
}

// smallDelta returns the commands that a daemon lacks if they take few bytes.
func smallDelta(c *board.Config, q wire.SyncRequest) *wire.ConfigDelta {
	if missing, kept := c.Since(q.HaveRevision); kept && board.BytesOf(missing) <= maxProbeBytes {
		return commandDelta(c, missing)
	}
	return nil
}

// commandDelta returns the commands that are missing, nil if there are none.
func commandDelta(c *board.Config, missing []board.AcceptedCommand) *wire.ConfigDelta {
	if len(missing) == 0 {
		return nil
	}
	d := &wire.ConfigDelta{Revision: c.State.Revision, Digest: c.Digest()}
	for _, command := range missing {
		d.Commands = append(d.Commands, json.RawMessage(command.Command))
	}
	return d
}

func (r *Relay) pull(_ context.Context, q wire.PullRequest) (wire.PullReply, error) {
	now := r.opt.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.PullReply{Relay: r.opt.VM, Cursor: wire.Cursor{Epoch: r.epoch, Change: r.direct.LastChange()}}
	reply.Members, reply.Full = entriesSince(now, r.direct, r.epoch, q.Have)
	return reply, nil
}

func (r *Relay) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.direct.LastChange()
	r.direct.Expire(now)
	changed := r.directory.Merge(now, r.direct.Since(now, before))
	r.active = r.direct.HasOther(r.opt.VM)
	if r.directory.Expire(now)+changed > 0 {
		r.wake()
	}
}

// addFromSource adds the members that this daemon received from its own relay.
// It does nothing when that relay is this daemon, whose entries would renew
// themselves.
func (r *Relay) addFromSource(now time.Time) {
	connected := now.Sub(r.opt.Board.RelayContact.Read().At) < member.DefaultLease/2
	if r.opt.Root() || !connected || r.opt.Source() == r.opt.Address {
		return
	}
	entries := r.opt.Board.Members.Read().Entries
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := 0
	for _, e := range entries {
		changed += r.renew(now, e)
	}
	if changed > 0 {
		r.wake()
	}
}

// renew renews an entry that another relay has at present, unless it is one of a
// direct member: this relay knows that one best. It returns the number of changes;
// r.mu must be held.
func (r *Relay) renew(now time.Time, e member.Entry) (changed int) {
	if own, direct := r.direct.Get(e.VM); direct && own.Version >= e.Version {
		return 0
	}
	e.AgeMs = 0
	return r.directory.Merge(now, []member.Entry{e})
}

func (r *Relay) startPull(address string) {
	r.mu.Lock()
	m := r.mirrors[address]
	if m == nil {
		m = &mirror{members: map[ident.VM]member.Entry{}}
		r.mirrors[address] = m
	}
	busy := m.pulling
	m.pulling = true
	q := wire.PullRequest{From: r.opt.VM, Have: m.cursor}
	r.mu.Unlock()
	if !busy {
		go r.pullOnce(address, m, q)
	}
}

func (r *Relay) pullOnce(address string, m *mirror, q wire.PullRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	reply, err := wire.Call[wire.PullReply](ctx, r.opt.Pool, address, wire.MethodPull, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	m.pulling = false
	if err != nil {
		return
	}
	r.updateMirror(m, reply)
}

// updateMirror stores the pulled members of another relay and renews all of them in
// the directory.
func (r *Relay) updateMirror(m *mirror, reply wire.PullReply) {
	if reply.Full {
		m.members = map[ident.VM]member.Entry{}
	}
	for _, e := range reply.Members {
		m.members[e.VM] = e
	}
	m.cursor = reply.Cursor
	now := r.opt.Clock.Now()
	changed := 0
	for vm, e := range m.members {
		if e.Phase == member.PhaseGone {
			changed += r.directory.Merge(now, []member.Entry{e})
			delete(m.members, vm)
			continue
		}
		changed += r.renew(now, e)
	}
	if changed > 0 {
		r.wake()
	}
}

// report counts the relay's direct members on which a revision is in force.
func (r *Relay) report(_ context.Context, q wire.ReportRequest) (wire.ReportReply, error) {
	const maxListed = 100
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.ReportReply{Relay: r.opt.VM}
	for _, e := range r.direct.Entries(r.opt.Clock.Now()) {
		if e.Phase == member.PhaseGone || r.movedAway(e) {
			continue
		}
		reply.Members++
		if e.Revision >= q.Revision {
			reply.InForce++
		} else if len(reply.Behind) < maxListed {
			reply.Behind = append(reply.Behind, e.VM)
		}
	}
	return reply, nil
}

// movedAway reports whether a member announces itself to another relay now.
func (r *Relay) movedAway(e member.Entry) bool {
	newest, ok := r.directory.Get(e.VM)
	return ok && newest.Version > e.Version
}

// Active reports whether other daemons use this one as their relay.
func (r *Relay) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Counts returns the number of direct members and of all known ones.
func (r *Relay) Counts() (direct, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock.Now()
	return len(r.direct.Entries(now)), len(r.directory.Entries(now))
}
