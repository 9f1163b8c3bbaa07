package board

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"sync"
	"time"

	"chicorymast/core/halt"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/match"
	"chicorymast/core/member"
	"chicorymast/core/poison"
	"chicorymast/core/state"
	"chicorymast/core/tenure"
)

// Board holds the sections of one daemon.
type Board struct {
	// Config is written by the configuration agent or, on a control daemon, by the
	// control component.
	Config *Section[Config]
	// Freshness is written by the same controller as Config.
	Freshness *Section[Freshness]
	// Members is written by the membership controller.
	Members *Section[Members]
	// RelayContact is written by the membership controller.
	RelayContact *Section[RelayContact]
	// Upstream is written by the controller of the local upstream.
	Upstream *Section[Upstream]
	// Departures is written by the same controller as Upstream and holds the processes
	// of upstreams that have left this VM.
	Departures *Section[[]tenure.Departure]
	// Lifecycle is written by the daemon itself.
	Lifecycle *Section[Lifecycle]
	// Crashes is written by the proxy and holds the crashes that this VM announces.
	Crashes *Section[[]poison.CrashCount]
}

// New returns a board with empty sections.
func New() *Board {
	return &Board{
		Config:       NewSection(NewConfig(state.New(), nil)),
		Freshness:    NewSection(&Freshness{}),
		Members:      NewSection(&Members{}),
		RelayContact: NewSection(&RelayContact{}),
		Upstream:     NewSection(&Upstream{}),
		Departures:   NewSection(&[]tenure.Departure{}),
		Lifecycle:    NewSection(&Lifecycle{Phase: PhaseStarting}),
		Crashes:      NewSection(&[]poison.CrashCount{}),
	}
}

// Serving reports whether this VM can serve calls: it has a configuration that a
// leader confirmed since the start, and the daemon is running.
func (b *Board) Serving() bool {
	confirmed := b.Config.Read().State.ConfirmedAt > 0 && !b.Freshness.Read().AsOf.IsZero()
	return confirmed && b.Lifecycle.Read().Phase == PhaseRunning
}

// KnowsDataCentre reports whether a data centre is in the configuration, is evacuated, or
// has a daemon that is known here.
func (b *Board) KnowsDataCentre(dc ident.DataCentre) bool {
	st := b.Config.Read().State
	if _, configured := st.Intent.DataCentres[dc]; configured || st.Evacuations[dc] {
		return true
	}
	return slices.ContainsFunc(b.Members.Read().Entries, func(e member.Entry) bool { return e.DataCentre == dc })
}

// Config is the configuration in force, indexed for use on the hot path.
type Config struct {
	State *state.State
	// Table matches calls to routes.
	Table *match.Table
	// RecentCommands holds the latest accepted commands, oldest first.
	RecentCommands []AcceptedCommand
	grants         map[ident.Workspace]map[ident.Route]ident.Grant
	// keys holds the keys declared in the intent.
	keys map[ident.KeyDigest]ident.Workspace
	// highestClass is the highest class of any workspace.
	highestClass ident.Class
	digest       string
	snapshot     *snapshot
}

// snapshot is the encoded state of a configuration, made when it is first needed.
type snapshot struct {
	once sync.Once
	data []byte
}

// AcceptedCommand is one accepted command, encoded, and the revision it created.
type AcceptedCommand struct {
	Revision ident.Revision
	Command  []byte
}

const (
	// maxRecent is the number of commands that are kept to be sent as deltas.
	maxRecent = 1024
	// MaxRecentBytes is their size in bytes.
	MaxRecentBytes = 1 << 20
)

// AppendRecent appends accepted commands to the recent ones and drops the oldest beyond the
// limits. It may change the array of the first slice.
func AppendRecent(recent []AcceptedCommand, commands ...AcceptedCommand) []AcceptedCommand {
	recent = append(recent, commands...)
	recent = recent[max(0, len(recent)-maxRecent):]
	for excess := BytesOf(recent) - MaxRecentBytes; excess > 0; recent = recent[1:] {
		excess -= len(recent[0].Command)
	}
	return recent
}

// NewConfig indexes a state, which must not be changed afterwards.
func NewConfig(st *state.State, recent []AcceptedCommand) *Config {
	return &Config{
		State: st, Table: routeTable(st.Intent), RecentCommands: recent,
		grants: grantIndex(st.Intent), keys: keyIndex(st.Intent), highestClass: st.Intent.HighestClass(), digest: st.Digest(),
		snapshot: &snapshot{},
	}
}

