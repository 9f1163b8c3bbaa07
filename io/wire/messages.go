package wire

import (
	"encoding/json"

	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/quota"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/core/tenure"
)

// The methods of relays, and MethodPropose of control daemons.
const (
	// MethodSync renews a daemon's announcement at its relay and returns the
	// changes since the last sync.
	MethodSync Method = "sync"
	// MethodPull returns a relay's direct members to another relay.
	MethodPull Method = "pull"
	// MethodPropose submits a configuration change to a control daemon.
	MethodPropose Method = "propose"
)

// SyncRequest is sent by a daemon to its relay.
type SyncRequest struct {
	Entry        member.Entry   `json:"entry"`
	HaveRevision ident.Revision `json:"have_revision"`
	HaveDigest   string         `json:"have_digest,omitempty"`
	Directory    Cursor         `json:"directory"`
	// WaitMs is how long the relay may hold the request until something changes.
	WaitMs int64 `json:"wait_ms"`
	// Probe asks only for the relay's configuration, its age and the departures.
	Probe bool `json:"probe,omitempty"`
	// Small asks for a reply without Directory and Members, and without a Config that takes
	// many bytes: the daemon was asked to come back later for them.
	Small bool `json:"small,omitempty"`
	// Reserved is that of the reply which asked the daemon to come back.
	Reserved bool `json:"reserved,omitempty"`
}

// Cursor is a position in the stream of changes of one directory.
type Cursor struct {
	// Epoch changes when the relay restarts with an empty directory.
	Epoch  string `json:"epoch,omitempty"`
	Change uint64 `json:"change"`
}

// SyncReply is the reply to a SyncRequest.
type SyncReply struct {
	Relay ident.VM `json:"relay"`
	// Revision is that of the relay. Config leads to it if the daemon's is older; a probe
	// returns no snapshot.
	Revision ident.Revision `json:"revision"`
	Config   *ConfigDelta   `json:"config,omitempty"`
	// AgeMs is the time since the relay's configuration was confirmed, HeldMs that for
	// which the relay held the request.
	AgeMs     int64  `json:"age_ms"`
	HeldMs    int64  `json:"held_ms,omitempty"`
	Directory Cursor `json:"directory"`
	// Full is set when Members is the complete list and replaces the earlier one.
	Full    bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
	// RetryMs is set if the relay sends large replies to too many daemons at once. The reply
	// is small, and the daemon should ask for the rest after this time.
	RetryMs  int64 `json:"retry_ms,omitempty"`
	Reserved bool  `json:"reserved,omitempty"`
	// Departures are those of the daemon's own VM that the relay knew before the request.
	// They are returned to probes and to the first sync with a relay.
	Departures []tenure.Departure `json:"departures,omitempty"`
	// Evacuated is set if operators evacuate the data centre of a daemon that has no
	// configuration yet. The configuration itself may be large and put off.
	Evacuated bool `json:"evacuated,omitempty"`
}

// ConfigDelta leads to Revision from the revision of the request: by commands,
// or by a snapshot when the relay no longer keeps these commands or it is smaller.
type ConfigDelta struct {
	Revision ident.Revision    `json:"revision"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	// Snapshot is a state.State, encoded once for all daemons.
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
	Digest   string          `json:"digest"`
}

// PullRequest is sent by one relay to another.
type PullRequest struct {
	From ident.VM `json:"from"`
	Have Cursor   `json:"have"`
}

// PullReply lists those of the relay's direct members that changed.
type PullReply struct {
	Relay   ident.VM       `json:"relay"`
	Cursor  Cursor         `json:"mark"`
	Full    bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
}

// ProposeRequest carries an encoded state.Command.
type ProposeRequest struct {
	Command json.RawMessage `json:"command"`
	// Forwarded marks a request passed on by a control daemon that is not the leader.
	Forwarded bool `json:"forwarded,omitempty"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	Result state.Result `json:"result"`
	// Leader is the control address of the leader, when the receiver isn't the
	// leader itself.
	Leader string `json:"leader,omitempty"`
	// OutcomeUnknown is set when the change may still be committed.
	OutcomeUnknown bool `json:"unknown,omitempty"`
	// Done is set when Result is final.
	Done bool `json:"done"`
}

