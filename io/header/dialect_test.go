package header

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var strange = Dialect{
	KeyScheme: "Token", Action: "X-Id", ActionEchoed: true, Timeout: "X-Left", TimeoutUnit: time.Millisecond,
	Workspace: "X-Who", Caller: "X-From", TargetUpstream: "X-For", NotRun: "X-Not", NotRunStatus: 421, Signature: "X-Sign", FractionalRetryAfter: true,
}

func answer(status int, header ...string) *http.Response {
	r := &http.Response{StatusCode: status, Header: http.Header{}}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func TestTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "1e300": 24 * time.Hour,
		"": 0, "0": 0, "-3": 0, "NaN": 0, "soon": 0,
	} {
		left, ok := strange.TimeLeft(http.Header{"X-Left": {text}})
		assert.Equal(t, left, want, text)
		assert.Equal(t, ok, want > 0, text)
	}
}

// Whatever a caller sent, an upstream is told what is true.
func TestPutUpstreamReplacesWhatCallersSent(t *testing.T) {
	h := http.Header{"X-Who": {"forged", "twice"}, "X-From": {"forged"}, "X-For": {"forged"}, "X-Left": {"999999"}}
	strange.SetUpstream(h, UpstreamHeaders{TimeLeft: 1234567 * time.Microsecond, Caller: "shop"})
	assert.DeepEqual(t, h, http.Header{"X-From": {"shop"}, "X-Left": {"1234"}})
}

func TestWhatAnswersProve(t *testing.T) {
	assert.Assert(t, strange.ProvesNotRun(answer(503, "X-Not", "1")))
	assert.Assert(t, strange.ProvesNotRun(answer(421)))
	assert.Assert(t, !strange.ProvesNotRun(answer(503)))
	assert.Assert(t, !strange.ProvesNotRun(answer(503, "X-Not", "false")))
	assert.Assert(t, DefaultDialect().ProvesNotRun(answer(503, NotRun, "true")))
	assert.Assert(t, !DefaultDialect().ProvesNotRun(answer(421)))

	q := &http.Request{Header: http.Header{"X-Id": {"7"}}}
	assert.Assert(t, strange.MatchesRequest(q, answer(200, "X-Id", "7")))
	assert.Assert(t, !strange.MatchesRequest(q, answer(200, "X-Id", "8")))
	assert.Assert(t, !strange.MatchesRequest(q, answer(200)))
	assert.Assert(t, DefaultDialect().MatchesRequest(q, answer(200)))

	assert.Assert(t, !strange.HasRequiredSignature(answer(200)))
	assert.Assert(t, strange.HasRequiredSignature(answer(200, "X-Sign", "s")))
	assert.Assert(t, strange.HasRequiredSignature(answer(500)))
}

func TestRetryAfterNeverSaysLess(t *testing.T) {
	assert.Equal(t, strange.FormatRetryAfter(1500*time.Millisecond), "1.500")
	assert.Equal(t, strange.FormatRetryAfter(time.Nanosecond), "0.001")
	assert.Equal(t, DefaultDialect().FormatRetryAfter(1100*time.Millisecond), "2")
}
