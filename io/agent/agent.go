// Package agent synchronises a daemon with a relay: it announces the VM, fetches
// the configuration and the members, and changes to another relay when the
// current one does not answer or is stale.
//
// # Usage
//
//	a := agent.New(agent.Options{...})
//	a.Start()
//	defer a.Stop(ctx) // announces that this VM is gone
//
// The agent writes the sections Members and RelayContact of the blackboard and,
// unless the daemon is a control daemon, Config and Freshness.
package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fresh"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/poison"
	"chicorymast/core/tenure"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"go.uber.org/zap"
)

const (
	// shortSyncWait replaces fresh.SyncHold while the relay's configuration is aging, so
	// that the agent leaves a relay that is cut off from the leader before it could
	// miss a change.
	shortSyncWait = 200 * time.Millisecond
	// relaySyncWait is that of a daemon which others use as their relay, so that the age
	// that it reports stays below agingAfter.
	relaySyncWait = 300 * time.Millisecond
	// agingAfter is above any age that a relay with a connection to a leader reports.
	agingAfter = 500 * time.Millisecond
	// retryPause is the time between two failed attempts.
	retryPause = 200 * time.Millisecond
	// preferredPause is the time between two attempts to return to a relay that is
	// earlier in the list than the current one.
	preferredPause = 2 * time.Second
)

// Options are the settings and dependencies of an agent.
type Options struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Addresses  member.Addresses
	Clock      timer.Clock
	Board      *board.Board
	Pool       *wire.Pool
	Log        *event.Log
	// RelayAddresses returns the control addresses of the relays in order of
	// preference; the last one is this daemon's own.
	RelayAddresses func() []string
	// RelayActive reports whether other daemons use this one as their relay.
	RelayActive func() bool
	// Recall gets what a relay knows of this VM from before: the departures, and whether
	// its data centre is evacuated while this daemon has no configuration. It is called for
	// each relay that is probed or used for the first time.
	Recall func(departures []tenure.Departure, evacuated bool)
	// Control is set for a control daemon.
	Control bool
	// FollowConfig is false on control daemons, which get the configuration from
	// their own log.
	FollowConfig bool
}

// Agent synchronises one daemon with its relay.
type Agent struct {
	opt     Options
	cancel  context.CancelFunc
	done    chan struct{}
	members *member.View
	cursor  wire.Cursor
	relay   string
	// failed is set when the current relay did not answer.
	failed bool
	// silence is the time for which the current relay has owed a reply.
	silence fresh.Silence
	// bulkAt is when to ask the relay again for a large reply that it has put off, and
	// reserved what it said of it.
	bulkAt   time.Time
	reserved bool
	// announcing is set when the last sync was interrupted by a change to announce.
	announcing bool
	// age is the age of the relay's configuration in its last reply.
	age time.Duration
	// searchedAt is the time of the last search for another relay; searches counts them.
	searchedAt time.Time
	searches   int

	mu      sync.Mutex
	version uint64
	last    entryContent
	stale   bool
}

// entryContent is the part of an announcement whose changes raise its version.
type entryContent struct {
	upstream    member.Upstream
	phase       member.Phase
	relay       string
	relayActive bool
	// crashes and departures are compared by identity, as pointers to the sections' values.
	crashes    *[]poison.CrashCount
	departures *[]tenure.Departure
}

// New returns an agent without a relay.
func New(opt Options) *Agent {
	return &Agent{
		opt:     opt,
		done:    make(chan struct{}),
		members: member.NewView(member.DefaultLease),
		version: uint64(opt.Clock.Now().UnixMilli()),
	}
}

// Start starts the synchronisation.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() {
		defer close(a.done)
		for ctx.Err() == nil {
			a.syncOnce(ctx)
		}
	}()
}

// Stop ends the synchronisation and announces that the VM is gone.
func (a *Agent) Stop(ctx context.Context) {
	a.cancel()
	<-a.done
	q := a.request(0)
	q.Entry.Phase = member.PhaseGone
	q.Entry.Version++
	_, _ = wire.Call[wire.SyncReply](ctx, a.opt.Pool, a.relay, wire.MethodSync, q)
}

