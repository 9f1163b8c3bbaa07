// Package record stores the records of actions at replica groups and claims
// actions there. Replicas are daemons that hold the records in memory only.
//
// # Usage
//
//	records := record.New(record.Options{...})
//	records.Register(server)
//	stop := records.Start()
//	claim := records.Begin(ctx, id, fingerprint, timeout)
//	records.End(claim, dedup.PhaseDone, response)
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

// Records is one daemon's part of the record store: the daemon is a replica of
// some groups and a client of all.
type Records struct {
	opt Options

	rngMu sync.Mutex
	rng   *rand.Rand

	mu       sync.Mutex
	replicas map[groupID]*replica
	// started is when this daemon started. origin is the newest revision at
	// which this daemon may have been a replica before it started.
	started   time.Time
	origin    ident.Revision
	hasOrigin bool
}

// groupID identifies a replica group regardless of its epoch.
type groupID struct {
	dc    ident.DataCentre
	index int
}

const (
	// claimTimeout limits how long a claim waits for the replies of replicas.
	claimTimeout = 500 * time.Millisecond
	// endTimeout is how long End waits for a majority.
	endTimeout = 200 * time.Millisecond
	// recoveryDelay is how long a restarted replica waits before it recovers.
	// Claims that it acknowledged before have been decided by then.
	recoveryDelay = 2 * claimTimeout
	tickInterval  = 200 * time.Millisecond
	// runGrace is added to the timeout of a run before its outcome counts as
	// unknown.
	runGrace = 2 * time.Second
)

// New returns Records for a daemon that has just started.
func New(opt Options) *Records {
	return &Records{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 11)),
		replicas: map[groupID]*replica{}, started: opt.Clock.Now(),
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
	return r.opt.Clock.Every(tickInterval, r.applyConfig)
}

// Claim is the claim of an action by this daemon, with its verdict.
type Claim struct {
	group     state.ReplicaGroup
	wireGroup wire.RecordGroup
	request   dedup.Claim
	Verdict   dedup.Verdict
}

// Begin claims an action and returns the claim with its verdict. It waits for a
// run in progress elsewhere until ctx ends, and retries a claim for which no
// majority replies.
func (r *Records) Begin(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *Claim {
	const initialDelay, maxDelay = 20 * time.Millisecond, 500 * time.Millisecond
	const maxUnreachable = 6
	unreachable := 0
	for delay := initialDelay; ; delay = min(2*delay, maxDelay) {
		claim := r.claim(ctx, id, fp, timeout)
		switch claim.Verdict.(type) {
		case dedup.Wait:
		case dedup.Unreachable:
			unreachable++
		default:
			return claim
		}
		if unreachable >= maxUnreachable || !r.sleep(ctx, delay) {
			return claim
		}
	}
}

// sleep waits a random time up to d, so that daemons that claim the same action
// at once do not conflict again. It reports false if ctx ended first.
func (r *Records) sleep(ctx context.Context, d time.Duration) bool {
	r.rngMu.Lock()
	d = time.Duration(r.rng.Int64N(int64(d))) + time.Millisecond
	r.rngMu.Unlock()
	return timer.Sleep(ctx, d)
}

func (r *Records) claim(ctx context.Context, id dedup.ID, fp dedup.Fingerprint, timeout time.Duration) *Claim {
	group, wireGroup, ok := r.replicaGroup(id)
	claim := &Claim{group: group, wireGroup: wireGroup, Verdict: dedup.Unreachable{}}
	claim.request = dedup.Claim{ID: id, Fingerprint: fp, RunID: r.newRunID(), TimeoutMs: (timeout + runGrace).Milliseconds()}
	if !ok {
		return claim
	}
	claim.Verdict = r.collectVotes(ctx, claim)
	if _, won := claim.Verdict.(dedup.Run); !won {
		go r.release(claim)
	}
	return claim
}

func (r *Records) newRunID() dedup.RunID {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return dedup.RunID(string(r.opt.VM) + "/" + strconv.FormatUint(r.rng.Uint64(), 36))
}

// replicaGroup returns the replica group of an action.
func (r *Records) replicaGroup(id dedup.ID) (state.ReplicaGroup, wire.RecordGroup, bool) {
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

// collectVotes sends the claim to all replicas in parallel and returns as soon as
// further replies can't change the verdict.
func (r *Records) collectVotes(ctx context.Context, claim *Claim) dedup.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	q := wire.RecordBeginRequest{Group: claim.wireGroup, Claim: claim.request}
	replies := make(chan wire.RecordBeginReply, len(claim.group.Members))
	for _, vm := range claim.group.Members {
		go func() { replies <- callReplica(ctx, r, vm, wire.MethodRecordBegin, q, r.serveBegin) }()
	}
	vote := dedup.NewVote(len(claim.group.Members), claim.request.Fingerprint)
	for range claim.group.Members {
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

// callReplica sends a request to a replica, or calls the handler local if the
// replica is on this VM. On failure it returns the zero value, which is not ready.
func callReplica[Q, A any](ctx context.Context, r *Records, vm ident.VM, m wire.Method, q Q, local func(context.Context, Q) (A, error)) (reply A) {
	if vm == r.opt.VM {
		reply, _ = local(ctx, q)
		return reply
	}
	e, ok := r.opt.Board.Members.Read().ByVM[vm]
	if !ok {
		return reply
	}
	reply, err := wire.Call[A](ctx, r.opt.Pool, e.Addresses.Control, m, q)
	if err != nil {
		var zero A
		return zero
	}
	return reply
}

// release removes a claim that lost the vote.
func (r *Records) release(claim *Claim) {
	r.sendOutcome(claim, "", dedup.Response{}, len(claim.group.Members))
}

// End records the outcome of a run and waits up to endTimeout for a majority. An
// empty phase means that the action was not run and releases the claim.
func (r *Records) End(claim *Claim, phase dedup.Phase, resp dedup.Response) {
	r.sendOutcome(claim, phase, resp, len(claim.group.Members)/2+1)
}

// sendOutcome sends the outcome to all replicas and waits for a number of acknowledgements.
func (r *Records) sendOutcome(claim *Claim, phase dedup.Phase, resp dedup.Response, needed int) {
	q := wire.RecordEndRequest{
		Group: claim.wireGroup, ID: claim.request.ID, Fingerprint: claim.request.Fingerprint, RunID: claim.request.RunID,
		Phase: phase, Response: resp,
	}
	acks := make(chan bool, len(claim.group.Members))
	for _, vm := range claim.group.Members {
		go func() { acks <- r.sendOutcomeTo(vm, q) }()
	}
	timeout := time.NewTimer(endTimeout)
	defer timeout.Stop()
	for range claim.group.Members {
		select {
		case ok := <-acks:
			if ok {
				needed--
			}
			if needed <= 0 {
				return
			}
		case <-timeout.C:
			return
		}
	}
}

// sendOutcomeTo sends the outcome to a replica and repeats it until the replica
// acknowledges it. It gives up after some attempts, when the replica counts the
// outcome as unknown anyway.
func (r *Records) sendOutcomeTo(vm ident.VM, q wire.RecordEndRequest) bool {
	const attempts = 5
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		reply := callReplica(ctx, r, vm, wire.MethodRecordEnd, q, r.serveEnd)
		cancel()
		if reply.Ready {
			return true
		}
		if !r.sleep(context.Background(), tickInterval) {
			return false
		}
	}
	return false
}
