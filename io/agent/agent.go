// Package agent keeps a daemon in touch with a relay: it announces the VM,
// brings in configuration and members, and changes the relay when that one
// is silent or stale.
//
// # Usage
//
//	a := agent.New(agent.Options{...})
//	a.Start()
//	defer a.Stop(ctx)     // tells the relay that this VM leaves
//
// The agent writes the sections Members and, unless the daemon is a control
// daemon, Config and Freshness of the blackboard.
package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/poison"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

const (
	// syncWait is how long a relay may hold a sync that brings nothing new.
	syncWait = time.Second
	// syncTimeout makes a relay silent.
	syncTimeout = syncWait + time.Second
	// staleAfter makes a relay's configuration stale.
	staleAfter = 2 * time.Second
	// retryPause stands between two attempts that fail.
	retryPause = 200 * time.Millisecond
	// preferredPause stands between two attempts to go back to the first relay.
	preferredPause   = 2 * time.Second
	preferredTimeout = 500 * time.Millisecond
	// staleTurnsMost bounds how the time between changes grows while every
	// relay is stale: a data centre that is cut off gains nothing by changing.
	staleTurnsMost = 4
	// keptSteps is how many commands are kept to be passed on as deltas.
	keptSteps = 1024
)

// Options is what an agent needs.
type Options struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Addresses  member.Addresses
	Clock      timer.Clock
	Board      *board.Board
	Pool       *wire.Pool
	Log        *event.Log
	// Relays lists the control addresses of relays, the preferred one first.
	Relays func() []string
	// Acting reports whether this daemon is a relay for others.
	Acting func() bool
	// Control is set for a control daemon.
	Control bool
	// FollowConfig is false on control daemons, which hold the log themselves.
	FollowConfig bool
}

// Agent is one daemon's side of the synchronisation.
type Agent struct {
	opt     Options
	cancel  context.CancelFunc
	done    chan struct{}
	members map[ident.VM]member.Entry
	mark    wire.Mark
	relay   string
	// leaving is set when the present relay is to be left for the next one.
	leaving bool
	// sourceSince is when the present relay was chosen.
	sourceSince time.Time
	// preferredAt is when the preferred relay was tried last.
	preferredAt time.Time
	// candidate is which of the relays before the present one is tried next.
	candidate int
	// staleTurns counts relays left because they were stale.
	staleTurns int

	mu      sync.Mutex
	version uint64
	last    entryContent
	stale   bool
}

// entryContent is what of an announcement raises its version.
type entryContent struct {
	served member.Served
	phase  member.Phase
	relay  string
	acting bool
	// crashes is compared by identity: the section's value at the time.
	crashes *[]poison.Mark
}

// New returns an agent that is not in touch yet.
func New(opt Options) *Agent {
	return &Agent{
		opt:     opt,
		done:    make(chan struct{}),
		members: map[ident.VM]member.Entry{},
		version: uint64(opt.Clock.Now().UnixMilli()),
	}
}

// Start begins to synchronise.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() {
		defer close(a.done)
		for ctx.Err() == nil {
			a.round(ctx)
		}
	}()
}

// Stop ends the synchronisation and announces that the VM leaves.
func (a *Agent) Stop(ctx context.Context) {
	a.cancel()
	<-a.done
	q := a.request(0)
	q.Entry.Phase = member.PhaseGone
	q.Entry.Version++
	_, _ = wire.Call[wire.SyncReply](ctx, a.opt.Pool, a.relay, wire.MethodSync, q)
}

func (a *Agent) round(ctx context.Context) {
	a.tryPreferred(ctx)
	a.chooseRelay()
	wait := syncWait
	if a.mark.Epoch == "" {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	stopWatch := a.interruptOnChange(callCtx, cancel)
	sent := a.opt.Clock.Now()
	reply, err := wire.Call[wire.SyncReply](callCtx, a.opt.Pool, a.relay, wire.MethodSync, a.request(wait))
	interrupted := stopWatch()
	if ctx.Err() != nil || (err != nil && interrupted) {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		a.opt.Log.Emit(event.ConnectionReplaced, zap.String("relay", a.relay))
	}
	if err != nil {
		a.nextRelay()
		a.pause(ctx)
		return
	}
	a.opt.Board.Contact.Write(&board.Contact{At: sent})
	a.take(reply)
}

// interruptOnChange ends a waiting sync when this VM has something to
// announce, so that a drain is known at once.
func (a *Agent) interruptOnChange(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	served, life, crashes := a.opt.Board.Served.Changed(), a.opt.Board.Life.Changed(), a.opt.Board.Crashes.Changed()
	result := make(chan bool, 1)
	finished := make(chan struct{})
	go func() {
		select {
		case <-served:
		case <-life:
		case <-crashes:
		case <-ctx.Done():
			result <- false
			return
		case <-finished:
			result <- false
			return
		}
		cancel()
		result <- true
	}()
	return func() bool {
		close(finished)
		return <-result
	}
}

// Relay returns the control address of the relay that is asked.
func (a *Agent) Relay() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.relay
}

