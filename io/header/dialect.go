package header

import (
	"net/http"
	"strconv"
	"time"

	"chicorymast/core/ident"
)

// Dialect says which headers callers and upstreams use. An empty name means
// that there is no such header.
type Dialect struct {
	// KeyScheme is that of the Authorization header with a caller's key.
	KeyScheme string
	// Action carries the id of a request. With ActionEchoed, upstreams repeat
	// it in their answers; one with another id belongs to another request.
	Action       string
	ActionEchoed bool
	// Timeout carries the time that is left, as a number of TimeoutUnit.
	Timeout     string
	TimeoutUnit time.Duration
	// Workspace, Caller and Expect are set for upstreams: whose key came with
	// the call, the service on whose VM it began, the upstream it is meant for.
	Workspace      string
	Caller         string
	TargetUpstream string
	// NotRun is set by an upstream that proves that it ran nothing.
	NotRun string
	// NotRunStatus proves the same by itself; zero is none.
	NotRunStatus int
	// Signature must come with every success of an upstream.
	Signature string
	// PropagateTrace passes the W3C trace context on to upstreams, and Forwarded the
	// caller's address.
	PropagateTrace bool
	ForwardedFor   bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the project's own dialect; docs/CALLERS.md describes it.
func DefaultDialect() Dialect {
	return Dialect{
		KeyScheme: "Bearer", Action: IdempotencyKey, Timeout: RequestTimeout, TimeoutUnit: time.Second,
		NotRun: NotRun, PropagateTrace: true, ForwardedFor: true,
	}
}

// TimeLeft returns how long a caller waits, if it says so.
func (d Dialect) TimeLeft(h http.Header) (left time.Duration, ok bool) {
	n, err := strconv.ParseFloat(h.Get(d.Timeout), 64)
	if err != nil || !(n > 0) {
		return 0, false
	}
	const longest = 24 * time.Hour
	if n > float64(longest/d.TimeoutUnit) {
		return longest, true
	}
	return time.Duration(n * float64(d.TimeoutUnit)), true
}

// UpstreamHeaders is what an upstream is told of a call.
type UpstreamHeaders struct {
	TimeLeft  time.Duration
	Workspace ident.Workspace
	Caller    ident.Service
	Target    ident.Upstream
}

// SetUpstream sets what an upstream is told, whatever the caller sent.
func (d Dialect) SetUpstream(h http.Header, u UpstreamHeaders) {
	h.Set(d.Timeout, d.formatLeft(u.TimeLeft))
	set(h, d.Workspace, string(u.Workspace))
	set(h, d.Caller, string(u.Caller))
	set(h, d.TargetUpstream, string(u.Target))
}

func (d Dialect) formatLeft(left time.Duration) string {
	if d.TimeoutUnit == time.Millisecond {
		return strconv.FormatInt(left.Milliseconds(), 10)
	}
	const decimals = 3
	return strconv.FormatFloat(float64(left)/float64(d.TimeoutUnit), 'f', decimals, 64)
}

// ProvesNotRun reports whether an upstream's answer proves that it ran nothing.
func (d Dialect) ProvesNotRun(r *http.Response) bool {
	if d.NotRunStatus != 0 && r.StatusCode == d.NotRunStatus {
		return true
	}
	proof := r.Header.Get(d.NotRun)
	return proof != "" && proof != "false" && proof != "0"
}

// MatchesRequest reports whether an upstream's answer is the one to a request.
func (d Dialect) MatchesRequest(q *http.Request, a *http.Response) bool {
	if !d.ActionEchoed {
		return true
	}
	return a.Header.Get(d.Action) == q.Header.Get(d.Action)
}

// HasRequiredSignature reports whether an answer has the signature that a success needs.
func (d Dialect) HasRequiredSignature(a *http.Response) bool {
	success := a.StatusCode >= http.StatusOK && a.StatusCode < http.StatusMultipleChoices
	return d.Signature == "" || !success || a.Header.Get(d.Signature) != ""
}

// FormatRetryAfter formats a wait for callers; it never says less than the wait.
func (d Dialect) FormatRetryAfter(wait time.Duration) string {
	if !d.FractionalRetryAfter {
		return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
	}
	const decimals = 3
	up := (wait + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(up.Seconds(), 'f', decimals, 64)
}

func set(h http.Header, name, value string) {
	if name == "" {
		return
	}
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}