func (a *Agent) syncOnce(ctx context.Context) {
	if !a.selectRelay(ctx) {
		a.pause(ctx)
	}
	wait := a.waitFor()
	sent := a.opt.Clock.Now()
	timeout, idle := a.timeoutFor(sent, wait)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stopInterrupt := func() bool { return false }
	if wait > 0 {
		stopInterrupt = a.interruptOnChange(callCtx, cancel)
	}
	q := a.request(wait)
	reply, err := wire.CallLarge[wire.SyncReply](callCtx, a.opt.Pool, a.relay, wire.MethodSync, q, idle)
	a.announcing = stopInterrupt() && err != nil
	if ctx.Err() != nil || a.announcing {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		a.opt.Log.Emit(event.ConnectionReplaced, zap.String("relay", a.relay))
	}
	a.silence.End()
	a.failed = err != nil
	defer a.checkStale()
	if err != nil {
		return
	}
	a.opt.Board.RelayContact.Write(&board.RelayContact{At: sent})
	a.recall(reply)
	a.applyReply(q, sent, reply)
}

// waitFor returns how long the relay may hold the next sync. One that announces a change
// is not held, so that nothing interrupts it and a silent relay is noticed.
func (a *Agent) waitFor() time.Duration {
	untilBulk := a.bulkAt.Sub(a.opt.Clock.Now())
	switch {
	case a.announcing:
		return 0
	case untilBulk > 0:
		return min(untilBulk, fresh.SyncHold)
	case a.cursor.Epoch == "":
		return 0
	case a.age > agingAfter:
		return shortSyncWait
	case a.opt.FollowConfig && a.opt.RelayActive():
		return relaySyncWait
	default:
		return fresh.SyncHold
	}
}

// timeoutFor returns the timeout of a sync that starts now and that the relay may hold for
// the given time, and for a sync whose reply may be large how long nothing may arrive.
func (a *Agent) timeoutFor(now time.Time, wait time.Duration) (timeout, idle time.Duration) {
	if a.cursor.Epoch == "" {
		return fresh.FirstSyncLimit, fresh.SyncHold + fresh.SyncSlack
	}
	return a.silence.Begin(now, wait), 0
}

// interruptOnChange cancels a waiting sync when this VM has a change to announce,
// so that a drain is known at once. The returned function stops it and reports
// whether it cancelled the sync.
func (a *Agent) interruptOnChange(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	upstream, lifecycle, crashes, departures := a.opt.Board.Upstream.Changed(),
		a.opt.Board.Lifecycle.Changed(), a.opt.Board.Crashes.Changed(), a.opt.Board.Departures.Changed()
	result := make(chan bool, 1)
	finished := make(chan struct{})
	go func() {
		select {
		case <-upstream:
		case <-lifecycle:
		case <-crashes:
		case <-departures:
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

// Relay returns the control address of the current relay.
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

func (a *Agent) request(wait time.Duration) wire.SyncRequest {
	c := a.opt.Board.Config.Read()
	return wire.SyncRequest{
		Entry:        a.Entry(),
		HaveRevision: c.State.Revision,
		HaveDigest:   c.Digest(),
		Directory:    a.cursor,
		WaitMs:       wait.Milliseconds(),
		Small:        a.bulkAt.After(a.opt.Clock.Now()),
		Reserved:     a.reserved,
	}
}

// Entry returns the current announcement of this VM.
func (a *Agent) Entry() member.Entry {
	e := member.Entry{
		VM:         a.opt.VM,
		DataCentre: a.opt.DataCentre,
		Addresses:  a.opt.Addresses,
		Phase:      member.PhaseUp,
		Control:    a.opt.Control,
		Revision:   a.opt.Board.Config.Read().State.Revision,
	}
	if a.opt.Board.Lifecycle.Read().Phase == board.PhaseStopping {
		e.Phase = member.PhaseDraining
	}
	e.Relay = a.opt.RelayActive()
	crashes, departures := a.opt.Board.Crashes.Read(), a.opt.Board.Departures.Read()
	e.Crashes, e.Departures = *crashes, *departures
	content := entryContent{phase: e.Phase, relay: a.relay, relayActive: e.Relay, crashes: crashes, departures: departures}
	if s := a.opt.Board.Upstream.Read(); s.Present() {
		upstream := s.Upstream
		if s.Drained && !s.Evacuated {
			upstream.Phase = member.PhaseDraining
		}
		e.Upstream = &upstream
		content.upstream = upstream
	}
	e.Version = a.versionFor(content)
	return e
}

func (a *Agent) versionFor(content entryContent) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if content != a.last {
		a.last = content
		a.version = max(a.version+1, uint64(a.opt.Clock.Now().UnixMilli()))
	}
	return a.version
}
