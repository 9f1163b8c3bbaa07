package wire

import (
	"encoding/json"

	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/quota"
	"chicorymast/core/raft"
	"chicorymast/core/state"
)

// The methods between daemons.
const (
	// MethodSync renews a daemon's announcement at its relay and brings back
	// what is new.
	MethodSync Method = "sync"
	// MethodPull brings one relay's own members to another.
	MethodPull Method = "pull"
	// MethodPropose asks the control part for a change.
	MethodPropose Method = "propose"
)

// SyncRequest is sent by a daemon to its relay.
type SyncRequest struct {
	Entry        member.Entry   `json:"entry"`
	HaveRevision ident.Revision `json:"have_revision"`
	HaveDigest   string         `json:"have_digest,omitempty"`
	Directory    Cursor         `json:"directory"`
	// WaitMs is how long the relay may wait for something new.
	WaitMs int64 `json:"wait_ms"`
	// Probe asks only how old the relay's configuration is.
	Probe bool `json:"probe,omitempty"`
}

// Cursor is a place in the stream of changes of one directory.
type Cursor struct {
	// Epoch changes when the directory starts anew.
	Epoch  string `json:"epoch,omitempty"`
	Change uint64 `json:"change"`
}

// SyncReply is the relay's answer.
type SyncReply struct {
	Relay     ident.VM     `json:"relay"`
	Config    *ConfigDelta `json:"config,omitempty"`
	AgeMs     int64        `json:"age_ms"`
	Directory Cursor       `json:"directory"`
	// Full is set when Members replaces all that was known.
	Full    bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
}

// ConfigDelta leads from one revision to another: by commands, or by a
// snapshot when the commands are no longer kept.
type ConfigDelta struct {
	Revision ident.Revision    `json:"revision"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	Snapshot *state.State      `json:"snapshot,omitempty"`
	Digest   string            `json:"digest"`
}

// PullRequest is sent by one relay to another.
type PullRequest struct {
	From ident.VM `json:"from"`
	Have Cursor   `json:"have"`
}

// PullReply lists the changed members that announce themselves to the relay.
type PullReply struct {
	Relay   ident.VM       `json:"relay"`
	Cursor  Cursor         `json:"mark"`
	Full    bool           `json:"whole,omitempty"`
	Members []member.Entry `json:"members,omitempty"`
}

// ProposeRequest carries an encoded command.
type ProposeRequest struct {
	Command json.RawMessage `json:"command"`
	// Forwarded is set by a control daemon that is not the leader.
	Forwarded bool `json:"forwarded,omitempty"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	Result state.Result `json:"result"`
	// Leader is the control address to ask instead, when the asked daemon
	// does not lead.
	Leader string `json:"leader,omitempty"`
	// OutcomeUnknown is set when the change may still be accepted.
	OutcomeUnknown bool `json:"unknown,omitempty"`
	// Done is set when Result is the final answer.
	Done bool `json:"done"`
}

// The methods of the control part.
const (
	// MethodRaft carries the agreement's own messages; it has no answer.
	MethodRaft Method = "raft"
	// MethodProbe asks a control daemon who it is.
	MethodProbe Method = "probe"
	// MethodMembership lists or changes the control daemons.
	MethodMembership Method = "members"
	// MethodReport asks a relay where a revision is in force.
	MethodReport Method = "report"
	// MethodRead asks the leader for the newest decided revision.
	MethodRead Method = "read"
)

// ReadRequest asks for the newest decided revision.
type ReadRequest struct{}

// ReadReply says which revision was the newest when the read began.
type ReadReply struct {
	Revision ident.Revision `json:"revision"`
	// Leader is the control address to ask instead.
	Leader string `json:"leader,omitempty"`
	Done   bool   `json:"done"`
}

// RaftEnvelope carries a message of the agreement and where to answer.
type RaftEnvelope struct {
	Address string       `json:"address"`
	Message raft.Message `json:"message"`
}

// ProbeRequest asks a control daemon who it is.
type ProbeRequest struct {
	From ident.VM `json:"from"`
}

