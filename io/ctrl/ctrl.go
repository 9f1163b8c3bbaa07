// Package ctrl is the control part of a daemon: it drives the agreement in
// core/raft, keeps its state in the data folder, applies what is decided and
// publishes the configuration on the blackboard.
//
// # Usage
//
//	c, err := ctrl.Open(ctrl.Options{...})
//	c.Register(server)
//	c.Start()
//	defer c.Stop()      // hands leadership over first
//
// All work on the agreement happens in one goroutine; what arrives is queued
// to it. A failed write to the data folder ends the work for good: nothing
// more is acknowledged, and the others elect a new leader.
package ctrl

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
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
	// TickInterval is the agreement's unit of time.
	TickInterval = 50 * time.Millisecond
	// electionTicks is the shortest time without a leader before an election.
	electionTicks  = 16
	heartbeatTicks = 2
	// snapshotEvery is how many entries a snapshot may be behind.
	snapshotEvery = 1000
	// keptSteps is how many commands are kept to be passed on as deltas.
	keptSteps   = 1024
	queueLength = 1024
)

// Options is what the control part needs.
type Options struct {
	VM      ident.VM
	Address string
	Folder  string
	// Voters are the first control daemons, this one included unless it joins.
	// Where it is empty, the daemons at Seeds found the set.
	Voters []raft.Peer
	// Seeds are control addresses of first control daemons whose VMs are not
	// known by name.
	Seeds []string
	// Bootstrap allows an empty folder to found together with the seeds.
	Bootstrap bool
	// ControlAddresses lists the control addresses of all known control daemons.
	ControlAddresses func() []string
	// ToleratedFailures is how many voters may be lost at once; zero makes every
	// control daemon that joins a voter.
	ToleratedFailures int
	// Join makes a new folder wait until operators add it.
	Join  bool
	Clock timer.Clock
	Board *board.Board
	Pool  *wire.Pool
	Log   *event.Log
	Seed  uint64
}

// Control is one control daemon.
type Control struct {
	opt   Options
	store *store.Store
	rng   *rand.Rand
	queue chan func()
	done  chan struct{}
	stop  sync.Once
	stops []func()
	out   *outbox

	// The rest belongs to the queue's goroutine.
	token    string
	identity store.Identity
	founders map[ident.VM]string
	restored raft.Restored
	node     *raft.Node
	state    *state.State
	steps    []board.AcceptedCommand
	applied  raft.Index
	waiters  map[raft.Index]waiter
	reads    []reader
	broken   bool
	keeper   keeper
	// voters is how many voters the last decided members had.
	voters int
}

// waiter is a proposal whose entry is not decided yet.
type waiter struct {
	term raft.Term
	tell chan wire.ProposeReply
}

// Open reads the data folder.
func Open(opt Options) (c *Control, err error) {
	defer fault.Note(&err, "open control part")
	c = &Control{
		opt:     opt,
		rng:     rand.New(rand.NewPCG(opt.Seed, 3)),
		queue:   make(chan func(), queueLength),
		done:    make(chan struct{}),
		out:     newOutbox(opt.Pool, opt.Address),
		state:   state.New(),
		waiters: map[raft.Index]waiter{},
		keeper:  newKeeper(),
	}
	if c.store, c.restored, err = store.Open(opt.Folder, opt.Log); err != nil {
		return nil, err
	}
	if err = c.restoreIdentity(); err != nil {
		c.store.Close()
		return nil, err
	}
	return c, nil
}

// Register adds the control part's methods.
func (c *Control) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodPropose, c.propose)
	wire.Handle(s, wire.MethodProbe, c.probe)
	wire.Handle(s, wire.MethodMembership, c.members)
	wire.Handle(s, wire.MethodRaft, c.receive)
	wire.Handle(s, wire.MethodRead, c.read)
}

// Start begins to take part.
func (c *Control) Start() {
	go c.loop()
	c.do(func() {
		if c.identity.Node != "" {
			c.startNode()
		}
	})
	c.stops = append(c.stops,
		c.opt.Clock.Every(TickInterval, func(now time.Time) { c.do(func() { c.tick(now) }) }),
		c.opt.Clock.Every(foundInterval, func(time.Time) {
			c.found()
			c.join()
		}),
	)
}

// Stop hands leadership over, ends the work and closes the folder.
func (c *Control) Stop() {
	for _, stop := range c.stops {
		stop()
	}
	c.wait(func() {
		if c.node != nil && !c.broken {
			c.carryOut(c.node.TransferLeadership())
		}
	})
	c.stop.Do(func() { close(c.done) })
	c.out.close()
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

// do queues work for the control part's goroutine.
func (c *Control) do(f func()) {
	select {
	case c.queue <- f:
	case <-c.done:
	}
}

// wait queues work and returns when it is done.
func (c *Control) wait(f func()) {
	finished := make(chan struct{})
	c.do(func() {
		defer close(finished)
		f()
	})
	select {
	case <-finished:
	case <-c.done:
	}
}

// startNode begins the agreement with what the folder held.
func (c *Control) startNode() {
	r := c.restored
	if len(r.Snapshot.Data) > 0 {
		if json.Unmarshal(r.Snapshot.Data, c.state) != nil {
			c.broken = true
			return
		}
	}
	if len(r.Snapshot.Members.Voters) == 0 && c.founders != nil {
		r.Snapshot.Members = raft.Membership{Voters: c.firstVoters()}
	}
	c.applied = r.Snapshot.Index
	c.voters = len(r.Snapshot.Members.Voters)
	c.node = raft.New(raft.Config{
		ID: c.identity.Node, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: c.rng,
	}, r)
	c.publish()
}

func (c *Control) tick(now time.Time) {
	if c.node == nil || c.broken {
		return
	}
	c.carryOut(c.node.Tick())
	c.answerReads()
	c.refresh(now)
	c.keepVoters()
	c.keepGroups(now)
}

// refresh publishes how recently a majority confirmed what is applied here.
func (c *Control) refresh(now time.Time) {
	st := c.node.Status()
	if st.QuorumAgeTicks < 0 || c.applied < st.Commit || c.broken {
		return
	}
	age := time.Duration(st.QuorumAgeTicks+1) * TickInterval
	asOf := now.Add(-age)
	if asOf.After(c.opt.Board.Freshness.Read().AsOf) {
		c.opt.Board.Freshness.Write(&board.Freshness{AsOf: asOf, Source: ident.VM(st.Leader)})
	}
}

// publish writes the configuration to the blackboard.
func (c *Control) publish() {
	c.opt.Board.Config.Write(c.opt.Board.Config.Read().Next(c.state.Clone(), slices.Clone(c.steps)))
}

// Leading reports whether this node leads, as far as it knows.
func (c *Control) Leading() (leading bool) {
	c.wait(func() { leading = c.node != nil && !c.broken && c.node.Status().Leading })
	return leading
}
