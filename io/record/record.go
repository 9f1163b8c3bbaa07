// Package record stores the records of actions at replica groups and claims
// actions there. Replicas are daemons that hold the records in memory only.
//
// # Usage
//
//	r := record.New(record.Options{...})
//	r.Register(server)
//	stop := r.Start()
//	claim := r.Begin(ctx, id, fingerprint, timeout)
//	r.End(claim, dedup.PhaseDone, response)
//
// The replica groups are part of the configuration. A replica that restarted
// waits until no claim that it acknowledged before can still be pending. Then,
// like a replica that is new in its group, it copies the records of a majority
// before it serves requests. An action whose claim does not reach a majority
// is refused as not run.
package record

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"github.com/cespare/xxhash/v2"
)

// Options configures Records.
type Options struct {
	VM    ident.VM
	Clock timer.Clock
	Board *board.Board
	Pool  *wire.Pool
	Seed  uint64
}

// Records is the part of one daemon: it is a replica of some groups and a client
// of all.
type Records struct {
	opt Options

	rngMu sync.Mutex
	rng   *rand.Rand

	mu       sync.Mutex
	replicas map[place]*replica
	// started is when this daemon started. origin is the newest revision at
	// which this daemon may have been a replica before it started.
	started   time.Time
	origin    ident.Revision
	hasOrigin bool
}

// place identifies a replica group regardless of its epoch.
type place struct {
	dc    ident.DataCentre
	index int
}

const (
	// claimTime is the timeout of a claim for the replies of replicas.
	claimTime = 500 * time.Millisecond
	// endTime is how long End waits for a majority.
	endTime = 200 * time.Millisecond
	// quietTime is how long a restarted replica waits before it recovers.
	// Claims that it acknowledged before have been decided by then.
	quietTime = 2 * claimTime
	tickTime  = 200 * time.Millisecond
	// graceTime is added to the timeout of a run before its outcome counts as
	// unknown.
	graceTime = 2 * time.Second
)

// New returns Records for a daemon that has just started.
func New(opt Options) *Records {
	return &Records{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 11)),
		replicas: map[place]*replica{}, started: opt.Clock.Now(),
	}
}

// Register adds the RPC handlers of the replicas to a server.
func (r *Records) Register(s *wire.Server) {
	wire.Handle(s, wire.MethodRecordBegin, r.serveBegin)
	wire.Handle(s, wire.MethodRecordEnd, r.serveEnd)
	wire.Handle(s, wire.MethodRecordCopy, r.serveCopy)
}

// Start starts the task that applies the replica groups of the configuration.
func (r *Records) Start() (stop func()) {
	return r.opt.Clock.Every(tickTime, r.follow)
}

// Claim is the claim of an action by this daemon, with its verdict.
type Claim struct {
	group   state.ReplicaGroup
	name    wire.RecordGroup
	claim   dedup.Claim
	Verdict dedup.Verdict
}

// Begin claims an action and returns the claim with its verdict. It waits for a
// run in progress elsewhere until ctx ends, and retries a claim for which no
// majority replies.
func (r *Records) Begin(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *Claim {
	const firstPause, longestPause = 20 * time.Millisecond, 500 * time.Millisecond
	const lostTries = 6
	lost := 0
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		run := r.claim(ctx, id, fp, timeout)
		switch run.Verdict.(type) {
		case dedup.Wait:
		case dedup.Unreachable:
			lost++
		default:
			return run
		}
		if lost >= lostTries || !r.sleep(ctx, pause) {
			return run
		}
	}
}

