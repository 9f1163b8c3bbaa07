// Package ctrl is the Raft node of a control daemon: it drives core/raft,
// persists its state in the data folder, applies committed entries and
// publishes the configuration on the blackboard.
//
// # Usage
//
//	c, err := ctrl.Open(ctrl.Options{...})
//	c.Register(server)
//	c.Start()
//	defer c.Stop()      // transfers leadership first
//
// All work on the Raft state happens in one goroutine, which takes it from a
// queue. After a failed write to the data folder the node stops: it acknowledges
// nothing more, and the other control daemons elect a new leader. If only space
// or open files were short, the node starts anew from its folder, as after a crash, once a write
// succeeds again; otherwise it stops for good.
package ctrl

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/store"
	"chicorymast/io/timer"
	"chicorymast/io/wire"
)

const (
	// TickInterval is the length of one Raft tick.
	TickInterval = 50 * time.Millisecond
	// electionTicks is the shortest election timeout.
	electionTicks  = 16
	heartbeatTicks = 2
	queueLength    = 1024
	// resumeInterval is the time between two attempts to write during a shortage.
	resumeInterval = 250 * time.Millisecond
)

// Options are the settings and dependencies of a control daemon's Raft node.
type Options struct {
	VM      ident.VM
	Address string
	Folder  string
	// Voters are the initial voters, including this daemon unless it joins. If it
	// is empty, the daemons at Seeds bootstrap the set.
	Voters []raft.Peer
	// Seeds are the control addresses of the initial voters when the settings do
	// not name their VMs.
	Seeds []string
	// Bootstrap allows an empty folder to bootstrap a set together with the seeds.
	Bootstrap bool
	// ControlAddresses returns the addresses of all known control daemons.
	ControlAddresses func() []string
	// ToleratedFailures is how many voters may fail at once. With zero, every
	// control daemon that joins becomes a voter.
	ToleratedFailures int
	// Join makes a new folder wait until operators add its node.
	Join  bool
	Clock timer.Clock
	Board *board.Board
	Pool  *wire.Pool
	Log   *event.Log
	Seed  uint64
	// OpenFile opens the files of the data folder; tests simulate full disks with it.
	OpenFile store.OpenFunc
}

// Control is the Raft node of one control daemon.
type Control struct {
	opt        Options
	store      *store.Store
	rng        *rand.Rand
	queue      chan func()
	done       chan struct{}
	stopOnce   sync.Once
	stopTimers []func()
	outbox     *outbox
	// unwritable is set while the data folder can't be written.
	unwritable atomic.Bool
	// unhandled holds the senders of the Raft messages in the queue.
	unhandled sync.Map
	// sent counts what was sent to other control daemons.
	sent sentCounts
	// proposedBytes is the size of the proposals that wait for an outcome.
	proposedBytes atomic.Int64
	// tickQueued is set while a tick is in the queue.
	tickQueued atomic.Bool

	// The fields below are accessed only from the queue's goroutine.
	token          string
	identity       store.Identity
	initialTokens  map[ident.VM]string
	restored       raft.Restored
	node           *raft.Node
	state          *state.State
	recentCommands []board.AcceptedCommand
	applied        raft.Index
	// appliedBytes is the size of the entries that were applied since the last snapshot.
	appliedBytes int
	proposals    map[raft.Index]pendingProposal
	// tickedUntil is the time that the node's ticks and stalls have counted.
	tickedUntil  time.Time
	pendingReads []pendingRead
	// failed is set after a failed write. With shortage also set, the node starts anew
	// when the shortage is over, and resumeAt is the time of the next attempt.
	failed, shortage bool
	resumeAt         time.Time
	groupMaintenance groupMaintenance
	// voterCount is the number of voters in the last committed membership.
	voterCount int
}

// sentCounts counts the entries, and the bytes of entries and snapshots, in Raft messages.
type sentCounts struct{ entries, bytes atomic.Int64 }

// Sent returns the number of log entries that were sent to other control daemons since the
// start, and the bytes of entries and snapshots.
func (c *Control) Sent() (entries, bytes int64) {
	return c.sent.entries.Load(), c.sent.bytes.Load()
}

// ProposedBytes returns the size of the proposals that wait for an outcome.
func (c *Control) ProposedBytes() int64 {
	return c.proposedBytes.Load()
}

// pendingProposal is a proposal whose entry is not committed yet.
type pendingProposal struct {
	term    raft.Term
	command state.Command
	// replies has one channel for each time that the change was sent.
	replies []chan wire.ProposeReply
}

func (p pendingProposal) reply(r wire.ProposeReply) {
	for _, replies := range p.replies {
		replies <- r
	}
}

// Open locks the data folder and restores the node's state from it.
func Open(opt Options) (c *Control, err error) {
	defer fault.Note(&err, "open Raft node")
	c = &Control{
		opt:              opt,
		rng:              rand.New(rand.NewPCG(opt.Seed, 3)),
		queue:            make(chan func(), queueLength),
		done:             make(chan struct{}),
		outbox:           newOutbox(opt.Pool, opt.Clock, opt.Address),
		state:            state.New(),
		proposals:        map[raft.Index]pendingProposal{},
		groupMaintenance: newGroupMaintenance(),
	}
	if c.store, c.restored, err = store.OpenWith(opt.Folder, opt.Log, opt.OpenFile); err != nil {
		return nil, err
	}
	if err = c.restoreIdentity(); err != nil {
		c.store.Close()
		return nil, err
	}
	return c, nil
}

