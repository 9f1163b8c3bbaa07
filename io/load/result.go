package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CallResult is the final result of a call with all its retries.
type CallResult struct {
	Status   int
	Outcome  string
	Success  bool
	NotRun   bool
	Attempts int
	Latency  time.Duration
	// Conforming is set when the call conforms to the rate and burst of its
	// workspace.
	Conforming bool
	// LedgerKey identifies the call in the ledgers of the stub upstreams.
	LedgerKey string
}

// Result is the aggregated result of a run.
type Result struct {
	mu      sync.Mutex
	started time.Time
	Seconds float64                 `json:"seconds"`
	Streams map[string]*StreamStats `json:"streams"`
	Total   *StreamStats            `json:"total"`
	// Timeline has the counts for each second of the run; calls count in the second
	// in which they were due.
	Timeline []Second `json:"timeline"`
	// NotRun lists the ledger keys of non-idempotent calls with a single attempt
	// whose response said that they had not run.
	NotRun []string `json:"not_run,omitempty"`
}

// StreamStats is the aggregated result of a stream.
type StreamStats struct {
	Workspace   string         `json:"workspace"`
	Offered     int            `json:"offered"`
	Successes   int            `json:"whole"`
	Attempts    int            `json:"attempts"`
	MaxAttempts int            `json:"max_tries"`
	Outcomes    map[string]int `json:"outcomes"`
	// Conforming counts the calls that conform to the grant, ConformingSuccesses
	// those of them that succeeded, and WrongfulRefusals those of them that were
	// refused as over the rate.
	Conforming          int     `json:"inside"`
	ConformingSuccesses int     `json:"inside_whole"`
	WrongfulRefusals    int     `json:"wrongful"`
	P50Ms               float64 `json:"p50_ms"`
	P90Ms               float64 `json:"p90_ms"`
	P99Ms               float64 `json:"p99_ms"`
	hist                *hdrhistogram.Histogram
}

// Second has the counts for one second of the run. Failures are all calls that did
// not succeed, for whatever reason.
type Second struct {
	Offered   int `json:"offered"`
	Successes int `json:"whole"`
	Failures  int `json:"refused"`
}

func newResult(p Plan) *Result {
	r := &Result{Streams: map[string]*StreamStats{}, Total: newStats("")}
	for _, s := range p.Streams {
		r.Streams[s.Name] = newStats(s.Workspace)
	}
	r.started = time.Now()
	return r
}

func newStats(workspace string) *StreamStats {
	const maxMicros, digits = int64(60 * time.Second / time.Microsecond), 3
	return &StreamStats{Workspace: workspace, Outcomes: map[string]int{}, hist: hdrhistogram.New(1, maxMicros, digits)}
}

func (r *Result) add(s Stream, due time.Time, out CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Streams[s.Name].add(out)
	r.Total.add(out)
	if out.NotRun && out.Attempts == 1 && !s.Idempotent {
		r.NotRun = append(r.NotRun, out.LedgerKey)
	}
	second := int(due.Sub(r.started) / time.Second)
	for len(r.Timeline) <= second {
		r.Timeline = append(r.Timeline, Second{})
	}
	r.Timeline[second].Offered++
	if out.Success {
		r.Timeline[second].Successes++
	} else {
		r.Timeline[second].Failures++
	}
}

func (s *StreamStats) add(out CallResult) {
	s.Offered++
	s.Attempts += out.Attempts
	s.MaxAttempts = max(s.MaxAttempts, out.Attempts)
	s.Outcomes[out.Outcome]++
	if out.Conforming {
		s.Conforming++
	}
	if out.Conforming && out.Success {
		s.ConformingSuccesses++
	}
	if out.Conforming && out.Outcome == "over_rate" {
		s.WrongfulRefusals++
	}
	if out.Success {
		s.Successes++
		_ = s.hist.RecordValue(max(1, out.Latency.Microseconds())) // values above the maximum are not recorded
	}
}

func (r *Result) finish(duration time.Duration) {
	r.Seconds = duration.Seconds()
	r.Total.finish()
	for _, s := range r.Streams {
		s.finish()
	}
}

func (s *StreamStats) finish() {
	ms := func(percentile float64) float64 { return float64(s.hist.ValueAtQuantile(percentile)) / 1000 }
	s.P50Ms, s.P90Ms, s.P99Ms = ms(50), ms(90), ms(99)
}
