package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

// TestReload changes the settings of a running daemon. Valid settings must apply,
// and invalid ones must change nothing.
func TestReload(t *testing.T) {
	layout := trial.Small()
	layout.Services, layout.Routes, layout.Workspaces = nil, nil, nil
	layout.ControlDaemons = 1
	f := newFleet(t, layout)
	d := f.daemons["control-1"].daemon
	path := filepath.Join(f.files.Dir, "control-1.ini")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	write := func(text string) {
		t.Helper()
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(string(text) + "\n[cut_off]\npaid_grace = 30s\n")
	assert.NilError(t, d.Reload())
	assert.Equal(t, d.Config().CutOff.PaidGrace.Seconds(), 30.0)
	for name, bad := range map[string]string{"unknown key": "\n[cut_off]\npaid_gracee = 1m\n", "bad value": "\n[cut_off]\npaid_grace = 1s\n"} {
		t.Run(name, func(t *testing.T) {
			write(string(text) + bad)
			assert.ErrorContains(t, d.Reload(), "[cut_off]")
			assert.Equal(t, d.Config().CutOff.PaidGrace.Seconds(), 30.0)
		})
	}
	eventually(t, func() string { // lines are written asynchronously
		f.log.mu.Lock()
		defer f.log.mu.Unlock()
		if !strings.Contains(f.log.text.String(), `"event":1011`) {
			return "no event 1011 in the log"
		}
		return ""
	})
}