func (a *Agent) pause(ctx context.Context) {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (a *Agent) chooseRelay() {
	relays := a.opt.Relays()
	if len(relays) == 0 {
		return
	}
	next := a.nextOf(relays)
	if next == a.relay {
		return
	}
	a.switchTo(next)
}

func (a *Agent) switchTo(next string) {
	a.mu.Lock()
	a.relay = next
	a.mu.Unlock()
	a.leaving = false
	a.sourceSince = a.opt.Clock.Now()
	a.mark = wire.Mark{}
	a.opt.Log.Emit(event.SourceChanged, zap.String("relay", next))
}

// nextOf keeps the present relay as long as it is one and works, whatever its
// place in the list has become; otherwise it takes the one after it.
func (a *Agent) nextOf(relays []string) string {
	at := slices.Index(relays, a.relay)
	if at >= 0 && !a.leaving {
		return a.relay
	}
	a.leaving = false
	return relays[(at+1)%len(relays)]
}

func (a *Agent) nextRelay() {
	a.leaving = true
	a.preferredAt = a.opt.Clock.Now()
}

// tryPreferred goes back to a relay that stands before the present one in the
// list when it answers again with a configuration that is no older.
func (a *Agent) tryPreferred(ctx context.Context) {
	now := a.opt.Clock.Now()
	relays := a.opt.Relays()
	before := slices.Index(relays, a.relay)
	if before <= 0 || now.Sub(a.preferredAt) < preferredPause {
		return
	}
	a.preferredAt = now
	ctx, cancel := context.WithTimeout(ctx, preferredTimeout)
	defer cancel()
	// One that is silent takes all the time, so the next attempt begins with
	// the one after it.
	for range before {
		candidate := relays[a.candidate%before]
		a.candidate++
		if a.answersFresh(ctx, candidate) {
			a.candidate = 0
			a.switchTo(candidate)
			return
		}
	}
}

func (a *Agent) answersFresh(ctx context.Context, relay string) bool {
	q := a.request(0)
	q.Directory = wire.Mark{}
	reply, err := wire.Call[wire.SyncReply](ctx, a.opt.Pool, relay, wire.MethodSync, q)
	age := a.opt.Board.Freshness.Read().Age(a.opt.Clock.Now())
	return err == nil && time.Duration(reply.AgeMs)*time.Millisecond <= max(staleAfter, age)
}

func (a *Agent) request(wait time.Duration) wire.SyncRequest {
	c := a.opt.Board.Config.Read()
	return wire.SyncRequest{
		Entry:        a.Entry(),
		HaveRevision: c.State.Revision,
		HaveDigest:   c.Digest(),
		Directory:    a.mark,
		WaitMs:       wait.Milliseconds(),
	}
}

// Entry returns what this VM announces of itself at the moment.
func (a *Agent) Entry() member.Entry {
	e := member.Entry{
		VM:         a.opt.VM,
		DataCentre: a.opt.DataCentre,
		Addresses:  a.opt.Addresses,
		Phase:      member.PhaseUp,
		Control:    a.opt.Control,
		Revision:   a.opt.Board.Config.Read().State.Revision,
	}
	if a.opt.Board.Life.Read().Phase == board.LifeStopping {
		e.Phase = member.PhaseDraining
	}
	e.Relay = a.opt.Acting()
	marks := a.opt.Board.Crashes.Read()
	e.Crashes = *marks
	content := entryContent{phase: e.Phase, relay: a.relay, acting: e.Relay, crashes: marks}
	if s := a.opt.Board.Served.Read(); s.Present() {
		served := s.Served
		if s.Drained {
			served.Phase = member.PhaseDraining
		}
		e.Served = &served
		content.served = served
	}
	e.Version = a.versionOf(content)
	return e
}

func (a *Agent) versionOf(content entryContent) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if content != a.last {
		a.last = content
		a.version = max(a.version+1, uint64(a.opt.Clock.Now().UnixMilli()))
	}
	return a.version
}
