package intent

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/schema"

	"gotest.tools/v3/assert"
)

func example(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../../contrib/intent.ini")
	assert.NilError(t, err)
	return string(data)
}

func mustParse(t testing.TB, text string) Intent {
	t.Helper()
	in, err := Parse("intent.ini", []byte(text))
	assert.NilError(t, err)
	return in
}

func TestExampleIsValid(t *testing.T) {
	in := mustParse(t, example(t))
	assert.Equal(t, len(in.Routes), 2)
	assert.DeepEqual(t, in.GrantRoutes(in.Grants["mlyn_shop"]), []ident.Route{"katalog_browse", "order_place"})
}

func TestInvalidIntentsNameSectionAndKey(t *testing.T) {
	valid := example(t)
	for name, c := range map[string]struct{ from, to, section, key string }{
		"unknown key":         {"rate = 50", "rat = 50", "grant mlyn_shop", "rat"},
		"unknown kind":        {"[service katalog]", "[servis katalog]", "servis katalog", ""},
		"no name":             {"[service katalog]", "[service]", "service", ""},
		"unknown service key": {"slots = 55", "progress_timeout = 1s", "service katalog", "progress_timeout"},
		"rate zero":           {"rate = 50", "rate = 0", "grant mlyn_shop", "rate"},
		"rate NaN":            {"rate = 50", "rate = NaN", "grant mlyn_shop", "rate"},
		"burst zero":          {"burst = 100", "burst = 0", "grant mlyn_shop", "burst"},
		"unknown workspace":   {"workspace = mlyn", "workspace = mlin", "grant mlyn_shop", "workspace"},
		"unknown group":       {"groups = shop", "groups = shops", "grant mlyn_shop", "groups"},
		"unknown route":       {"routes = katalog_browse, order_place", "routes = katalog", "group shop", "routes"},
		"unknown service":     {"service = objednavky", "service = objednavka", "route order_place", "service"},
		"unknown home":        {"home = kosice-1", "home = praha", "workspace mlyn", "home"},
		"invalid class":       {"class = critical", "class = paid", "route order_place", "class"},
		"invalid method":      {"method = POST", "method = post", "route order_place", "method"},
		"invalid path":        {"path = /objednavky", "path = objednavky", "route order_place", "path"},
		"open and internal":   {"open = false\ninternal = false", "open = true\ninternal = true", "route katalog_browse", "open"},
		"too many retries":    {"retries = 3", "retries = 99", "limits", "retries"},
		"weight zero":         {"weight = 1", "weight = 0", "data_centre kosice-1", "weight"},
		"overlapping routes":  {"method = POST\npath = /objednavky", "method = GET\npath = /katalog/{other}", "route order_place", "path"},
		"body limit is zero":  {"body_limit = 33554432", "body_limit = 0", "limits", "body_limit"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(valid, c.from), c.from)
			_, err := Parse("intent.ini", []byte(strings.Replace(valid, c.from, c.to, 1)))
			var schemaErr *schema.Error
			assert.Assert(t, errors.As(err, &schemaErr), "%v", err)
			assert.Equal(t, schemaErr.Section, c.section)
			assert.Equal(t, schemaErr.Key, c.key)
		})
	}
}

func TestApplyOfDiffYieldsTarget(t *testing.T) {
	a := mustParse(t, example(t))
	b := mustParse(t, strings.Replace(strings.Replace(example(t), "rate = 50", "rate = 60", 1), "retries = 3", "retries = 1", 1))
	assert.DeepEqual(t, Diff(a, b).Apply(a), b)
	assert.Assert(t, Diff(a, a).Empty())
	assert.DeepEqual(t, Diff(a, Empty()).Apply(a), Empty())
	assert.Equal(t, len(Diff(a, b).Grants), 1, "a patch contains only what changes")
}

func TestCompareListsAffectedWorkspaces(t *testing.T) {
	a := mustParse(t, example(t))
	b := mustParse(t, strings.Replace(example(t), "rate = 50", "rate = 60", 1))
	changes := Compare(a, b)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Detail, "rate 50 -> 60")
	assert.DeepEqual(t, changes[0].Workspaces, []ident.Workspace{"mlyn"})
}

func TestReviewWarns(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"no key":             {"", "", "workspace mlyn has no key"},
		"above the slots":    {"rate = 50", "rate = 20000", "grant mlyn_shop: rate 20000 is above the 13750"},
		"nobody may call it": {"routes = katalog_browse, order_place", "routes = katalog_browse", "route order_place can be called by no workspace"},
	} {
		t.Run(name, func(t *testing.T) {
			in := mustParse(t, strings.Replace(example(t), c.from, c.to, 1))
			warnings := strings.Join(Review(in, ReviewInput{}), "\n")
			assert.Assert(t, strings.Contains(warnings, c.want), "%s", warnings)
		})
	}
}

