package intent

import (
	"strings"
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// inspectExample has no findings; each test case changes one thing in it.
const inspectExample = `
[limits]
retries = 2
timeout = 5s
[data_centre a]
[service s]
servers = 3
warmup = 3s
warmup_rate = 7
health_path = /health
[service s2]
[route r]
method = GET
path = /p/{id}
split = s:90, s2:10
attempts = 3
target_latency = 500ms
[route nested]
method = POST
path = /n
service = s
internal = true
attempts = 3
[route any]
host = h.example
prefix = /p/
service = s
[group g]
routes = r
[workspace w]
key_digests = ` + exampleDigest + `
[workspace all]
all_routes = true
rate = 20
burst = 40
[grant w_r]
workspace = w
groups = g
routes = any
rate = 5
burst = 10
`

func rules(findings []Finding) (rules []Rule) {
	for _, f := range findings {
		rules = append(rules, f.Rule)
	}
	return rules
}

// A rule that is silent lets a setting without effect pass; one that reports sound
// settings makes --strict unusable.
func TestInspect(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		want     []Rule
		text     string
	}{
		"nothing":             {"", "", nil, ""},
		"route behind prefix": {"host = h.example\n", "", []Rule{RuleRouteUnreachable}, "[route r] path: no call reaches it: route any"},
		"host with port":      {"h.example", "h.example:80", []Rule{RuleRouteUnreachable}, "[route any] host"},
		"split weight 0":      {"s2:10", "s2:0", []Rule{RuleSplitWeightZero}, "service s2 has weight 0"},
		"grant of open route": {
			"prefix = /p/\n", "prefix = /p/\nopen = true\n", []Rule{RuleGrantWithoutEffect}, "has no effect on any (open)",
		},
		"grant of internal route": {
			"prefix = /p/\n", "prefix = /p/\ninternal = true\n", []Rule{RuleGrantWithoutEffect}, "any (internal)",
		},
		"grant beside all_routes": {
			"workspace = w\n", "workspace = all\n", []Rule{RuleKeysWithoutRoute, RuleGrantWithoutEffect}, "workspace all may call all routes",
		},
		"grant above workspace": {
			"workspace = w\ngroups = g\nroutes = any\nrate = 5\n", "workspace = all\nroutes = r\nrate = 21\n",
			[]Rule{RuleKeysWithoutRoute, RuleGrantAboveRate, RuleGrantWithoutEffect},
			"21 is above the rate of workspace all, 20",
		},
		"keys of internal route": {
			"groups = g\nroutes = any", "routes = nested", []Rule{RuleKeysWithoutRoute, RuleGrantWithoutEffect}, "[workspace w] key_digests",
		},
		"unused service":        {"[service s2]", "[service s3]\n[service s2]", []Rule{RuleServiceUnused}, "[service s3]"},
		"empty group":           {"[group g]", "[group h]\n[group g]", []Rule{RuleGroupEmpty}, "[group h] routes"},
		"burst without rate":    {"rate = 20\n", "rate = 0\n", []Rule{RuleBurstWithoutRate}, "[workspace all] burst"},
		"burst below 1":         {"burst = 40", "burst = 0.5", []Rule{RuleBurstBelowOne}, "0.5 is below 1"},
		"target above timeout":  {"500ms", "6s", []Rule{RuleTargetAboveTimeout}, "6s is above the timeout of 5s"},
		"target equals timeout": {"500ms", "5s", nil, ""},
		"attempts above retries": {
			"retries = 2", "retries = 1", []Rule{RuleAttemptsUnpaid}, "[route nested] attempts: 3 attempts need 2 retries",
		},
		"attempts above servers": {
			"servers = 3", "servers = 2", []Rule{RuleAttemptsAboveVMs, RuleAttemptsAboveVMs}, "3 is above the servers of service s, 2",
		},
		"servers unknown":        {"servers = 3\n", "", nil, ""},
		"warmup without path":    {"health_path = /health\n", "", []Rule{RuleWarmupUnchecked}, "[service s] health_path"},
		"timeout of limits":      {"timeout = 5s", "timeout = 601s", []Rule{RuleTimeoutTooLong}, "[limits] timeout"},
		"longest timeout":        {"timeout = 5s", "timeout = 10m", nil, ""},
		"keys beside all_routes": {"all_routes = true\n", "all_routes = true\nkey_digests = " + strings.Repeat("1", len(exampleDigest)) + "\n", nil, ""},
		"grant at the rate of the workspace": {
			"workspace = w\ngroups = g\nroutes = any\nrate = 5\n", "workspace = all\nroutes = r\nrate = 20\n",
			[]Rule{RuleKeysWithoutRoute, RuleGrantWithoutEffect},
			"workspace all may call all routes",
		},
		"few servers behind weight 0": {
			"[service s2]", "[service s2]\n[service s3]\nservers = 1\n[route zero]\nmethod = GET\npath = /\nsplit = s:1, s3:0\nattempts = 2",
			[]Rule{RuleSplitWeightZero},
			"[route zero] split",
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(inspectExample, c.from), "the text to replace is not in the example")
			got := Inspect(mustParse(t, strings.Replace(inspectExample, c.from, c.to, 1)))
			assert.DeepEqual(t, rules(got), c.want)
			lines := ""
			for _, f := range got {
				lines += f.String() + "\n"
			}
			assert.Assert(t, strings.Contains(lines, c.text), "%s", lines)
		})
	}
}