// Register adds the methods of control daemons to a server.
func (c *Control) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodPropose, c.handlePropose)
	wire.Handle(s, wire.MethodProbe, c.handleProbe)
	wire.Handle(s, wire.MethodMembership, c.handleMembership)
	wire.Handle(s, wire.MethodRaft, c.handleRaft)
	wire.Handle(s, wire.MethodRead, c.handleRead)
}

// Start starts the queue's goroutine and the timers.
func (c *Control) Start() {
	go c.loop()
	c.enqueue(func() {
		if c.identity.Node != "" {
			c.startNode()
		}
	})
	c.stopTimers = append(c.stopTimers,
		c.opt.Clock.Every(TickInterval, func(time.Time) { c.enqueueTick() }),
		c.opt.Clock.Every(identityInterval, func(time.Time) {
			c.resolveIdentity()
			c.join()
		}),
	)
}

// Stop transfers leadership, stops the timers and closes the data folder.
func (c *Control) Stop() {
	for _, stop := range c.stopTimers {
		stop()
	}
	c.enqueueAndWait(func() {
		if c.node != nil && !c.failed {
			c.handleEffects(c.node.TransferLeadership())
		}
	})
	c.stopOnce.Do(func() { close(c.done) })
	c.outbox.close()
	c.store.Close()
}

func (c *Control) loop() {
	for {
		select {
		case f := <-c.queue:
			f()
		case <-c.done:
			return
		}
	}
}

// enqueue queues f for the node's goroutine.
func (c *Control) enqueue(f func()) {
	select {
	case c.queue <- f:
	case <-c.done:
	}
}

// enqueueAndWait queues f and returns when it has run or the node has stopped.
func (c *Control) enqueueAndWait(f func()) {
	finished := make(chan struct{})
	c.enqueue(func() {
		defer close(finished)
		f()
	})
	select {
	case <-finished:
	case <-c.done:
	}
}

// enqueueTick queues a tick unless one is queued already. One that follows a long
// wait counts the time of those that were left out.
func (c *Control) enqueueTick() {
	if c.tickQueued.CompareAndSwap(false, true) {
		c.enqueue(func() {
			c.tickQueued.Store(false)
			c.tick(c.opt.Clock.Now())
		})
	}
}

// startNode starts Raft from the restored state.
func (c *Control) startNode() {
	r := c.restored
	if len(r.Snapshot.Data) > 0 {
		if json.Unmarshal(r.Snapshot.Data, c.state) != nil {
			c.failed = true
			return
		}
	}
	if len(r.Snapshot.Members.Voters) == 0 && c.initialTokens != nil {
		r.Snapshot.Members = raft.Membership{Voters: c.initialVoters()}
	}
	c.applied, c.appliedBytes = r.Snapshot.Index, 0
	c.voterCount = len(r.Snapshot.Members.Voters)
	c.node = raft.New(raft.Config{
		ID: c.identity.Node, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: c.rng,
	}, r)
	c.tickedUntil = c.opt.Clock.Now()
	c.publish()
}

func (c *Control) tick(now time.Time) {
	c.resume(now)
	if c.node == nil || c.failed {
		return
	}
	c.countStall(now)
	c.handleEffects(c.node.Tick())
	c.answerReads()
	c.updateFreshness(now)
	c.maintainVoters()
	c.maintainGroups(now)
}

// countStall tells the node how much more time has passed than the tick that follows
// counts: the disk stalled, or this process did not run.
func (c *Control) countStall(now time.Time) {
	ticks := max(1, raft.Ticks(now.Sub(c.tickedUntil)/TickInterval))
	c.tickedUntil = c.tickedUntil.Add(time.Duration(ticks) * TickInterval)
	c.node.Stall(ticks - 1)
}

// resume starts the node anew from its folder if it stopped for a shortage and can
// write again.
func (c *Control) resume(now time.Time) {
	if !c.shortage || now.Before(c.resumeAt) {
		return
	}
	c.resumeAt = now.Add(resumeInterval)
	restored, err := c.store.Recover()
	if err != nil {
		c.shortage = errors.Is(err, store.ErrShortage)
		return
	}
	c.failed, c.shortage = false, false
	c.unwritable.Store(false)
	c.restored, c.state, c.recentCommands = restored, state.New(), nil
	c.groupMaintenance = newGroupMaintenance()
	c.startNode()
}

// updateFreshness publishes the time at which a majority last confirmed the
// state that is applied here.
func (c *Control) updateFreshness(now time.Time) {
	st := c.node.Status()
	if st.QuorumAgeTicks < 0 || c.applied < st.Commit || c.failed {
		return
	}
	age := time.Duration(st.QuorumAgeTicks+1) * TickInterval
	asOf := now.Add(-age)
	if asOf.After(c.opt.Board.Freshness.Read().AsOf) {
		c.opt.Board.Freshness.Write(&board.Freshness{AsOf: asOf, Source: ident.VM(st.Leader)})
	}
}

// publish writes the configuration to the blackboard, unless the one there is newer.
func (c *Control) publish() {
	if c.state.Revision < c.opt.Board.Config.Read().State.Revision {
		return // a node that has started anew has not applied its log yet
	}
	c.opt.Board.Config.Write(c.opt.Board.Config.Read().Next(c.state.Clone(), slices.Clone(c.recentCommands)))
}

// Writable reports whether the data folder can be written, as far as is known.
func (c *Control) Writable() bool {
	return !c.unwritable.Load()
}

// Leading reports whether this node is the leader, as far as it knows.
func (c *Control) Leading() (leading bool) {
	c.enqueueAndWait(func() { leading = c.node != nil && !c.failed && c.node.Status().Leading })
	return leading
}
