package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CallResult is what one customer got in the end.
type CallResult struct {
	Status   int
	Outcome  string
	Success  bool
	NotRun   bool
	Attempts int
	Latency  time.Duration
	// Conforming is set when the workspace's rate and burst allowed the call.
	Conforming bool
	// LedgerKey names the call in the stand-ins' ledgers.
	LedgerKey string
}

// Result is what all customers got.
type Result struct {
	mu      sync.Mutex
	began   time.Time
	Seconds float64                 `json:"seconds"`
	Streams map[string]*StreamStats `json:"streams"`
	Total   *StreamStats            `json:"total"`
	// Timeline counts calls by the second in which they were due.
	Timeline []Second `json:"timeline"`
	// NotRun lists the calls of which the last answer said that they had not
	// run, as the stand-ins' ledgers name them.
	NotRun []string `json:"not_run,omitempty"`
}

// StreamStats sums up one stream.
type StreamStats struct {
	Workspace   string         `json:"workspace"`
	Offered     int            `json:"offered"`
	Successes   int            `json:"whole"`
	Attempts    int            `json:"attempts"`
	MaxAttempts int            `json:"max_tries"`
	Outcomes    map[string]int `json:"outcomes"`
	// Conforming counts the calls inside the rate, InsideWhole those of them that
	// were answered whole, Wrongful those refused for the rate.
	Conforming          int     `json:"inside"`
	ConformingSuccesses int     `json:"inside_whole"`
	WrongfulRefusals    int     `json:"wrongful"`
	P50Ms               float64 `json:"p50_ms"`
	P90Ms               float64 `json:"p90_ms"`
	P99Ms               float64 `json:"p99_ms"`
	hist                *hdrhistogram.Histogram
}

// Second is one second of the run.
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
	r.began = time.Now()
	return r
}

func newStats(workspace string) *StreamStats {
	const longest, digits = int64(60 * time.Second / time.Microsecond), 3
	return &StreamStats{Workspace: workspace, Outcomes: map[string]int{}, hist: hdrhistogram.New(1, longest, digits)}
}

func (r *Result) add(s Stream, due time.Time, out CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Streams[s.Name].add(out)
	r.Total.add(out)
	if out.NotRun && out.Attempts == 1 && !s.Idempotent {
		r.NotRun = append(r.NotRun, out.LedgerKey)
	}
	second := int(due.Sub(r.began) / time.Second)
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
		_ = s.hist.RecordValue(max(1, out.Latency.Microseconds())) // above a minute counts as a minute
	}
}

func (r *Result) finish(took time.Duration) {
	r.Seconds = took.Seconds()
	r.Total.finish()
	for _, s := range r.Streams {
		s.finish()
	}
}

func (s *StreamStats) finish() {
	ms := func(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }
	s.P50Ms, s.P90Ms, s.P99Ms = ms(50), ms(90), ms(99)
}
