package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chicorymast/config"

	"gotest.tools/v3/assert"
)

// Sections of the templates, which are left out where the platform has no such bound.
const (
	quotaSlack  = "{{#bounds.quota_slack}}slack = {{.}}{{/bounds.quota_slack}}"
	quotaWindow = "{{#bounds.quota_window}}slack_window = {{.}}{{/bounds.quota_window}}"
	coldOverrun = "{{#bounds.cold_overrun}}warmup_overrun = {{.}}{{/bounds.cold_overrun}}"
	coldSlack   = "{{#bounds.cold_slack}}warmup_slack = {{.}}{{/bounds.cold_slack}}"
	retryWindow = "{{#bounds.budget_window}}retry_window = {{.}}{{/bounds.budget_window}}"
)

// templateValues are usual values of the placeholders of the templates in deploy/.
func templateValues() map[string]string {
	return map[string]string{
		"{{node}}": "node-1", "{{zone}}": "east", "{{service}}": "shop", "{{ip}}": "127.0.0.1", "{{data_dir}}": "data",
		"{{bounds.grace}}": "6s", "{{bounds.retry_budget_ratio}}": "0.2", "{{bounds.budget_slack}}": "49",
		"{{fault_tolerance.machines}}": "1", "{{heartbeat}}": "1500ms", "{{bootstrap}}": "true",
		"{{listen.outbound}}": "127.0.0.1:8548", "{{listen.inbound}}": "127.0.0.1:8543",
		"{{listen.control}}": "127.0.0.1:8540", "{{listen.ready}}": "127.0.0.1:8546",
		"{{internal_ports.0}}": fmt.Sprint(portControl), "{{seeds}}": "127.0.0.1:8540,127.0.0.2:8540,127.0.0.3:8540",
		"{{#zones}}{{@}}{{,}}{{/zones}}": "east,west",
		quotaSlack:                       "slack = 20", quotaWindow: "slack_window = 5s",
		coldOverrun: "warmup_overrun = 1.5", coldSlack: "warmup_slack = 8",
		retryWindow: "retry_window = 10s",
	}
}

// fillTemplate fills in a template as the platform does, with usual values where
// none are given.
func fillTemplate(t testing.TB, file string, values map[string]string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../deploy", file))
	assert.NilError(t, err)
	all := templateValues()
	for placeholder, value := range values {
		all[placeholder] = value
	}
	filled := string(text)
	for placeholder, value := range all {
		filled = strings.ReplaceAll(filled, placeholder, value)
	}
	assert.Assert(t, !strings.Contains(filled, "{{"), "%s", filled)
	return filled
}

// Values that the platform may fill in must not keep daemons from starting.
func TestTemplatesAcceptWhatThePlatformFillsIn(t *testing.T) {
	for placeholder, values := range map[string][]string{
		"{{bounds.retry_budget_ratio}}":  {"0", "0.2", "0.3333333333333333", "1"},
		"{{bounds.budget_slack}}":        {"0", "49", "20.434782608695652", "1e6"},
		quotaSlack:                       {"", "slack = 0", "slack = 20", "slack = 20.434782608695652", "slack = 1e6"},
		quotaWindow:                      {"", "slack_window = 5s", "slack_window = 1234.5ms"},
		retryWindow:                      {"", "retry_window = 10s", "retry_window = 1234.5ms"},
		"{{heartbeat}}":                  {"1500ms", "1.5s", "1234.5ms", "10s"},
		"{{fault_tolerance.machines}}":   {"0", "1", "2"},
		"{{bootstrap}}":                  {"true", "false"},
		"{{seeds}}":                      {"127.0.0.1:8540", "127.0.0.1:8540,127.0.0.2:8540"},
		"{{#zones}}{{@}}{{,}}{{/zones}}": {"east", "east,west,north,south,middle"},
		coldOverrun:                      {"", "warmup_overrun = 1.5", "warmup_overrun = 2"},
		coldSlack:                        {"", "warmup_slack = 0", "warmup_slack = 8", "warmup_slack = 8.5"},
	} {
		for _, value := range values {
			for _, file := range []string{"daemon.ini", "control.ini"} {
				t.Run(placeholder+"="+value+" in "+file, func(t *testing.T) {
					_, err := config.Parse(file, []byte(fillTemplate(t, file, map[string]string{placeholder: value})))
					assert.NilError(t, err)
				})
			}
		}
	}
}