// ProbeReply says who a control daemon is.
type ProbeReply struct {
	VM ident.VM `json:"vm"`
	// Token names a data folder from its first use on.
	Token string `json:"token"`
	// Node is empty while the daemon has not been set up.
	Node ident.Node `json:"node,omitempty"`
	// InitialTokens are the tokens of those set up together, where known, and
	// Addresses where they are.
	InitialTokens    map[ident.VM]string `json:"founders,omitempty"`
	InitialAddresses map[ident.VM]string `json:"addresses,omitempty"`
	// Bootstrap is set while the daemon may still found.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// MembershipOp is what to do with the control daemons.
type MembershipOp string

// The operations on control daemons.
const (
	MembershipList   MembershipOp = "list"
	MembershipAdd    MembershipOp = "add"
	MembershipRemove MembershipOp = "remove"
)

// MembershipRequest lists or changes the control daemons.
type MembershipRequest struct {
	Op MembershipOp `json:"op"`
	// Address is the control address of a daemon to add.
	Address string `json:"address,omitempty"`
	// Node is the one to remove.
	Node ident.Node `json:"node,omitempty"`
}

// MembershipReply lists the control daemons.
type MembershipReply struct {
	Voters   []ControlDaemon `json:"voters"`
	Learners []ControlDaemon `json:"learners,omitempty"`
	// Refused says why a change was not begun.
	Refused string `json:"refused,omitempty"`
	// Leader is the control address to ask instead.
	Leader string `json:"leader,omitempty"`
	Done   bool   `json:"done"`
}

// ControlDaemon is one control daemon in a list.
type ControlDaemon struct {
	Node    ident.Node `json:"node"`
	Address string     `json:"address"`
	Leading bool       `json:"leading,omitempty"`
	// EntriesBehind is how many log entries it lacks, as far as the leader knows.
	EntriesBehind uint64 `json:"behind"`
}

// ReportRequest asks where a revision is in force.
type ReportRequest struct {
	Revision ident.Revision `json:"revision"`
}

// ReportReply counts the daemons that announce themselves to a relay.
type ReportReply struct {
	Relay   ident.VM `json:"relay"`
	Members int      `json:"members"`
	InForce int      `json:"in_force"`
	// Behind names some of those where the revision is not in force yet.
	Behind []ident.VM `json:"behind,omitempty"`
}

// The methods that divide rates.
const (
	// MethodQuotaLease asks a grant's owner for tokens.
	MethodQuotaLease Method = "quota_lease"
	// MethodQuotaLend asks another data centre for a share.
	MethodQuotaLend Method = "quota_lend"
	// MethodQuotaYield hands a grant's state to its new owner.
	MethodQuotaYield Method = "quota_yield"
)

// QuotaLeaseRequest asks for tokens and hands back unspent ones.
type QuotaLeaseRequest struct {
	VM    ident.VM           `json:"vm"`
	Grant ident.Grant        `json:"grant"`
	Want  quota.LeaseRequest `json:"want"`
}

// QuotaLeaseReply gives tokens; Owner is false when the asked VM does not own
// the grant.
type QuotaLeaseReply struct {
	Owner bool        `json:"owner"`
	Lease quota.Lease `json:"lease"`
}

// QuotaLendRequest asks for a share of a grant.
type QuotaLendRequest struct {
	DataCentre ident.DataCentre  `json:"data_centre"`
	Grant      ident.Grant       `json:"grant"`
	Want       quota.LoanRequest `json:"want"`
}

// QuotaLendReply is what is lent; a burst of zero is a refusal.
type QuotaLendReply struct {
	Loan quota.Loan `json:"loan"`
}

// QuotaYieldRequest comes from the new owner of a grant.
type QuotaYieldRequest struct {
	VM    ident.VM    `json:"vm"`
	Grant ident.Grant `json:"grant"`
}

// QuotaYieldReply holds the state of the owner before, if it has one.
type QuotaYieldReply struct {
	State *quota.State `json:"state,omitempty"`
}

// The methods of actions' records.
const (
	// MethodRecordBegin claims an action at a replica.
	MethodRecordBegin Method = "record_begin"
	// MethodRecordEnd reports the end of a run, or takes a claim back.
	MethodRecordEnd Method = "record_end"
	// MethodRecordCopy brings all records to a replica that recovers.
	MethodRecordCopy Method = "record_copy"
)

// RecordGroup names a group of replicas at one epoch.
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

// RecordBeginReply is a replica's answer; it counts only when Ready is set.
type RecordBeginReply struct {
	Ready bool        `json:"ready"`
	Reply dedup.Reply `json:"reply"`
}

// RecordEndRequest reports the end of a run. An empty phase takes back a
// claim of an action that has not run.
type RecordEndRequest struct {
	Group       RecordGroup       `json:"group"`
	ID          dedup.ID          `json:"id"`
	Fingerprint dedup.Fingerprint `json:"fingerprint"`
	RunID       dedup.RunID       `json:"runner"`
	Phase       dedup.Phase       `json:"phase,omitempty"`
	Response    dedup.Response    `json:"answer"`
}

// RecordEndReply says whether the replica has it.
type RecordEndReply struct {
	Ready bool `json:"ready"`
}

// RecordCopyRequest asks for all records of a group.
type RecordCopyRequest struct {
	Group RecordGroup `json:"group"`
}

// RecordCopyReply holds the records of a replica that is ready.
type RecordCopyReply struct {
	Ready   bool           `json:"ready"`
	Records []dedup.Record `json:"records,omitempty"`
}

// Outcome returns whether the change is decided, and who leads otherwise.
func (r ProposeReply) Outcome() (done bool, leader string) { return r.Done, r.Leader }

// Outcome returns whether the read is good, and who leads otherwise.
func (r ReadReply) Outcome() (done bool, leader string) { return r.Done, r.Leader }

// Outcome returns whether the request was taken or refused, and who leads
// otherwise.
func (r MembershipReply) Outcome() (done bool, leader string) {
	return r.Done || r.Refused != "", r.Leader
}
