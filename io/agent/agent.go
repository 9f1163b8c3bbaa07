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
	// syncTimeout makes a relay silent: the wait, and a slow way there and back.
	syncTimeout = syncWait + 400*time.Millisecond
	// hurriedWait replaces syncWait while the relay's configuration ages, so
	// that one that is cut off is left before a change could be missed.
	hurriedWait = 200 * time.Millisecond
	// agingAfter is older than what a relay in touch with a leader ever says.
	agingAfter = 500 * time.Millisecond
	// staleAfter makes a relay's configuration stale: with the search it leaves
	// time to have a change in force within 2 s, which operators were promised.
	staleAfter = 800 * time.Millisecond
	// retryPause stands between two attempts that fail.
	retryPause = 200 * time.Millisecond
	// preferredPause stands between two attempts to go back to a relay that
	// stands before the present one in the list.
	preferredPause = 2 * time.Second
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
	// RelayAddresses lists the control addresses of relays, the preferred one first.
	RelayAddresses func() []string
	// RelayActive reports whether this daemon is a relay for others.
	RelayActive func() bool
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
	members *member.View
	mark    wire.Cursor
	relay   string
	// failed is set when the present relay gave no answer.
	failed bool
	// age is how old the present relay's configuration was at its last answer.
	age time.Duration
	// searchedAt is when other relays were asked last, searched where in the
	// list the next search begins.
	searchedAt time.Time
	searched   int

	mu      sync.Mutex
	version uint64
	last    entryContent
	stale   bool
}

// entryContent is what of an announcement raises its version.
type entryContent struct {
	served member.Upstream
	phase  member.Phase
	relay  string
	acting bool
	// crashes is compared by identity: the section's value at the time.
	crashes *[]poison.CrashCount
}

// New returns an agent that is not in touch yet.
func New(opt Options) *Agent {
	return &Agent{
		opt:     opt,
		done:    make(chan struct{}),
		members: member.NewView(member.DefaultLease),
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
	if !a.choose(ctx) {
		a.pause(ctx)
	}
	wait := a.waitFor()
	callCtx, cancel := context.WithTimeout(ctx, a.timeoutFor(wait))
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
	a.failed = err != nil
	if err != nil {
		return
	}
	a.opt.Board.RelayContact.Write(&board.RelayContact{At: sent})
	a.take(reply)
}

// waitFor returns how long the relay may hold the next sync.
func (a *Agent) waitFor() time.Duration {
	switch {
	case a.mark.Epoch == "":
		return 0
	case a.age > agingAfter:
		return hurriedWait
	default:
		return syncWait
	}
}

// timeoutFor returns after how long a relay counts as silent that may hold a sync
// for a time. The first sync with a relay brings all members, some MB at most.
func (a *Agent) timeoutFor(wait time.Duration) time.Duration {
	if a.mark.Epoch == "" {
		return syncTimeout
	}
	return wait + syncTimeout - syncWait
}

// interruptOnChange ends a waiting sync when this VM has something to
// announce, so that a drain is known at once.
func (a *Agent) interruptOnChange(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	served, life, crashes := a.opt.Board.Upstream.Changed(), a.opt.Board.Lifecycle.Changed(), a.opt.Board.Crashes.Changed()
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
	if a.opt.Board.Lifecycle.Read().Phase == board.PhaseStopping {
		e.Phase = member.PhaseDraining
	}
	e.Relay = a.opt.RelayActive()
	marks := a.opt.Board.Crashes.Read()
	e.Crashes = *marks
	content := entryContent{phase: e.Phase, relay: a.relay, acting: e.Relay, crashes: marks}
	if s := a.opt.Board.Upstream.Read(); s.Present() {
		served := s.Upstream
		if s.Drained {
			served.Phase = member.PhaseDraining
		}
		e.Upstream = &served
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
