// Package stub is a small stand-in for the upstreams that the system serves:
// slots, service times, child calls, drain, and the faults that real ones
// have. It serves trials and measurements only.
//
// # Usage
//
//	s := stub.New(stub.Options{Service: "katalog", Slots: 20, MeanServiceTime: 5 * time.Millisecond, ...})
//	err := s.Run(ctx, listener)
//
// The stand-in announces itself to the daemon on its VM and passes the trace
// context on to its child calls, as any upstream should. GET /-/ledger tells
// what it ran for which action; PUT /-/faults sets its faults while it runs.
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
)

// Options describes one stand-in.
type Options struct {
	Service  ident.Service
	Upstream ident.Upstream
	Address  string
	// Daemon is the local address of the daemon on the VM, or empty.
	Daemon string
	Slots  int
	// MaxOpenCalls above this many calls at once are shed with a 503.
	MaxOpenCalls int
	// MeanServiceTime is the mean service time, spread exponentially above half of it.
	MeanServiceTime time.Duration
	// ColdStart is how long the stand-in needs MeanServiceTime times ColdFactor after its start.
	ColdStart  time.Duration
	ColdFactor float64
	// Calls are the child calls: "PREFIX METHOD PATH".
	Calls []string
	// Direct maps "PREFIX=IP:port" for child calls without daemons.
	Direct []string
	// PadBytes is how many bytes each answer carries besides its fields.
	PadBytes int
	Seed     uint64
}

// Faults are what goes wrong at a stand-in at the moment.
type Faults struct {
	// Slow multiplies service times when above zero.
	Slow float64 `json:"slow"`
	// Shed refuses a share of calls with a proved 503.
	Shed float64 `json:"shed"`
	// Fail answers a share of calls with a 500 after they ran.
	Fail float64 `json:"fail"`
	// Truncate cuts a share of answers short.
	Truncate float64 `json:"truncate"`
	// Silent lets a share of calls go without any answer.
	Silent float64 `json:"silent"`
	// CrashOn ends the process when a path contains the text.
	CrashOn string `json:"crash_on"`
}

// Reply is the body of a good answer.
type Reply struct {
	Service  ident.Service  `json:"service"`
	Upstream ident.Upstream `json:"upstream"`
	Path     string         `json:"path"`
	Action   string         `json:"action,omitempty"`
	Children []int          `json:"children,omitempty"`
	Pad      string         `json:"pad,omitempty"`
}

// Stub is one stand-in.
type Stub struct {
	opt    Options
	slots  chan struct{}
	began  time.Time
	client *http.Client
	pad    string
	exit   func(code int)

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	open   int
	peak   int
	runs   map[string]int
	served int
}

// New returns a stand-in; exit is called when it crashes on purpose.
func New(opt Options, exit func(code int)) *Stub {
	const idle = 256
	return &Stub{
		opt:    opt,
		slots:  make(chan struct{}, opt.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, DisableCompression: true}},
		pad:    strings.Repeat("x", opt.PadBytes),
		exit:   exit,
		rng:    rand.New(rand.NewPCG(opt.Seed, 1)),
		runs:   map[string]int{},
	}
}

// Run serves until ctx ends, then drains, leaves and finishes what runs.
func (s *Stub) Run(ctx context.Context, ln net.Listener) (err error) {
	defer fault.Note(&err, "run stand-in %s", s.opt.Upstream)
	s.began = time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ledger", s.ledger)
	mux.HandleFunc("PUT /-/faults", s.setFaults)
	mux.HandleFunc("GET /-/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /-/load", s.load)
	mux.HandleFunc("/", s.serve)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	s.keepAnnounced(ctx)
	s.leave()
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
	f, shed := s.enter()
	defer s.leaveCall()
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
	s.note(r)
	if !sleep(r.Context(), s.serviceTime(f)) {
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
	s.answer(w, r, reply, f)
}

func (s *Stub) answer(w http.ResponseWriter, r *http.Request, reply Reply, f Faults) {
	if s.chance(f.Silent) {
		<-r.Context().Done()
		return
	}
	if s.chance(f.Fail) {
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
	if s.chance(f.Truncate) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// enter counts the call and decides whether it is shed.
func (s *Stub) enter() (f Faults, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.peak = max(s.peak, s.open)
	over := s.opt.MaxOpenCalls > 0 && s.open > s.opt.MaxOpenCalls
	return s.faults, over || s.rng.Float64() < s.faults.Shed
}

func (s *Stub) leaveCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *Stub) note(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if action := r.Header.Get("Idempotency-Key"); action != "" {
		s.runs[action+" "+r.URL.Path]++
	}
}

func (s *Stub) chance(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

func (s *Stub) serviceTime(f Faults) time.Duration {
	s.mu.Lock()
	spread := s.rng.ExpFloat64()
	s.mu.Unlock()
	const floor, tail = 0.5, 0.5
	t := float64(s.opt.MeanServiceTime) * (floor + tail*min(spread, 6))
	if f.Slow > 0 {
		t *= f.Slow
	}
	if s.opt.ColdFactor > 1 && time.Since(s.began) < s.opt.ColdStart {
		t *= s.opt.ColdFactor
	}
	return time.Duration(t)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Stub) ledger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Ledger{Served: s.served, Peak: s.peak, Runs: s.runs})
}

// Ledger says what a stand-in ran.
type Ledger struct {
	Served int `json:"served"`
	// Peak is the most calls that were open at once.
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
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"slots":%d}`+"\n", s.open, s.opt.Slots)
}