// sleep waits a random time up to d, so that daemons that claim the same action
// at once do not conflict again. It reports false if ctx ended first.
func (r *Records) sleep(ctx context.Context, d time.Duration) bool {
	r.rngMu.Lock()
	d = time.Duration(r.rng.Int64N(int64(d))) + time.Millisecond
	r.rngMu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Records) claim(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *Claim {
	group, name, ok := r.groupOf(id)
	run := &Claim{group: group, name: name, Verdict: dedup.Unreachable{}}
	run.claim = dedup.Claim{ID: id, Fingerprint: fp, RunID: r.newRunner(), TimeoutMs: (timeout + graceTime).Milliseconds()}
	if !ok {
		return run
	}
	run.Verdict = r.collect(ctx, run)
	if _, won := run.Verdict.(dedup.Run); !won {
		go r.release(run)
	}
	return run
}

func (r *Records) newRunner() dedup.RunID {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return dedup.RunID(string(r.opt.VM) + "/" + strconv.FormatUint(r.rng.Uint64(), 36))
}

// groupOf returns the replica group of an action.
func (r *Records) groupOf(id dedup.ID) (state.ReplicaGroup, wire.RecordGroup, bool) {
	st := r.opt.Board.Config.Read().State
	dc := st.Intent.RecordHome(id.Workspace)
	groups := st.ReplicaGroups[dc]
	if len(groups) == 0 {
		return state.ReplicaGroup{}, wire.RecordGroup{}, false
	}
	index := int(xxhash.Sum64String(string(id.Workspace)+"\x00"+string(id.Action)) % uint64(len(groups)))
	g := groups[index]
	return g, wire.RecordGroup{DataCentre: dc, Index: index, Epoch: g.Epoch}, len(g.Members) > 0
}

// collect sends the claim to all replicas in parallel and returns as soon as
// further replies can't change the verdict.
func (r *Records) collect(ctx context.Context, run *Claim) dedup.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	q := wire.RecordBeginRequest{Group: run.name, Claim: run.claim}
	replies := make(chan wire.RecordBeginReply, len(run.group.Members))
	for _, vm := range run.group.Members {
		go func() { replies <- ask(ctx, r, vm, wire.MethodRecordBegin, q, r.serveBegin) }()
	}
	vote := dedup.NewVote(len(run.group.Members), run.claim.Fingerprint)
	for range run.group.Members {
		select {
		case reply := <-replies:
			if reply.Ready {
				vote.Add(reply.Reply)
			}
			if v := vote.Verdict(false); v != nil {
				return v
			}
		case <-ctx.Done():
			return vote.Verdict(true)
		}
	}
	return vote.Verdict(true)
}

// ask sends a request to a replica, or calls its handler own if the replica is on
// this VM. It returns the zero value on failure, which is not ready.
func ask[Q, A any](ctx context.Context, r *Records, vm ident.VM, m wire.Method, q Q, own func(context.Context, Q) (A, error)) (answer A) {
	if vm == r.opt.VM {
		answer, _ = own(ctx, q)
		return answer
	}
	e, ok := r.opt.Board.Members.Read().ByVM[vm]
	if !ok {
		return answer
	}
	answer, err := wire.Call[A](ctx, r.opt.Pool, e.Addresses.Control, m, q)
	if err != nil {
		var none A
		return none
	}
	return answer
}

// release removes a claim that lost the vote.
func (r *Records) release(run *Claim) {
	r.tell(run, "", dedup.Response{}, len(run.group.Members))
}

// End records the outcome of a run and waits up to endTime for a majority. An
// empty phase means that the action was not run and releases the claim.
func (r *Records) End(run *Claim, phase dedup.Phase, a dedup.Response) {
	r.tell(run, phase, a, len(run.group.Members)/2+1)
}

// tell sends the outcome to all replicas and waits for a number of acknowledgements.
func (r *Records) tell(run *Claim, phase dedup.Phase, a dedup.Response, wait int) {
	q := wire.RecordEndRequest{
		Group: run.name, ID: run.claim.ID, Fingerprint: run.claim.Fingerprint, RunID: run.claim.RunID, Phase: phase, Response: a,
	}
	acks := make(chan bool, len(run.group.Members))
	for _, vm := range run.group.Members {
		go func() { acks <- r.tellOne(vm, q) }()
	}
	timeout := time.NewTimer(endTime)
	defer timeout.Stop()
	for range run.group.Members {
		select {
		case ok := <-acks:
			if ok {
				wait--
			}
			if wait <= 0 {
				return
			}
		case <-timeout.C:
			return
		}
	}
}

// tellOne sends the outcome to a replica until it is acknowledged or, after some
// tries, the replica would count the outcome as unknown anyway.
func (r *Records) tellOne(vm ident.VM, q wire.RecordEndRequest) bool {
	const tries = 5
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), claimTime)
		reply := ask(ctx, r, vm, wire.MethodRecordEnd, q, r.serveEnd)
		cancel()
		if reply.Ready {
			return true
		}
		if !r.sleep(context.Background(), tickTime) {
			return false
		}
	}
	return false
}