func TestSharesAddUpToOne(t *testing.T) {
	in := mustParse(t, example(t)+"\n[data_centre far]\nweight = 3\n")
	sum := 0.0
	for dc := range in.DataCentres {
		sum += in.Share(dc)
	}
	assert.Assert(t, sum > 0.999999 && sum < 1.000001)
	assert.Equal(t, in.Share("elsewhere"), 0.0)
}

// A warm-up without a rate, or with one out of range, would stop the upstreams of a service.
func TestWarmupOfServices(t *testing.T) {
	const text = "[service s]\nwarmup = 3s\nwarmup_rate = 7.2\nhealth_path = /health\n"
	in := mustParse(t, text)
	assert.DeepEqual(t, in.Services["s"], ServiceSpec{Warmup: 3 * time.Second, WarmupRate: 7.2, HealthPath: "/health"})
	t.Run("a plan shows it", func(t *testing.T) {
		changes := Compare(mustParse(t, "[service s]\n"), in)
		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].Detail, "warmup 3s, warmup_rate 7.2, health_path /health")
	})
	for name, c := range map[string]struct{ from, to, want string }{
		"rate missing":       {"warmup_rate = 7.2\n", "", "set together"},
		"duration missing":   {"warmup = 3s\n", "", "set together"},
		"negative duration":  {"= 3s", "= -3s", "warmup"},
		"duration too long":  {"= 3s", "= 61m", "warmup"},
		"negative rate":      {"7.2", "-7.2", "warmup_rate"},
		"rate not a number":  {"7.2", "NaN", "warmup_rate"},
		"path without slash": {"/health", "health", "health_path"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("intent.ini", []byte(strings.Replace(text, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Fuzz(func(t *testing.T, text string) {
		in, err := Parse("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		// A parsed intent is valid, and its diff against itself is empty.
		assert.NilError(t, Check("fuzz.ini", in))
		assert.Assert(t, Diff(in, in).Empty())
	})
}

const prefixExample = `
[data_centre a]
[service s]
[service s2]
[route r]
host = h.example
prefix = /p/
split = s:90, s2:10
attempts = 2
target_latency = 500ms
unique_ids = true
[workspace w]
all_routes = true
rate = 20
class = low
key_digests = ` + exampleDigest + `
`

const exampleDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestPrefixesSplitsAndWorkspaceGrants(t *testing.T) {
	in, err := Parse("intent.ini", []byte(prefixExample))
	assert.NilError(t, err)
	assert.DeepEqual(t, in.Routes["r"].Split, []SplitPart{{Service: "s", Weight: 90}, {Service: "s2", Weight: 10}})
	g := in.Grant(WorkspaceGrant("w"))
	assert.Equal(t, g.Rate, ident.Rate(20))
	assert.Equal(t, g.Burst, ident.Burst(20), "the burst defaults to one second of the rate")
	for name, c := range map[string]struct{ from, to, want string }{
		"path and prefix":          {"prefix = /p/", "prefix = /p/\npath = /p", "either a path or a prefix"},
		"host without prefix":      {"prefix = /p/", "path = /p\nmethod = GET", "needs a prefix"},
		"prefix without slash":     {"prefix = /p/", "prefix = /p", "begin and end with /"},
		"split and service":        {"split =", "service = s\nsplit =", "either a service or a split"},
		"split without weight":     {"s2:10", "s2", "split"},
		"unknown service in split": {"s2:10", "s3:10", `no service "s3"`},
		"all weights are zero":     {"s:90, s2:10", "s:0", "no part has a weight"},
		"too many attempts":        {"attempts = 2", "attempts = 99", "attempts"},
		"target above timeout":     {"500ms", "66s", "target_latency"},
		"timeout too long":         {"500ms", "500ms\ntimeout = 601s", "timeout"},
		"rate without routes":      {"all_routes = true", "", "all_routes"},
		"invalid class":            {"class = low", "class = lowest", "class"},
		"not a digest":             {exampleDigest, "secret", "SHA-256"},
		"key of two workspaces":    {"[workspace w]", "[workspace v]\nkey_digests = " + exampleDigest + "\n[workspace w]", "already that of workspace"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(prefixExample, c.from), "the text to replace is not in the example")
			_, err := Parse("intent.ini", []byte(strings.Replace(prefixExample, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}
