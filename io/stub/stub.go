// Package stub implements stub upstreams for tests, trials and measurements. A stub
// has slots, random service times, child calls and drain like a real upstream, and
// injects faults on request.
//
// # Usage
//
//	s := stub.New(stub.Options{Service: "katalog", Slots: 20, MeanServiceTime: 5 * time.Millisecond, ...})
//	err := s.Run(ctx, listener)
//
// The stub announces itself to the daemon on its VM and propagates the trace context
// to its child calls, as any upstream should. GET /-/ledger returns the number of runs
// of each action; PUT /-/faults sets the injected faults at run time.
package stub

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/io/timer"
)

// Options configures a stub upstream.
type Options struct {
	Service  ident.Service
	Upstream ident.Upstream
	Address  string
	// Daemon is the local address of the daemon on this VM, or empty.
	Daemon string
	Slots  int
	// MaxOpenCalls limits the number of open calls, running or queued; further calls
	// are shed with status 503. Zero means no limit.
	MaxOpenCalls int
	// MeanServiceTime is the mean service time. Half of it is constant, the other half
	// is exponentially distributed.
	MeanServiceTime time.Duration
	// Warmup is the time after the start in which service times are multiplied by
	// WarmupFactor.
	Warmup       time.Duration
	WarmupFactor float64
	// Calls are the child calls as "PREFIX METHOD PATH": a call whose path has the
	// prefix causes a call of METHOD and PATH.
	Calls []string
	// Direct lists the destinations of child calls that bypass the daemons, as
	// "PREFIX=IP:port".
	Direct []string
	// PadBytes is the size of the padding in each response.
	PadBytes int
	Seed     uint64
}

// Faults are the faults that a stub injects. Shares are probabilities from 0 to 1.
type Faults struct {
	// Slow is a factor on service times; zero has no effect.
	Slow float64 `json:"slow"`
	// Shed is the share of calls that are rejected with status 503 and the header that
	// says that they have not run.
	Shed float64 `json:"shed"`
	// Fail is the share of calls that get status 500 after they ran.
	Fail float64 `json:"fail"`
	// Truncate is the share of responses that end in the middle of the body.
	Truncate float64 `json:"truncate"`
	// Silent is the share of calls that get no response.
	Silent float64 `json:"silent"`
	// CrashOn makes the process exit at a call whose path contains the text.
	CrashOn string `json:"crash_on"`
}

// Reply is the body of a successful response.
type Reply struct {
	Service  ident.Service  `json:"service"`
	Upstream ident.Upstream `json:"upstream"`
	Path     string         `json:"path"`
	Action   string         `json:"action,omitempty"`
	Children []int          `json:"children,omitempty"`
	Pad      string         `json:"pad,omitempty"`
}

// Stub is a stub upstream.
type Stub struct {
	opt     Options
	slots   chan struct{}
	started time.Time
	client  *http.Client
	pad     string
	exit    func(code int)

	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	openCalls int
	peakCalls int
	runs      map[string]int
	served    int
}

// New returns a stub; exit ends the process for the fault CrashOn.
func New(opt Options, exit func(code int)) *Stub {
	const maxIdleConns = 256
	return &Stub{
		opt:    opt,
		slots:  make(chan struct{}, opt.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
		pad:    strings.Repeat("x", opt.PadBytes),
		exit:   exit,
		rng:    rand.New(rand.NewPCG(opt.Seed, 1)),
		runs:   map[string]int{},
	}
}

// Run announces the upstream and serves until ctx is done, then drains, deregisters and
// shuts down gracefully.
func (s *Stub) Run(ctx context.Context, ln net.Listener) (err error) {
	defer fault.Note(&err, "run stub upstream %s", s.opt.Upstream)
	s.started = time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ledger", s.ledger)
	mux.HandleFunc("PUT /-/faults", s.setFaults)
	mux.HandleFunc("GET /-/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /-/load", s.load)
	mux.HandleFunc("/", s.serve)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	s.renewAnnouncement(ctx)
	s.deregister()
	stopCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		return err
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Stub) serve(w http.ResponseWriter, r *http.Request) {
	f, shed := s.beginCall()
	defer s.endCall()
	if shed {
		w.Header().Set("Chicorymast-Not-Run", "true")
		http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
		return
	}
	if f.CrashOn != "" && strings.Contains(r.URL.Path, f.CrashOn) {
		s.exit(3)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.work(w, r, f)
}

func (s *Stub) work(w http.ResponseWriter, r *http.Request, f Faults) {
	s.recordRun(r)
	if !timer.Sleep(r.Context(), s.serviceTime(f)) {
		return
	}
	reply := Reply{Service: s.opt.Service, Upstream: s.opt.Upstream, Path: r.URL.Path, Action: r.Header.Get("Idempotency-Key"), Pad: s.pad}
	for _, child := range s.children(r.URL.Path) {
		status := s.callChild(r, child)
		reply.Children = append(reply.Children, status)
		if status != http.StatusOK {
			http.Error(w, fmt.Sprintf("child call answered %d", status), http.StatusBadGateway)
			return
		}
	}
	s.respond(w, r, reply, f)
}

// respond sends the reply or injects a fault instead.
func (s *Stub) respond(w http.ResponseWriter, r *http.Request, reply Reply, f Faults) {
	if s.randomBool(f.Silent) {
		<-r.Context().Done()
		return
	}
	if s.randomBool(f.Fail) {
		http.Error(w, "failed after it ran", http.StatusInternalServerError)
		return
	}
	data, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if s.randomBool(f.Truncate) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// beginCall counts an open call and decides whether it is shed.
func (s *Stub) beginCall() (f Faults, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls++
	s.peakCalls = max(s.peakCalls, s.openCalls)
	over := s.opt.MaxOpenCalls > 0 && s.openCalls > s.opt.MaxOpenCalls
	return s.faults, over || s.rng.Float64() < s.faults.Shed
}

func (s *Stub) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls--
}

func (s *Stub) recordRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if action := r.Header.Get("Idempotency-Key"); action != "" {
		s.runs[action+" "+r.URL.Path]++
	}
}

// randomBool returns true with the probability p.
func (s *Stub) randomBool(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *Stub) serviceTime(f Faults) time.Duration {
	s.mu.Lock()
	x := s.rng.ExpFloat64()
	s.mu.Unlock()
	const constant, exponential = 0.5, 0.5 // shares of the mean service time
	t := float64(s.opt.MeanServiceTime) * (constant + exponential*min(x, 6))
	if f.Slow > 0 {
		t *= f.Slow
	}
	if s.opt.WarmupFactor > 1 && time.Since(s.started) < s.opt.Warmup {
		t *= s.opt.WarmupFactor
	}
	return time.Duration(t)
}

func (s *Stub) ledger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Ledger{Served: s.served, Peak: s.peakCalls, Runs: s.runs})
}

// Ledger is the record of the calls that a stub ran. Runs is the number of runs by
// action and path.
type Ledger struct {
	Served int `json:"served"`
	// Peak is the highest number of calls that were open at once.
	Peak int            `json:"peak"`
	Runs map[string]int `json:"runs"`
}

func (s *Stub) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Stub) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"slots":%d}`+"\n", s.openCalls, s.opt.Slots)
}