// The methods of control daemons, and MethodReport of relays.
const (
	// MethodRaft carries Raft messages; its reply is empty.
	MethodRaft Method = "raft"
	// MethodProbe asks a control daemon for its identity.
	MethodProbe Method = "probe"
	// MethodMembership lists or changes the control daemons.
	MethodMembership Method = "members"
	// MethodReport asks a relay on how many of its direct members a revision is in
	// force.
	MethodReport Method = "report"
	// MethodRead asks the leader for the latest committed revision.
	MethodRead Method = "read"
)

// ReadRequest asks for the latest committed revision.
type ReadRequest struct{}

// ReadReply returns a revision at least as new as any committed before the read
// began.
type ReadReply struct {
	Revision ident.Revision `json:"revision"`
	// Leader is the control address of the leader, when the receiver isn't the
	// leader itself.
	Leader string `json:"leader,omitempty"`
	Done   bool   `json:"done"`
}

// RaftEnvelope carries a Raft message and the control address of its sender.
type RaftEnvelope struct {
	Address string       `json:"address"`
	Message raft.Message `json:"message"`
}

// ProbeRequest asks a control daemon for its identity.
type ProbeRequest struct {
	From ident.VM `json:"from"`
}

// ProbeReply is the identity of a control daemon.
type ProbeReply struct {
	VM ident.VM `json:"vm"`
	// Token identifies a data folder; it is created at the folder's first use.
	Token string `json:"token"`
	// Node is empty until the daemon has an identity.
	Node ident.Node `json:"node,omitempty"`
	// InitialTokens are the tokens of the initial voters, if the daemon is one of
	// them. InitialAddresses are their control addresses, where the settings name
	// no VMs.
	InitialTokens    map[ident.VM]string `json:"founders,omitempty"`
	InitialAddresses map[ident.VM]string `json:"addresses,omitempty"`
	// Bootstrap is set while the daemon may still take part in a bootstrap.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// MembershipOp is an operation on the set of control daemons.
type MembershipOp string

// The operations on the set of control daemons.
const (
	MembershipList   MembershipOp = "list"
	MembershipAdd    MembershipOp = "add"
	MembershipRemove MembershipOp = "remove"
)

// MembershipRequest lists or changes the control daemons.
type MembershipRequest struct {
	Op MembershipOp `json:"op"`
	// Address is the control address of the daemon to add.
	Address string `json:"address,omitempty"`
	// Node is the control daemon to remove.
	Node ident.Node `json:"node,omitempty"`
}

// MembershipReply lists the control daemons.
type MembershipReply struct {
	Voters   []ControlDaemon `json:"voters"`
	Learners []ControlDaemon `json:"learners,omitempty"`
	// Refused is the reason why a change was not started.
	Refused string `json:"refused,omitempty"`
	// Leader is the control address of the leader, when the receiver isn't the
	// leader itself.
	Leader string `json:"leader,omitempty"`
	Done   bool   `json:"done"`
}

// ControlDaemon is one control daemon in a MembershipReply.
type ControlDaemon struct {
	Node    ident.Node `json:"node"`
	Address string     `json:"address"`
	Leading bool       `json:"leading,omitempty"`
	// EntriesBehind is the number of log entries that the daemon lacks, as far as
	// the leader knows.
	EntriesBehind uint64 `json:"behind"`
}

// ReportRequest asks where a revision is in force.
type ReportRequest struct {
	Revision ident.Revision `json:"revision"`
}

// ReportReply counts a relay's direct members.
type ReportReply struct {
	Relay   ident.VM `json:"relay"`
	Members int      `json:"members"`
	InForce int      `json:"in_force"`
	// Behind lists some of the members where the revision is not in force yet.
	Behind []ident.VM `json:"behind,omitempty"`
}

// The methods of distributed rate limits.
const (
	// MethodQuotaLease asks a grant's owner for tokens.
	MethodQuotaLease Method = "quota_lease"
	// MethodQuotaLend asks another data centre for part of its share of a grant.
	MethodQuotaLend Method = "quota_lend"
	// MethodQuotaYield transfers a grant's state to its new owner.
	MethodQuotaYield Method = "quota_yield"
)

// QuotaLeaseRequest asks for tokens and returns unspent ones.
type QuotaLeaseRequest struct {
	VM    ident.VM           `json:"vm"`
	Grant ident.Grant        `json:"grant"`
	Want  quota.LeaseRequest `json:"want"`
	// Fallback asks for tokens beyond the grant, since its owner can't be reached.
	Fallback bool `json:"fallback,omitempty"`
}

// QuotaLeaseReply carries the leased tokens. Owner is false when the receiver
// does not own the grant.
type QuotaLeaseReply struct {
	Owner bool        `json:"owner"`
	Lease quota.Lease `json:"lease"`
}

// QuotaLendRequest asks for part of a data centre's share of a grant.
type QuotaLendRequest struct {
	DataCentre ident.DataCentre  `json:"data_centre"`
	Grant      ident.Grant       `json:"grant"`
	Want       quota.LoanRequest `json:"want"`
}

// QuotaLendReply carries the loan; a loan with a burst of zero is a refusal.
type QuotaLendReply struct {
	Loan quota.Loan `json:"loan"`
}

// QuotaYieldRequest is sent by the new owner of a grant to the previous one.
type QuotaYieldRequest struct {
	VM    ident.VM    `json:"vm"`
	Grant ident.Grant `json:"grant"`
}

// QuotaYieldReply carries the state of the previous owner, if it has any.
type QuotaYieldReply struct {
	State *quota.State `json:"state,omitempty"`
}

// The methods of the records of actions.
const (
	// MethodRecordBegin claims an action at a replica.
	MethodRecordBegin Method = "record_begin"
	// MethodRecordEnd reports the end of a run, or releases a claim.
	MethodRecordEnd Method = "record_end"
	// MethodRecordCopy returns all records of a group to a replica that recovers.
	MethodRecordCopy Method = "record_copy"
)

// RecordGroup identifies a replica group in one epoch.
type RecordGroup struct {
	DataCentre ident.DataCentre `json:"data_centre"`
	Index      int              `json:"index"`
	Epoch      ident.Revision   `json:"epoch"`
}

// RecordBeginRequest claims an action.
type RecordBeginRequest struct {
	Group RecordGroup `json:"group"`
	Claim dedup.Claim `json:"claim"`
}

// RecordBeginReply is a replica's reply; it is valid only when Ready is set.
type RecordBeginReply struct {
	Ready bool        `json:"ready"`
	Reply dedup.Reply `json:"reply"`
}

// RecordEndRequest reports the end of a run. An empty phase releases the claim
// of an action that has not run.
type RecordEndRequest struct {
	Group       RecordGroup       `json:"group"`
	ID          dedup.ID          `json:"id"`
	Fingerprint dedup.Fingerprint `json:"fingerprint"`
	RunID       dedup.RunID       `json:"runner"`
	Phase       dedup.Phase       `json:"phase,omitempty"`
	Response    dedup.Response    `json:"answer"`
}

// RecordEndReply is the reply to a RecordEndRequest; Ready is set when the replica
// stored the outcome.
type RecordEndReply struct {
	Ready bool `json:"ready"`
}

// RecordCopyRequest asks for all records of a group.
type RecordCopyRequest struct {
	Group RecordGroup `json:"group"`
}

// RecordCopyReply carries the records of a replica; they are valid only when
// Ready is set.
type RecordCopyReply struct {
	Ready   bool           `json:"ready"`
	Records []dedup.Record `json:"records,omitempty"`
}

// Outcome reports whether the change is committed, and else the leader's
// address, if known.
func (r ProposeReply) Outcome() (done bool, leader string) { return r.Done, r.Leader }

// Outcome reports whether the revision is valid, and else the leader's address,
// if known.
func (r ReadReply) Outcome() (done bool, leader string) { return r.Done, r.Leader }

// Outcome reports whether the request was accepted or refused, and else the
// leader's address, if known.
func (r MembershipReply) Outcome() (done bool, leader string) {
	return r.Done || r.Refused != "", r.Leader
}
