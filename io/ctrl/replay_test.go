package ctrl

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/delta"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/raft"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// routeChanges returns entries that each add a route, as documents do.
func routeChanges(t testing.TB, routes, n int) []raft.Entry {
	t.Helper()
	have, text := intent.Empty(), ""
	var entries []raft.Entry
	for i := range n {
		next := have
		next.Services = map[ident.Service]intent.ServiceSpec{"service": {}}
		next.DataCentres = map[ident.DataCentre]intent.DataCentreSpec{"dc": {Weight: 1}}
		next.Routes = map[ident.Route]intent.RouteSpec{}
		for name, r := range have.Routes {
			next.Routes[name] = r
		}
		add := 1
		if i == 0 {
			add = routes
		}
		for j := range add {
			name := ident.Route(fmt.Sprintf("route-%d-%d", i, j))
			next.Routes[name] = intent.RouteSpec{
				Host: "host.example", Prefix: "/" + string(name) + "/", Service: "service", Class: ident.Classes[0],
				Timeout: time.Second, Attempts: 2,
			}
		}
		data, err := json.Marshal(next.Routes)
		assert.NilError(t, err)
		digest := state.DocumentDigest(string(data))
		cmd, err := state.Encode(state.Confirm{
			Metadata: state.Metadata{ChangeID: state.DocumentChangeID(state.DocumentVersion(i+1), digest), Actor: "operator"},
			Base:     ident.Revision(i), Patch: intent.Diff(have, next),
			Document: &state.DocumentChange{
				Base: state.DocumentVersion(i), Version: state.DocumentVersion(i + 1), Digest: digest, Delta: delta.Between(text, string(data)),
			},
		})
		assert.NilError(t, err)
		entries = append(entries, raft.Entry{Index: raft.Index(i + 1), Term: 1, Kind: raft.EntryCommand, Data: cmd})
		have, text = next, string(data)
	}
	return entries
}

func BenchmarkReplay500Changes(b *testing.B) {
	entries := routeChanges(b, 60, 500)
	b.ResetTimer()
	for b.Loop() {
		c, err := Open(Options{
			VM: "a", Address: "a", Folder: b.TempDir(), Clock: timer.NewManual(time.Unix(1000, 0)), Board: board.New(),
			Pool: wire.NewPool(nil), Log: event.Discard(), Seed: 1,
		})
		assert.NilError(b, err)
		c.node = raft.New(raft.Config{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Rand: c.rng}, raft.Restored{Entries: entries})
		c.apply(entries)
		for _, r := range c.state.Results {
			assert.Equal(b, r.Outcome, state.OutcomeAccepted, r.Detail)
		}
		assert.Equal(b, c.state.Revision, ident.Revision(500))
		c.store.Close()
	}
}
