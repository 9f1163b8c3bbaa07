package header

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/notice"
)

// Dialect holds the names of the headers that callers and upstreams use. An
// empty name means that the header is not used.
type Dialect struct {
	// KeyScheme is the authentication scheme of the Authorization header that
	// carries a caller's key.
	KeyScheme string
	// Action carries the action id of a request. If ActionEchoed is set,
	// upstreams return the id in their responses; a response with a different
	// id belongs to another request.
	Action       string
	ActionEchoed bool
	// Timeout carries the remaining time, in units of TimeoutUnit.
	Timeout     string
	TimeoutUnit time.Duration
	// Workspace, Caller and TargetUpstream are set on requests to upstreams:
	// the workspace of the caller's key, the service on the VM that dispatches
	// the call, and the upstream that the request is meant for.
	Workspace      string
	Caller         string
	TargetUpstream string
	// NotRun is set by an upstream on the response to a request that it did
	// not run.
	NotRun string
	// NotRunStatus is a status code that means the same; zero means none.
	NotRunStatus int
	// Signature must be present on every successful response of an upstream.
	Signature string
	// Limit is set by an upstream on its responses while it takes only so many requests
	// a second from all daemons together, Leaving with the value 1 while it leaves.
	Limit   string
	Leaving string
	// NestedAction separates the action id of a nested call from that of the call which it
	// is made for, where upstreams derive the one from the other ("ID.SUFFIX"). Empty if
	// they don't.
	NestedAction string
	// Warmup is set by an upstream on its response to a health check: the milliseconds for
	// which it stays cold, 0 for none.
	Warmup string
	// WarmWithoutHeader means that a healthy upstream that sets no Warmup header is warm. If it
	// is not set, such a response does not say.
	WarmWithoutHeader bool
	// PropagateTrace passes the W3C trace context on to upstreams.
	PropagateTrace bool
	// ForwardedFor passes the caller's address on in X-Forwarded-For.
	ForwardedFor bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the dialect described in docs/CALLERS.md.
func DefaultDialect() Dialect {
	return Dialect{
		KeyScheme: "Bearer", Action: IdempotencyKey, Timeout: RequestTimeout, TimeoutUnit: time.Second,
		NotRun: NotRun, Limit: UpstreamLimit, Leaving: UpstreamLeaving, Warmup: UpstreamWarmup, PropagateTrace: true, ForwardedFor: true,
	}
}

// TimeLeft returns the remaining time that the Timeout header states, at most
// 24 hours. It reports false if the header is absent or not a positive number.
func (d Dialect) TimeLeft(h http.Header) (left time.Duration, ok bool) {
	n, err := strconv.ParseFloat(h.Get(d.Timeout), 64)
	if err != nil || !(n > 0) {
		return 0, false
	}
	const maxTimeLeft = 24 * time.Hour
	if n > float64(maxTimeLeft/d.TimeoutUnit) {
		return maxTimeLeft, true
	}
	return time.Duration(n * float64(d.TimeoutUnit)), true
}

// UpstreamHeaders holds the values of the headers set on requests to upstreams.
type UpstreamHeaders struct {
	TimeLeft  time.Duration
	Workspace ident.Workspace
	Caller    ident.Service
	Target    ident.Upstream
}

// SetUpstream sets the headers for an upstream and overwrites or deletes
// those that the caller sent under the same names.
func (d Dialect) SetUpstream(h http.Header, u UpstreamHeaders) {
	const headers = 4
	values := make([]string, headers) // one allocation for all of them
	setOrDelete(h, d.Timeout, d.formatTimeLeft(u.TimeLeft), values[0:1:1])
	setOrDelete(h, d.Workspace, string(u.Workspace), values[1:2:2])
	setOrDelete(h, d.Caller, string(u.Caller), values[2:3:3])
	setOrDelete(h, d.TargetUpstream, string(u.Target), values[3:4:4])
}

// DeleteUpstream deletes the headers that SetUpstream sets, which are of no use until then.
func (d Dialect) DeleteUpstream(h http.Header) {
	for _, name := range []string{d.Timeout, d.Workspace, d.Caller, d.TargetUpstream} {
		delete(h, http.CanonicalHeaderKey(name))
	}
}

func (d Dialect) formatTimeLeft(left time.Duration) string {
	if d.TimeoutUnit == time.Millisecond {
		return strconv.FormatInt(left.Milliseconds(), 10)
	}
	const decimals = 3
	return strconv.FormatFloat(float64(left)/float64(d.TimeoutUnit), 'f', decimals, 64)
}

// ProvesNotRun reports whether a response proves that the upstream did not run
// the request.
func (d Dialect) ProvesNotRun(resp *http.Response) bool {
	if d.NotRunStatus != 0 && resp.StatusCode == d.NotRunStatus {
		return true
	}
	notRun := resp.Header.Get(d.NotRun)
	return notRun != "" && notRun != "false" && notRun != "0"
}

// leavingValue is the value of the Leaving header of an upstream that leaves.
const leavingValue = "1"

// Statement returns what a response says about its upstream. Where several limits are
// named, the lowest that can be read counts.
func (d Dialect) Statement(resp *http.Response) notice.Statement {
	s := notice.Statement{Limit: notice.Unnamed{}}
	if d.Leaving != "" {
		s.Leaving = slices.Contains(resp.Header.Values(d.Leaving), leavingValue)
	}
	if d.Limit == "" || len(resp.Header.Values(d.Limit)) == 0 {
		return s
	}
	text := strings.Join(resp.Header.Values(d.Limit), ",")
	s.Limit = notice.Unreadable{Text: text}
	for part := range strings.SplitSeq(text, ",") {
		rate, ok := parseRate(strings.TrimSpace(part))
		lowest, named := s.Limit.(notice.Named)
		if ok && (!named || rate < lowest.Rate) {
			s.Limit = notice.Named{Rate: rate}
		}
	}
	return s
}

// WarmupLeft returns for how long the upstream stays cold according to its response to a
// health check. Of several values the largest counts. It reports false if the response does
// not say, or another server has sent it.
func (d Dialect) WarmupLeft(resp *http.Response) (left time.Duration, ok bool) {
	if d.Warmup == "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return 0, false
	}
	values := resp.Header.Values(d.Warmup)
	if len(values) == 0 {
		return 0, d.WarmWithoutHeader && resp.StatusCode == http.StatusOK
	}
	const bits = 32 // milliseconds of weeks
	for _, text := range values {
		ms, err := strconv.ParseUint(strings.TrimSpace(text), 10, bits)
		if err != nil {
			return 0, false
		}
		left, ok = max(left, time.Duration(ms)*time.Millisecond), true
	}
	return left, ok
}