// Next indexes a state that was derived from c's. It reuses the indexes of maps
// that are the same in both: patching an intent keeps the maps without changes.
func (c *Config) Next(st *state.State, recent []AcceptedCommand) *Config {
	before, after := c.State.Intent, st.Intent
	next := &Config{
		State: st, RecentCommands: recent, Table: c.Table, grants: c.grants, keys: c.keys, highestClass: c.highestClass, digest: st.Digest(),
		snapshot: &snapshot{},
	}
	if !sameMap(before.Routes, after.Routes) {
		next.Table = routeTable(after)
	}
	if !sameMap(before.Grants, after.Grants) || !sameMap(before.Groups, after.Groups) {
		next.grants = grantIndex(after)
	}
	if !sameMap(before.Workspaces, after.Workspaces) {
		next.keys, next.highestClass = keyIndex(after), after.HighestClass()
	}
	return next
}

// sameMap reports whether a and b refer to the same map.
func sameMap[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// Digest returns the digest of the state, which is computed only once.
func (c *Config) Digest() string {
	return c.digest
}

// Snapshot returns the state without its history as JSON. All daemons that fetch the same
// revision share it. It is empty if the state can't be encoded, which no state that was
// decoded from commands can cause.
func (c *Config) Snapshot() json.RawMessage {
	c.snapshot.once.Do(func() { c.snapshot.data, _ = json.Marshal(c.State.WithoutHistory()) })
	return c.snapshot.data
}

// BytesOf returns the size of encoded commands in bytes.
func BytesOf(commands []AcceptedCommand) (bytes int) {
	for _, cmd := range commands {
		bytes += len(cmd.Command)
	}
	return bytes
}

// WithInvalidDigest returns the same configuration with a digest that matches no
// state, so that the next synchronisation returns a snapshot.
func (c *Config) WithInvalidDigest() *Config {
	d := *c
	d.digest = "mistrusted"
	return &d
}

// WorkspaceTier returns the number of classes between the highest class of any
// workspace and that of the given one, 0 for the highest. It is also 0 for a call
// without a workspace.
func (c *Config) WorkspaceTier(w ident.Workspace) int {
	spec, ok := c.State.Intent.Workspaces[w]
	if !ok {
		return 0
	}
	return spec.EffectiveClass().Index() - c.highestClass.Index()
}

// Grant returns the grant under which a workspace may call a route.
func (c *Config) Grant(w ident.Workspace, r ident.Route) (ident.Grant, intent.GrantSpec, bool) {
	if c.State.Intent.Workspaces[w].AllRoutes {
		name := intent.WorkspaceGrant(w)
		return name, c.State.Intent.Grant(name), true
	}
	name, ok := c.grants[w][r]
	return name, c.State.Intent.Grants[name], ok
}

// KeyWorkspace returns the workspace of the key with the given digest. An expired key
// belongs to no workspace.
func (c *Config) KeyWorkspace(d ident.KeyDigest, now time.Time) (ident.Workspace, bool) {
	if w, ok := c.keys[d]; ok {
		return w, true
	}
	key, ok := c.State.Keys[d]
	if !ok || (key.ExpiresMillis > 0 && now.UnixMilli() >= key.ExpiresMillis) {
		return "", false
	}
	return key.Workspace, true
}

// MayServe reports whether upstreams of a service may be announced. Before the
// first confirmed configuration, all may.
func (c *Config) MayServe(s ident.Service) bool {
	_, known := c.State.Intent.Services[s]
	return known || c.State.ConfirmedAt == 0
}

// Since returns the commands after a revision. It reports false if they are no
// longer kept.
func (c *Config) Since(rev ident.Revision) ([]AcceptedCommand, bool) {
	if rev == c.State.Revision {
		return nil, true
	}
	for i, cmd := range c.RecentCommands {
		if cmd.Revision == rev+1 {
			return c.RecentCommands[i:], true
		}
	}
	return nil, false
}

func routeTable(in intent.Intent) *match.Table {
	entries := make([]match.Entry, 0, len(in.Routes))
	for name, r := range in.Routes {
		entries = append(entries, match.Entry{Host: r.Host, Method: r.Method, Pattern: r.Path, Prefix: r.Prefix, Route: name})
	}
	return match.NewTable(entries)
}

func keyIndex(in intent.Intent) map[ident.KeyDigest]ident.Workspace {
	index := map[ident.KeyDigest]ident.Workspace{}
	for name, w := range in.Workspaces {
		for _, digest := range w.Keys {
			index[digest] = name
		}
	}
	return index
}

func grantIndex(in intent.Intent) map[ident.Workspace]map[ident.Route]ident.Grant {
	index := map[ident.Workspace]map[ident.Route]ident.Grant{}
	for name, g := range in.Grants {
		if index[g.Workspace] == nil {
			index[g.Workspace] = map[ident.Route]ident.Grant{}
		}
		for _, r := range in.GrantRoutes(g) {
			index[g.Workspace][r] = name
		}
	}
	return index
}

// Freshness says when the configuration was last known to be the newest.
type Freshness struct {
	// AsOf is the latest time at which the leader confirmed the revision.
	AsOf time.Time
	// Source is the relay that reported this or, on a control daemon, the leader.
	Source ident.VM
}

// NeverConfirmed is the age of a configuration that has not been confirmed since the
// start.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Age returns the time since the configuration was last confirmed. If it never
// was, time.Time.Sub saturates at the maximum duration, which is
// NeverConfirmed.
func (f Freshness) Age(now time.Time) time.Duration {
	return now.Sub(f.AsOf)
}

// RelayContact is when this VM sent the last announcement that a relay accepted.
type RelayContact struct{ At time.Time }

// Members holds the entries of all known daemons, with indexes.
type Members struct {
	// Entries are the entries of all daemons, this one included.
	Entries []member.Entry
	// ByService lists, by service, the entries whose upstream accepts new calls.
	ByService map[ident.Service][]member.Entry
	// StoppingByService lists, by service, the entries of stopping daemons whose
	// upstream still works. They briefly serve calls that no other upstream can take.
	StoppingByService map[ident.Service][]member.Entry
	// ByVM maps a VM to its entry.
	ByVM map[ident.VM]member.Entry
	// Crashes counts, by VM and request, the crashes that the VMs announced.
	Crashes map[ident.VM]map[poison.Fingerprint]int
	// ByDataCentre lists the VMs in each data centre that are up.
	ByDataCentre map[ident.DataCentre][]ident.VM
}

func (m *Members) addUpstream(e member.Entry) {
	if e.Upstream == nil || e.Upstream.Phase != member.PhaseUp || !e.Upstream.Usable() {
		return
	}
	service := e.Upstream.Service
	switch e.Phase {
	case member.PhaseUp:
		m.ByService[service] = append(m.ByService[service], e)
	case member.PhaseDraining:
		m.StoppingByService[service] = append(m.StoppingByService[service], e)
	}
}

// NewMembers indexes member entries.
func NewMembers(entries []member.Entry) *Members {
	m := &Members{
		Entries:           entries,
		ByService:         map[ident.Service][]member.Entry{},
		StoppingByService: map[ident.Service][]member.Entry{},
		ByVM:              make(map[ident.VM]member.Entry, len(entries)),
		ByDataCentre:      map[ident.DataCentre][]ident.VM{},
		Crashes:           map[ident.VM]map[poison.Fingerprint]int{},
	}
	for _, e := range entries {
		m.addCrashes(e)
		m.ByVM[e.VM] = e
		if e.Phase == member.PhaseUp {
			m.ByDataCentre[e.DataCentre] = append(m.ByDataCentre[e.DataCentre], e.VM)
		}
		m.addUpstream(e)
	}
	return m
}

func (m *Members) addCrashes(e member.Entry) {
	if len(e.Crashes) == 0 {
		return
	}
	counts := make(map[poison.Fingerprint]int, len(e.Crashes))
	for _, count := range e.Crashes {
		counts[count.Fingerprint] = count.Crashes
	}
	m.Crashes[e.VM] = counts
}

// CrashesElsewhere returns the number of crashes during a request that other VMs
// announced.
func (m *Members) CrashesElsewhere(self ident.VM, fp poison.Fingerprint) (n int) {
	for vm, counts := range m.Crashes {
		if vm != self {
			n += counts[fp]
		}
	}
	return n
}

// Upstream is the local upstream. It is empty if there is none.
type Upstream struct {
	member.Upstream
	Address    string
	HealthPath string
	LoadPath   string
	// Drained is set while an operator's drain of this VM or an evacuation of its data
	// centre is in force.
	Drained bool
	// Evacuated is set if only the evacuation is the cause of Drained. All daemons have it
	// from the configuration, so it is no part of the announcement of this VM.
	Evacuated bool
}

// Present reports whether an upstream is announced.
func (u Upstream) Present() bool {
	return u.Service != "" && u.Phase != member.PhaseGone
}

// LifecyclePhase is a phase in the lifecycle of a daemon.
type LifecyclePhase string

// The lifecycle phases of a daemon.
const (
	PhaseStarting LifecyclePhase = "starting"
	PhaseRunning  LifecyclePhase = "running"
	PhaseStopping LifecyclePhase = "stopping"
)

// Lifecycle is the current lifecycle phase of the daemon.
type Lifecycle struct {
	Phase LifecyclePhase
	// Stop is set in PhaseStopping.
	Stop halt.Stop
}
