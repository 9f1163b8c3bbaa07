package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/raft"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// loseDisk stops the daemon of a VM, deletes its data folder and starts it again.
func (m *mesh) loseDisk(name string) {
	m.t.Helper()
	vm := m.daemons[name]
	vm.run.shutdown(m.t)
	assert.NilError(m.t, os.RemoveAll(filepath.Join(m.dir, name)))
	m.start(vm, false)
}

// nodeOf returns the id under which a control daemon takes part.
func (m *mesh) nodeOf(name string) (node ident.Node) {
	m.t.Helper()
	eventually(m.t, func() string {
		d := m.daemons[name].run.daemon
		reply, err := wire.Call[wire.ProbeReply](m.t.Context(), d.pool, d.Config().Listen.Control, wire.MethodProbe, wire.ProbeRequest{})
		if err != nil || reply.Node == "" {
			return fmt.Sprint(name, " has no identity: ", err)
		}
		node = reply.Node
		return ""
	})
	return node
}

// loggedVoters returns the voters after each change of the members that was logged.
func (m *mesh) loggedVoters() (voters [][]ident.Node) {
	m.t.Helper()
	m.log.mu.Lock()
	text := bytes.Clone(m.log.text.Bytes())
	m.log.mu.Unlock()
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var line struct{ Members string }
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Members == "" {
			continue // the last line may be incomplete
		}
		var members raft.Membership
		assert.NilError(m.t, json.Unmarshal([]byte(line.Members), &members))
		var nodes []ident.Node
		for _, v := range members.Voters {
			nodes = append(nodes, v.ID)
		}
		slices.Sort(nodes)
		voters = append(voters, nodes)
	}
	return voters
}

// awaitVoters waits until the voters are exactly these nodes.
func (m *mesh) awaitVoters(want ...ident.Node) {
	m.t.Helper()
	slices.Sort(want)
	eventually(m.t, func() string {
		logged := m.loggedVoters()
		if !slices.ContainsFunc(logged, func(v []ident.Node) bool { return slices.Equal(v, want) }) {
			return fmt.Sprint("voters ", logged, ", not ", want)
		}
		return ""
	})
}

// A control daemon whose disk is lost must give up its former vote before its successor
// gets one: until then a second lost disk would end all majorities for good.
func TestFormerVoteEndsBeforeTheSuccessorVotes(t *testing.T) {
	m := newMeshOf(t, "core-1", "core-2", "core-3")
	version := 3
	assert.Equal(t, m.put("core-1", document(version, 0, `"key"`)), http.StatusOK)
	lost := []string{"core-2", "core-3", "core-1"}
	for _, name := range lost {
		t.Run(name, func(t *testing.T) {
			former := m.nodeOf(name)
			m.loseDisk(name)
			var voters []ident.Node
			for vm := range m.daemons {
				voters = append(voters, m.nodeOf(vm))
			}
			m.awaitVoters(voters...)
			for _, v := range m.loggedVoters() {
				both := slices.Contains(v, former) && slices.Contains(v, m.nodeOf(name))
				assert.Assert(t, !both, "voters %v", v)
			}
			version++
			assert.Equal(t, m.put(name, document(version, version-1, `"key"`)), http.StatusOK)
		})
	}
	text, status, err := m.daemons["core-1"].api.GetDocument(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, string(text), string(compactJSON(t, document(version, version-1, `"key"`))))
}
