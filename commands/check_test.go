package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	soundIntent   = "[service s]\n[route r]\nmethod = GET\npath = /\nservice = s\nopen = true\n"
	suspectIntent = soundIntent + "[group g]\n"
	invalidIntent = soundIntent + "timeout = 601s\n"
)

func intentFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "intent.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// A script must be able to tell errors from warnings by the exit code.
func TestCheckExitCodes(t *testing.T) {
	plan := func(body string) clientOptions { return optionsFor(t, respond(http.StatusOK, body)) }
	same, warned := plan(`{"base":7}`), plan(`{"base":7,"warnings":["workspace w has no key"]}`)
	refused := optionsFor(t, respond(http.StatusForbidden, `{"reason":"forbidden","detail":"role"}`))
	for name, c := range map[string]struct {
		text   string
		strict bool
		client clientOptions
		want   int
	}{
		"nothing":                 {soundIntent, true, clientOptions{}, exitSuccess},
		"warning":                 {suspectIntent, false, clientOptions{}, exitSuccess},
		"warning, strict":         {suspectIntent, true, clientOptions{}, exitFailure},
		"error":                   {invalidIntent, false, clientOptions{}, exitUsage},
		"error, strict":           {invalidIntent, true, clientOptions{}, exitUsage},
		"same as in force":        {soundIntent, true, same, exitSuccess},
		"warning of plan":         {soundIntent, false, warned, exitSuccess},
		"warning of plan, strict": {soundIntent, true, warned, exitFailure},
		"plan refused":            {soundIntent, false, refused, exitFailure},
		"token missing":           {soundIntent, false, clientOptions{Servers: same.Servers}, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			args := []string{"check", "--json", "--intent", intentFile(t, c.text)}
			if c.strict {
				args = append(args, "--strict")
			}
			for _, server := range c.client.Servers {
				args = append(args, "--server", server)
			}
			if c.client.TokenFile != "" {
				args = append(args, "--token-file", c.client.TokenFile)
			}
			assert.Equal(t, Main(args), c.want)
		})
	}
	t.Run("server without intent", func(t *testing.T) {
		assert.Equal(t, Main([]string{"check", "--config", "../contrib/daemon.ini", "--server", "127.0.0.1:1"}), exitUsage)
	})
}

// A setting in the environment must not make a check contact servers.
func TestCheckIgnoresServersOfTheEnvironment(t *testing.T) {
	o := optionsFor(t, func(http.ResponseWriter, *http.Request) { t.Error("request without --server") })
	t.Setenv("CHICORYMAST_SERVER", o.Servers[0])
	t.Setenv("CHICORYMAST_TOKEN_FILE", o.TokenFile)
	assert.Equal(t, Main([]string{"check", "--intent", intentFile(t, soundIntent)}), exitSuccess)
}

// Output that loses the place or the reason leaves the operator searching.
func TestCheckOutput(t *testing.T) {
	o := optionsFor(t, respond(http.StatusOK,
		`{"base":7,"changes":[{"verb":"add","kind":"group","name":"g"}],"warnings":["workspace w has no key"],"patch":{}}`))
	c := checkCommand{Intent: intentFile(t, suspectIntent), Servers: o.Servers, TokenFile: o.TokenFile}
	report, err := c.run()
	assert.NilError(t, err)
	t.Run("text", func(t *testing.T) {
		var out bytes.Buffer
		assert.NilError(t, c.print(&out, report))
		want := c.Intent + " is valid\n  warning: [group g] routes: has no members\n" +
			"on revision 7:\n  add    group g\n  warning: workspace w has no key\n"
		assert.Equal(t, out.String(), want)
	})
	t.Run("JSON", func(t *testing.T) {
		c.JSON = true
		var out bytes.Buffer
		assert.NilError(t, c.print(&out, report))
		assert.Assert(t, strings.Contains(out.String(), `"rule": "group_empty"`), out.String())
		var decoded checkReport
		assert.NilError(t, json.Unmarshal(out.Bytes(), &decoded))
		assert.DeepEqual(t, decoded.Warnings, report.Warnings)
		assert.DeepEqual(t, decoded.Plan, report.Plan)
	})
}

// A script that reads the JSON must find the error there, not only on standard error.
func TestCheckReportsErrors(t *testing.T) {
	c := checkCommand{Intent: intentFile(t, invalidIntent)}
	report, err := c.run()
	assert.ErrorContains(t, err, "[route r] timeout")
	want := checkError{File: c.Intent, Section: "route r", Key: "timeout", Problem: "10m1s is not between 0 and 10m0s"}
	assert.DeepEqual(t, report.Errors, []checkError{want})
	assert.Equal(t, len(report.Valid), 0)
}
