package board

import (
	"math"
	"reflect"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/match"
	"chicorymast/core/member"
	"chicorymast/core/poison"
	"chicorymast/core/state"
)

// Board is the sections of one daemon.
type Board struct {
	// Config is written by the configuration's agent or by the control part.
	Config *Section[Config]
	// Freshness is written by the same controller as Config.
	Freshness *Section[Freshness]
	// Members is written by the membership controller.
	Members *Section[Members]
	// RelayContact is written by the membership controller.
	RelayContact *Section[RelayContact]
	// Upstream is written by the upstream's local controller.
	Upstream *Section[Upstream]
	// Lifecycle is written by the daemon itself.
	Lifecycle *Section[Lifecycle]
	// Crashes is written by the proxy: what this VM announces of crashes.
	Crashes *Section[[]poison.CrashCount]
}

// New returns a board on which nothing is known yet.
func New() *Board {
	return &Board{
		Config:       NewSection(NewConfig(state.New(), nil)),
		Freshness:    NewSection(&Freshness{}),
		Members:      NewSection(&Members{}),
		RelayContact: NewSection(&RelayContact{}),
		Upstream:     NewSection(&Upstream{}),
		Lifecycle:    NewSection(&Lifecycle{Phase: PhaseStarting}),
		Crashes:      NewSection(&[]poison.CrashCount{}),
	}
}

// Serving reports whether this VM can serve calls: it knows a configuration
// that was confirmed since its start, and does not stop.
func (b *Board) Serving() bool {
	confirmed := b.Config.Read().State.ConfirmedAt > 0 && !b.Freshness.Read().AsOf.IsZero()
	return confirmed && b.Lifecycle.Read().Phase == PhaseRunning
}

// Config is the configuration in force, prepared for the hot path.
type Config struct {
	State *state.State
	// Table finds the route of a call.
	Table *match.Table
	// RecentCommands holds the last accepted commands, oldest first.
	RecentCommands []AcceptedCommand
	grants         map[ident.Workspace]map[ident.Route]ident.Grant
	// keys holds the keys that the intent itself declares.
	keys map[ident.KeyDigest]ident.Workspace
	// foremost is the class of the most important workspace.
	foremost ident.Class
	digest   string
}

// AcceptedCommand is one accepted command and the revision it led to.
type AcceptedCommand struct {
	Revision ident.Revision
	Command  []byte
}

// NewConfig prepares a state. The state must not be changed afterwards.
func NewConfig(st *state.State, recent []AcceptedCommand) *Config {
	return &Config{
		State: st, Table: routeTable(st.Intent), RecentCommands: recent,
		grants: grantIndex(st.Intent), keys: keyIndex(st.Intent), foremost: st.Intent.HighestClass(), digest: st.Digest(),
	}
}

// Next prepares the state that follows c's. What does not differ is shared: a
// patched intent keeps the maps that the patch leaves alone.
func (c *Config) Next(st *state.State, recent []AcceptedCommand) *Config {
	have, want := c.State.Intent, st.Intent
	next := &Config{
		State: st, RecentCommands: recent, Table: c.Table, grants: c.grants, keys: c.keys, foremost: c.foremost, digest: st.Digest(),
	}
	if !sameMap(have.Routes, want.Routes) {
		next.Table = routeTable(want)
	}
	if !sameMap(have.Grants, want.Grants) || !sameMap(have.Groups, want.Groups) {
		next.grants = grantIndex(want)
	}
	if !sameMap(have.Workspaces, want.Workspaces) {
		next.keys, next.foremost = keyIndex(want), want.HighestClass()
	}
	return next
}

