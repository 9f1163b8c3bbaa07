package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[daemon]\nrolle = x\n"), 0o600))
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"version":          {[]string{"version"}, exitDone},
		"help":             {[]string{"--help"}, exitDone},
		"no command":       {nil, exitUsage},
		"unknown command":  {[]string{"dance"}, exitUsage},
		"unknown option":   {[]string{"version", "--loud"}, exitUsage},
		"no argument":      {[]string{"plan"}, exitUsage},
		"bad settings":     {[]string{"check", "--config", bad}, exitUsage},
		"no such file":     {[]string{"check", "--intent", bad + "x"}, exitUsage},
		"valid settings":   {[]string{"check", "--config", "../contrib/daemon.ini", "--intent", "../contrib/intent.ini"}, exitDone},
		"nobody answers":   {[]string{"status", "--server", "127.0.0.1:1", "--token-file", bad}, exitFailed},
		"no token file":    {[]string{"status", "--server", "127.0.0.1:1", "--token-file", bad + "x"}, exitUsage},
		"check of nothing": {[]string{"check"}, exitUsage},
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
	assert.Equal(t, string(committed), page.String(), "make it again: chicorymast man > docs/man/chicorymast.1")
}
