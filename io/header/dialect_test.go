package header

import (
	"net/http"
	"testing"
	"time"

	"chicorymast/core/notice"

	"gotest.tools/v3/assert"
)

var customDialect = Dialect{
	KeyScheme: "Token", Action: "X-Id", ActionEchoed: true, Timeout: "X-Left", TimeoutUnit: time.Millisecond,
	Workspace: "X-Who", Caller: "X-From", TargetUpstream: "X-For",
	NotRun: "X-Not", NotRunStatus: 421, Signature: "X-Sign", FractionalRetryAfter: true,
}

func response(status int, nameValues ...string) *http.Response {
	resp := &http.Response{StatusCode: status, Header: http.Header{}}
	for i := 0; i < len(nameValues); i += 2 {
		resp.Header.Set(nameValues[i], nameValues[i+1])
	}
	return resp
}

func TestTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "1e300": 24 * time.Hour,
		"": 0, "0": 0, "-3": 0, "NaN": 0, "soon": 0,
	} {
		left, ok := customDialect.TimeLeft(http.Header{"X-Left": {text}})
		assert.Equal(t, left, want, text)
		assert.Equal(t, ok, want > 0, text)
	}
}

// A caller must not be able to forge the headers that upstreams rely on.
func TestSetUpstreamReplacesForgedHeaders(t *testing.T) {
	h := http.Header{"X-Who": {"forged", "twice"}, "X-From": {"forged"}, "X-For": {"forged"}, "X-Left": {"999999"}}
	customDialect.SetUpstream(h, UpstreamHeaders{TimeLeft: 1234567 * time.Microsecond, Caller: "shop"})
	assert.DeepEqual(t, h, http.Header{"X-From": {"shop"}, "X-Left": {"1234"}})
}

func TestResponseChecks(t *testing.T) {
	assert.Assert(t, customDialect.ProvesNotRun(response(503, "X-Not", "1")))
	assert.Assert(t, customDialect.ProvesNotRun(response(421)))
	assert.Assert(t, !customDialect.ProvesNotRun(response(503)))
	assert.Assert(t, !customDialect.ProvesNotRun(response(503, "X-Not", "false")))
	assert.Assert(t, DefaultDialect().ProvesNotRun(response(503, NotRun, "true")))
	assert.Assert(t, !DefaultDialect().ProvesNotRun(response(421)))

	req := &http.Request{Header: http.Header{"X-Id": {"7"}}}
	assert.Assert(t, customDialect.MatchesRequest(req, response(200, "X-Id", "7")))
	assert.Assert(t, !customDialect.MatchesRequest(req, response(200, "X-Id", "8")))
	assert.Assert(t, !customDialect.MatchesRequest(req, response(200)))
	assert.Assert(t, DefaultDialect().MatchesRequest(req, response(200)))

	assert.Assert(t, !customDialect.HasRequiredSignature(response(200)))
	assert.Assert(t, customDialect.HasRequiredSignature(response(200, "X-Sign", "s")))
	assert.Assert(t, customDialect.HasRequiredSignature(response(500)))
}

func TestRetryAfterRoundsUp(t *testing.T) {
	assert.Equal(t, customDialect.FormatRetryAfter(1500*time.Millisecond), "1.500")
	assert.Equal(t, customDialect.FormatRetryAfter(time.Nanosecond), "0.001")
	assert.Equal(t, DefaultDialect().FormatRetryAfter(1100*time.Millisecond), "2")
}

func TestStatementOfAResponse(t *testing.T) {
	d := customDialect
	d.Limit, d.Leaving = "X-Limit", "X-Leaving"
	for text, want := range map[string]notice.StatedLimit{
		"18.8": notice.Named{Rate: 18.8}, "0": notice.Named{}, "7, 5.5": notice.Named{Rate: 5.5}, "x,9": notice.Named{Rate: 9},
		"": notice.Unreadable{}, "-3": notice.Unreadable{Text: "-3"}, "NaN": notice.Unreadable{Text: "NaN"},
		"inf": notice.Unreadable{Text: "inf"}, "1e400": notice.Unreadable{Text: "1e400"}, "0x10": notice.Unreadable{Text: "0x10"},
		"many": notice.Unreadable{Text: "many"},
	} {
		t.Run("limit "+text, func(t *testing.T) {
			assert.DeepEqual(t, d.Statement(response(200, "X-Limit", text)), notice.Statement{Limit: want})
		})
	}
	t.Run("two headers", func(t *testing.T) {
		resp := &http.Response{Header: http.Header{"X-Limit": {"6", "4"}, "X-Leaving": {"", "1"}}}
		assert.DeepEqual(t, d.Statement(resp), notice.Statement{Leaving: true, Limit: notice.Named{Rate: 4}})
	})
	t.Run("nothing said", func(t *testing.T) {
		assert.DeepEqual(t, d.Statement(response(200, "X-Leaving", "0")), notice.Statement{Limit: notice.Unnamed{}})
		assert.DeepEqual(t, customDialect.Statement(response(200, "X-Limit", "4")), notice.Statement{Limit: notice.Unnamed{}})
	})
}