// parseRate parses a decimal number that is not negative.
func parseRate(text string) (rate ident.Rate, ok bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // ParseFloat would take infinity, hexadecimal digits and the like
	}
	n, err := strconv.ParseFloat(text, 64)
	return ident.Rate(n), err == nil
}

// ParentAction returns the action id of the call that a nested call is made for. It reports
// false if the id of the nested call does not name it.
func (d Dialect) ParentAction(nested ident.ActionID) (parent ident.ActionID, ok bool) {
	if d.NestedAction == "" {
		return "", false
	}
	i := strings.LastIndex(string(nested), d.NestedAction)
	if i <= 0 {
		return "", false
	}
	return nested[:i], true
}

// MatchesRequest reports whether resp carries the action id of req. It always
// does if upstreams do not echo the id.
func (d Dialect) MatchesRequest(req *http.Request, resp *http.Response) bool {
	if !d.ActionEchoed {
		return true
	}
	return resp.Header.Get(d.Action) == req.Header.Get(d.Action)
}

// HasRequiredSignature reports whether a response has a signature or needs
// none. Only successful responses need one, and only if the dialect names a
// Signature header.
func (d Dialect) HasRequiredSignature(resp *http.Response) bool {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return d.Signature == "" || !success || resp.Header.Get(d.Signature) != ""
}

// FormatRetryAfter formats a delay for Retry-After in seconds. It rounds up to a
// whole second, or to a millisecond if FractionalRetryAfter is set, so that a
// caller never retries before the delay has passed.
func (d Dialect) FormatRetryAfter(wait time.Duration) string {
	if !d.FractionalRetryAfter {
		return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
	}
	const decimals = 3
	roundedUp := (wait + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(roundedUp.Seconds(), 'f', decimals, 64)
}

// setOrDelete sets a header to a value, which is stored in values, or deletes it.
func setOrDelete(h http.Header, name, value string, values []string) {
	if name == "" {
		return
	}
	if value == "" {
		h.Del(name)
		return
	}
	values[0] = value
	h[http.CanonicalHeaderKey(name)] = values
}
