package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(invalid, []byte("[daemon]\nrolle = x\n"), 0o600))
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"version":             {[]string{"version"}, exitSuccess},
		"help":                {[]string{"--help"}, exitSuccess},
		"no command":          {nil, exitUsage},
		"unknown command":     {[]string{"dance"}, exitUsage},
		"unknown option":      {[]string{"version", "--loud"}, exitUsage},
		"no argument":         {[]string{"plan"}, exitUsage},
		"bad settings":        {[]string{"check", "--config", invalid}, exitUsage},
		"no such file":        {[]string{"check", "--intent", invalid + "x"}, exitUsage},
		"valid settings":      {[]string{"check", "--config", "../contrib/daemon.ini", "--intent", "../contrib/intent.ini"}, exitSuccess},
		"no server responds":  {[]string{"status", "--server", "127.0.0.1:1", "--token-file", invalid}, exitFailure},
		"no token file":       {[]string{"status", "--server", "127.0.0.1:1", "--token-file", invalid + "x"}, exitUsage},
		"check without files": {[]string{"check"}, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Main(c.args), c.want)
		})
	}
}

func TestManualPageIsUpToDate(t *testing.T) {
	var page bytes.Buffer
	assert.NilError(t, writeManual(&page))
	committed, err := os.ReadFile("../docs/man/chicorymast.1")
	assert.NilError(t, err)
	assert.Equal(t, string(committed), page.String(), "renew it with: go run . man > docs/man/chicorymast.1")
}

// A platform that fills in the limit must not keep daemons from starting.
func TestMemoryLimitFlag(t *testing.T) {
	for value, want := range map[string]megabytes{"": 0, "284": 284, "184.5": 184.5} {
		var m megabytes
		assert.NilError(t, m.UnmarshalFlag(value))
		assert.Equal(t, m, want)
	}
	var m megabytes
	assert.Assert(t, m.UnmarshalFlag("much") != nil)
}
