// Package relay passes the configuration and the directory of members on to
// the daemons of a data centre. Every daemon can act as a relay.
//
// # Usage
//
//	r := relay.New(relay.Options{...})
//	r.Register(server) // answers sync and pull
//	stop := r.Start(clock) // pulls from other relays, expires leases
//
// A daemon renews its announcement with each sync; relays pull from each
// other only what changed, and vouch for those that announced themselves to
// them. Ages travel, clock readings do not.
package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

const (
	pullInterval = 500 * time.Millisecond
	pullTimeout  = time.Second
	// batchDelay collects changes that come together into one answer.
	batchDelay = 20 * time.Millisecond
	// longestWait bounds how long a daemon may ask to wait.
	longestWait = 2 * time.Second
)

// Options is what a relay needs.
type Options struct {
	VM    ident.VM
	Clock timer.Clock
	Board *board.Board
	Pool  *wire.Pool
	// Address is this relay's control address, Source that of the relay which
	// this daemon asks itself.
	Address string
	Source  func() string
	// AlwaysPull makes the relay pull even when no other daemon has chosen it.
	AlwaysPull bool
	// OtherRelays are the control addresses of the other relays.
	OtherRelays func() []string
}

// Relay serves the daemons that chose it.
type Relay struct {
	opt   Options
	epoch string

	mu      sync.Mutex
	home    *member.Directory
	all     *member.Directory
	mirrors map[string]*mirror
	changed chan struct{}
	acting  bool
}

// mirror is what another relay vouches for.
type mirror struct {
	mark    wire.Cursor
	members map[ident.VM]member.Entry
	pulling bool
}

// New returns a relay that knows nobody.
func New(opt Options) *Relay {
	return &Relay{
		opt:     opt,
		epoch:   string(opt.VM) + "/" + strconv.FormatInt(opt.Clock.Now().UnixNano(), 36),
		home:    member.New(member.DefaultLease),
		all:     member.New(member.DefaultLease),
		mirrors: map[string]*mirror{},
		changed: make(chan struct{}),
	}
}

// Register adds the relay's methods to a server.
func (r *Relay) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodSync, r.sync)
	wire.Handle(s, wire.MethodPull, r.pull)
	wire.Handle(s, wire.MethodReport, r.report)
}

// Start begins to pull from other relays.
func (r *Relay) Start() (stop func()) {
	return r.opt.Clock.Every(pullInterval, func(now time.Time) {
		r.expire(now)
		if !r.opt.AlwaysPull && !r.Active() {
			return
		}
		r.feed(now)
		for _, address := range r.opt.OtherRelays() {
			r.startPull(address)
		}
	})
}

func (r *Relay) sync(ctx context.Context, q wire.SyncRequest) (wire.SyncReply, error) {
	if q.Probe {
		return wire.SyncReply{Relay: r.opt.VM, AgeMs: r.age(r.opt.Clock.Now())}, nil
	}
	r.announce(q.Entry)
	wait := min(time.Duration(q.WaitMs)*time.Millisecond, longestWait)
	r.await(ctx, q, wait)
	return r.reply(q), nil
}

func (r *Relay) announce(e member.Entry) {
	now := r.opt.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home.Announce(now, e)
	r.acting = r.acting || e.VM != r.opt.VM
	if r.all.Announce(now, e) {
		r.wake()
	}
}