// Rates are divided among data centres; without one nobody would notice that there is no share.
func TestInspectRateWithoutDataCentre(t *testing.T) {
	got := Inspect(mustParse(t, "[workspace w]\nall_routes = true\nrate = 5\n"))
	assert.DeepEqual(t, rules(got), []Rule{RuleRateUndivided})
}

// The committed example must stay usable as a template with --strict.
func TestInspectFindsNothingInContrib(t *testing.T) {
	assert.Equal(t, len(Inspect(mustParse(t, example(t)))), 0)
}

// A route must be reported if, and only if, no call can reach it.
func TestInspectReachability(t *testing.T) {
	for name, c := range map[string]struct {
		routes []RouteSpec // named a, b, c, ...
		want   []string
	}{
		"literal before wildcard": {[]RouteSpec{{Method: "GET", Path: "/{x}"}, {Method: "GET", Path: "/p"}}, nil},
		"rest behind its parts": {
			[]RouteSpec{{Method: "GET", Path: "/p/{x...}"}, {Method: "GET", Path: "/p"}, {Method: "GET", Path: "/p/{y}/{x...}"}},
			[]string{"route a"},
		},
		"rest with longer paths":          {[]RouteSpec{{Method: "GET", Path: "/p/{x...}"}, {Method: "GET", Path: "/p"}, {Method: "GET", Path: "/p/{y}/{z}"}}, nil},
		"rest behind all but the longest": {[]RouteSpec{{Method: "GET", Path: "/{x...}"}, {Method: "GET", Path: "/"}, {Method: "GET", Path: "/{y}"}}, nil},
		"prefix of another method":        {[]RouteSpec{{Method: "GET", Path: "/p/{x}"}, {Method: "POST", Prefix: "/p/"}}, nil},
		"prefix of the same method":       {[]RouteSpec{{Method: "GET", Path: "/p/{x}"}, {Method: "GET", Prefix: "/p/"}}, []string{"route a"}},
		"prefix of one host":              {[]RouteSpec{{Method: "GET", Path: "/p/{x}"}, {Host: "h", Prefix: "/p/"}}, nil},
		"path without the last slash":     {[]RouteSpec{{Method: "GET", Path: "/p"}, {Prefix: "/p/"}}, nil},
		"rest without the last slash":     {[]RouteSpec{{Method: "GET", Path: "/p/{x...}"}, {Prefix: "/p/"}}, nil},
		"prefix of everything":            {[]RouteSpec{{Method: "GET", Path: "/"}, {Method: "GET", Path: "/p/{x...}"}, {Prefix: "/"}}, []string{"route a", "route b"}},
		"longer and more exact prefix":    {[]RouteSpec{{Prefix: "/p/"}, {Prefix: "/p/q/"}, {Host: "H", Prefix: "/p/"}, {Host: "h", Method: "GET", Prefix: "/p/"}}, nil},
		"samples differ from literals":    {[]RouteSpec{{Method: "GET", Path: "/{y}"}, {Method: "GET", Path: "/x"}, {Method: "GET", Path: "/xx"}}, nil},
		"address of version 6 and port":   {[]RouteSpec{{Host: "[::1]", Prefix: "/"}}, []string{"route a"}},
	} {
		t.Run(name, func(t *testing.T) {
			in := Empty()
			in.Services["s"] = ServiceSpec{}
			for n, r := range c.routes {
				r.Service, r.Class = "s", "normal"
				in.Routes[ident.Route(rune('a'+n))] = r
			}
			assert.NilError(t, Check("test", in))
			var got []string
			for _, f := range Inspect(in) {
				assert.Equal(t, f.Rule, RuleRouteUnreachable)
				got = append(got, f.Section)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// No input may make the command panic, whether it is valid or not.
func FuzzInspect(f *testing.F) {
	f.Add(example(f))
	f.Add(inspectExample)
	f.Add(prefixExample)
	f.Add("[route a]\npath = {x...}/{y}\nmethod = GET\n[route b]\nprefix = x\n[route c]\n")
	f.Add("[route a]\nsplit = :0, s:-1\nattempts = -9223372036854775808\n[grant g]\ngroups = g, g\nroutes = a\n")
	f.Add("[workspace w]\nrate = -Inf\nburst = 1e308\n[grant g]\nworkspace = w\nrate = Inf\n[limits]\nretries = 9223372036854775807\n")
	f.Fuzz(func(t *testing.T, text string) {
		in, err := parseUnchecked("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		assert.DeepEqual(t, Inspect(in), Inspect(in))
	})
}