// sameMap reports whether two maps are one and the same.
func sameMap[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// Digest returns the hash of the state, computed once.
func (c *Config) Digest() string {
	return c.digest
}

// WithInvalidDigest returns the same configuration with a digest that matches none,
// so that the next synchronisation brings the whole state.
func (c *Config) WithInvalidDigest() *Config {
	d := *c
	d.digest = "mistrusted"
	return &d
}

// WorkspaceTier returns how many classes a workspace stands behind the most important
// one. A call without a workspace stands behind none.
func (c *Config) WorkspaceTier(w ident.Workspace) int {
	spec, ok := c.State.Intent.Workspaces[w]
	if !ok {
		return 0
	}
	return spec.EffectiveClass().Index() - c.foremost.Index()
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

// KeyWorkspace returns the workspace whose key has a digest. A key that has expired
// by now is nobody's.
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

// MayServe reports whether upstreams of a service may be announced; before the
// first configuration any may.
func (c *Config) MayServe(s ident.Service) bool {
	_, known := c.State.Intent.Services[s]
	return known || c.State.ConfirmedAt == 0
}

// Since returns the commands after a revision, if they are still kept.
func (c *Config) Since(have ident.Revision) ([]AcceptedCommand, bool) {
	if have == c.State.Revision {
		return nil, true
	}
	for i, step := range c.RecentCommands {
		if step.Revision == have+1 {
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

// Freshness says until when the configuration is known to be the newest.
type Freshness struct {
	// AsOf is the latest time at which the leader confirmed the revision.
	AsOf   time.Time
	Source ident.VM
}

// NeverConfirmed is the age of a configuration that was not confirmed since the start.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Age returns for how long the configuration has not been confirmed; time.Time
// lets the age of one that never was saturate at Never.
func (f Freshness) Age(now time.Time) time.Duration {
	return now.Sub(f.AsOf)
}

// RelayContact is when a relay last took this VM's announcement: the time at
// which the announcement was sent.
type RelayContact struct{ At time.Time }

// Members is what this VM knows of the others.
type Members struct {
	// Entries are all daemons, this one included.
	Entries []member.Entry
	// ByService lists those that serve each service.
	ByService map[ident.Service][]member.Entry
	// StoppingByService lists, by service, those whose upstream works but whose daemon
	// stops: they still serve for a moment what nobody else can.
	StoppingByService map[ident.Service][]member.Entry
	// ByVM finds the entry of a VM.
	ByVM map[ident.VM]member.Entry
	// Crashes adds up the crashes that requests met at other VMs.
	Crashes map[ident.VM]map[poison.Fingerprint]int
	// ByDataCentre lists the VMs of each data centre that take part.
	ByDataCentre map[ident.DataCentre][]ident.VM
}

func (m *Members) addServer(e member.Entry) {
	if e.Upstream == nil || e.Upstream.Phase != member.PhaseUp {
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

// NewMembers indexes entries by service.
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
		m.addServer(e)
	}
	return m
}

func (m *Members) addCrashes(e member.Entry) {
	if len(e.Crashes) == 0 {
		return
	}
	marks := make(map[poison.Fingerprint]int, len(e.Crashes))
	for _, mark := range e.Crashes {
		marks[mark.Fingerprint] = mark.Crashes
	}
	m.Crashes[e.VM] = marks
}

// CrashesElsewhere returns how many crashes a request met at other VMs.
func (m *Members) CrashesElsewhere(self ident.VM, p poison.Fingerprint) (n int) {
	for vm, marks := range m.Crashes {
		if vm != self {
			n += marks[p]
		}
	}
	return n
}

// Upstream is the upstream on this VM, or none.
type Upstream struct {
	member.Upstream
	Address    string
	HealthPath string
	LoadPath   string
	// Drained is set while an operator's drain of this VM is in force.
	Drained bool
}

// Present reports whether an upstream is announced.
func (s Upstream) Present() bool {
	return s.Service != "" && s.Phase != member.PhaseGone
}

// LifecyclePhase says where a daemon is in its life.
type LifecyclePhase string

// The phases of a daemon's life.
const (
	PhaseStarting LifecyclePhase = "starting"
	PhaseRunning  LifecyclePhase = "running"
	PhaseStopping LifecyclePhase = "stopping"
)

// Lifecycle is the daemon's own phase.
type Lifecycle struct{ Phase LifecyclePhase }