// wake tells waiting daemons of a change; the mutex is held.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await returns when there is something new or the wait is over.
func (r *Relay) await(ctx context.Context, q wire.SyncRequest, wait time.Duration) {
	if wait <= 0 {
		return
	}
	config := r.opt.Board.Config.Changed()
	members, news := r.news(q)
	if news {
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-config:
	case <-members:
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	batch := time.NewTimer(batchDelay)
	defer batch.Stop()
	<-batch.C
}

func (r *Relay) news(q wire.SyncRequest) (changed <-chan struct{}, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := q.Directory.Epoch != r.epoch || q.Directory.Change != r.all.LastChange()
	older := q.HaveRevision < r.opt.Board.Config.Read().State.Revision
	return r.changed, behind || older
}

func (r *Relay) reply(q wire.SyncRequest) wire.SyncReply {
	now := r.opt.Clock.Now()
	reply := wire.SyncReply{
		Relay:  r.opt.VM,
		Config: configDelta(r.opt.Board.Config.Read(), q.HaveRevision, q.HaveDigest),
		AgeMs:  r.age(now),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Directory = wire.Cursor{Epoch: r.epoch, Change: r.all.LastChange()}
	reply.Members, reply.Full = since(now, r.all, r.epoch, q.Directory)
	return reply
}

// age returns how old the configuration here is, in milliseconds.
func (r *Relay) age(now time.Time) int64 {
	return r.opt.Board.Freshness.Read().Age(now).Milliseconds()
}

func since(now time.Time, d *member.Directory, epoch string, have wire.Cursor) (entries []member.Entry, whole bool) {
	if have.Epoch != epoch {
		return d.Entries(now), true
	}
	if have.Change == d.LastChange() {
		return nil, false
	}
	return d.Since(now, have.Change), false
}

func configDelta(c *board.Config, have ident.Revision, digest string) *wire.ConfigDelta {
	st := c.State
	if have > st.Revision || (have == st.Revision && (digest == "" || digest == c.Digest())) {
		return nil
	}
	d := &wire.ConfigDelta{Revision: st.Revision, Digest: c.Digest()}
	steps, kept := c.Since(have)
	if !kept || have == st.Revision {
		d.Snapshot = st.WithoutHistory()
		return d
	}
	for _, step := range steps {
		d.Commands = append(d.Commands, json.RawMessage(step.Command))
	}
	return d
}

func (r *Relay) pull(_ context.Context, q wire.PullRequest) (wire.PullReply, error) {
	now := r.opt.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.PullReply{Relay: r.opt.VM, Cursor: wire.Cursor{Epoch: r.epoch, Change: r.home.LastChange()}}
	reply.Members, reply.Full = since(now, r.home, r.epoch, q.Have)
	return reply, nil
}

func (r *Relay) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home.Expire(now)
	r.acting = r.home.HasOther(r.opt.VM)
	if r.all.Expire(now) > 0 {
		r.wake()
	}
}

// feed takes what this daemon hears as a member from another relay. What came
// from this very relay must not renew itself.
func (r *Relay) feed(now time.Time) {
	heard := now.Sub(r.opt.Board.RelayContact.Read().At) < member.DefaultLease/2
	if r.opt.AlwaysPull || !heard || r.opt.Source() == r.opt.Address {
		return
	}
	entries := r.opt.Board.Members.Read().Entries
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := 0
	for _, e := range entries {
		e.AgeMs = 0
		if r.all.Announce(now, e) {
			changed++
		}
	}
	if changed > 0 {
		r.wake()
	}
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
	q := wire.PullRequest{From: r.opt.VM, Have: m.mark}
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
	r.take(m, reply)
}

// take renews what another relay vouches for and adds what changed there.
func (r *Relay) take(m *mirror, reply wire.PullReply) {
	if reply.Full {
		m.members = map[ident.VM]member.Entry{}
	}
	for _, e := range reply.Members {
		m.members[e.VM] = e
	}
	m.mark = reply.Cursor
	now := r.opt.Clock.Now()
	changed := 0
	for vm, e := range m.members {
		if e.Phase == member.PhaseGone {
			changed += r.all.Merge(now, []member.Entry{e})
			delete(m.members, vm)
			continue
		}
		e.AgeMs = 0
		changed += r.all.Merge(now, []member.Entry{e})
	}
	if changed > 0 {
		r.wake()
	}
}

// report says on which of its own members a revision is in force.
func (r *Relay) report(_ context.Context, q wire.ReportRequest) (wire.ReportReply, error) {
	const named = 100
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.ReportReply{Relay: r.opt.VM}
	for _, e := range r.home.Entries(r.opt.Clock.Now()) {
		if e.Phase == member.PhaseGone || r.movedAway(e) {
			continue
		}
		reply.Members++
		if e.Revision >= q.Revision {
			reply.InForce++
		} else if len(reply.Behind) < named {
			reply.Behind = append(reply.Behind, e.VM)
		}
	}
	return reply, nil
}

// movedAway reports whether a member announces itself to another relay now.
func (r *Relay) movedAway(e member.Entry) bool {
	newest, ok := r.all.Get(e.VM)
	return ok && newest.Version > e.Version
}

// Active reports whether other daemons announce themselves to this one.
func (r *Relay) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acting
}

// Counts returns how many members the relay speaks for and how many it knows.
func (r *Relay) Counts() (home, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opt.Clock.Now()
	return len(r.home.Entries(now)), len(r.all.Entries(now))
}
