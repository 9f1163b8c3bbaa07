package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"chicorymast/core/schema"

	"gotest.tools/v3/assert"
)

func exampleSettings(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../contrib/daemon.ini")
	assert.NilError(t, err)
	return string(data)
}

func assertRejected(t testing.TB, text, section, key string) {
	t.Helper()
	_, err := Parse("daemon.ini", []byte(text))
	var bad *schema.Error
	assert.Assert(t, errors.As(err, &bad), "%v", err)
	assert.Equal(t, bad.File, "daemon.ini")
	assert.Equal(t, bad.Section, section)
	assert.Equal(t, bad.Key, key)
}

func TestExampleFileIsValidAndListsDefaults(t *testing.T) {
	cfg, err := Parse("daemon.ini", []byte(exampleSettings(t)))
	assert.NilError(t, err)
	want := Default()
	assert.DeepEqual(t, cfg.Calls, want.Calls)
	assert.DeepEqual(t, cfg.Admission, want.Admission)
	assert.DeepEqual(t, cfg.CutOff, want.CutOff)
	assert.DeepEqual(t, cfg.Rates, want.Rates)
	assert.DeepEqual(t, cfg.Log, want.Log)
	assert.DeepEqual(t, cfg.Trace, want.Trace)
	assert.Equal(t, cfg.Daemon.ShutdownTimeout, want.Daemon.ShutdownTimeout)
}

func TestParseErrorNamesSectionAndKey(t *testing.T) {
	valid := exampleSettings(t)
	for name, c := range map[string]struct{ from, to, section, key string }{
		"unknown key":                 {"role = upstream", "rolle = upstream", "daemon", "rolle"},
		"unknown section":             {"[log]", "[logs]", "logs", ""},
		"duplicate key":               {"role = upstream", "role = upstream\nrole = control", "daemon", "role"},
		"bad duration":                {"connect_timeout = 1s", "connect_timeout = soon", "calls", "connect_timeout"},
		"bad number":                  {"connections = 4096", "connections = many", "calls", "connections"},
		"negative header memory":      {"header_memory_mb = 0", "header_memory_mb = -1", "calls", "header_memory_mb"},
		"bad flag":                    {"join = false", "join = perhaps", "control", "join"},
		"missing VM":                  {"vm = katalog-1", "", "daemon", "vm"},
		"control without data folder": {"role = upstream", "role = control", "daemon", "data_folder"},
		"not IP:port":                 {"caller = 127.0.0.1:8080", "caller = localhost:8080", "listen", "caller"},
		"duplicate address":           {"peer = 127.0.0.1:8081", "peer = 127.0.0.1:8080", "listen", "peer"},
		"plaintext outside loopback":  {"peer = 127.0.0.1:8081", "peer = 192.0.2.1:8081", "listen", "peer"},
		"local not loopback":          {"local = 127.0.0.1:8083", "local = 192.0.2.1:8083", "listen", "local"},
		"duplicate voter":             {"control-2=127.0.0.1:9182", "control-1=127.0.0.1:9182", "control", "voters"},
		"grace too short":             {"paid_grace = 10s", "paid_grace = 1s", "cut_off", "paid_grace"},
		"negative warm-up overrun":    {"warmup_overrun = 0", "warmup_overrun = -1", "admission", "warmup_overrun"},
		"negative warm-up slack":      {"warmup_slack = 0", "warmup_slack = -1", "admission", "warmup_slack"},
		"no usable slot":              {"slot_share = 1", "slot_share = 0", "admission", "slot_share"},
		"bad role":                    {"role = view", "role = king", "operator anna", "role"},
		"bad digest":                  {"token_sha256 = 00", "token_sha256 = zz", "operator anna", "token_sha256"},
		"sample":                      {"sample = 0.01", "sample = 7", "trace", "sample"},
		"negative slack":              {"\nslack = 0", "\nslack = -1", "rates", "slack"},
		"no slack window":             {"slack_window = 5s", "slack_window = 0s", "rates", "slack_window"},
		"negative line rate":          {"decision_rate = 10", "decision_rate = -1", "log", "decision_rate"},
		"no line at once":             {"decision_burst = 50", "decision_burst = 0", "log", "decision_burst"},
		"key before a section":        {"; Settings", "stray = 1\n; Settings", "", "stray"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(valid, c.from))
			assertRejected(t, strings.Replace(valid, c.from, c.to, 1), c.section, c.key)
		})
	}
}

// A deployment whose size makes a bound a fraction must not keep all daemons from
// starting.
func TestRetrySlackMayBeAFraction(t *testing.T) {
	for text, want := range map[string]float64{"20.434782608695652": 20.434782608695652, "0": 0, "94": 94, "1e3": 1000} {
		cfg, err := Parse("daemon.ini", []byte(strings.Replace(exampleSettings(t), "retry_slack = 100", "retry_slack = "+text, 1)))
		assert.NilError(t, err)
		assert.Equal(t, cfg.Calls.RetrySlack, want)
	}
	for _, text := range []string{"-0.5", "NaN", "Inf", "some"} {
		assertRejected(t, strings.Replace(exampleSettings(t), "retry_slack = 100", "retry_slack = "+text, 1), "calls", "retry_slack")
	}
}

// Guards against a budget for headers that a small VM doesn't have.
func TestHeaderMemoryFollowsTheMemoryLimit(t *testing.T) {
	for _, c := range []struct{ setting, limit, want float64 }{{0, 184, 46}, {0, 0, 256}, {7.5, 184, 7.5}, {7.5, 0, 7.5}} {
		cfg := Default()
		cfg.Calls.HeaderMemoryMB, cfg.Daemon.MemoryLimitMB = c.setting, c.limit
		assert.Equal(t, cfg.HeaderMemory(), int64(c.want*(1<<20)))
	}
}

func TestLoadErrorNamesUnreadableFile(t *testing.T) {
	_, err := Load("no-such-file.ini")
	var bad *schema.Error
	assert.Assert(t, errors.As(err, &bad))
	assert.Equal(t, bad.File, "no-such-file.ini")
}

func FuzzParse(f *testing.F) {
	f.Add(exampleSettings(f))
	f.Add("[daemon\nvm=")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("fuzz.ini", []byte(text)) // must not panic
	})
}
