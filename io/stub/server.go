package stub

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/header"
)

// ServerOptions configures a stub server that speaks the dialect of a hosting
// platform and does not propagate a trace context.
type ServerOptions struct {
	Dialect  header.Dialect
	Service  ident.Service
	Upstream ident.Upstream
	Slots    int
	// ServiceTime is the duration of each run without its child calls.
	ServiceTime time.Duration
	// Calls are the child calls of each run, made one after another.
	Calls []ChildCall
	// Outbound is the address of the daemon that takes the child calls.
	Outbound string
	Client   *http.Client
}

// ChildCall is a call of a stub server to another service.
type ChildCall struct{ Host, Path string }

// Server is a stub server on a hosting platform. It counts the runs of each request
// and records requests that break the rules of the dialect.
type Server struct {
	opt   ServerOptions
	slots chan struct{}

	mu sync.Mutex
	// runs is the number of runs by request id.
	runs       map[string]int
	violations []string
	// hold blocks runs until their callers disconnect; held is the number of runs
	// that are blocked.
	hold bool
	held int
	// limit and leaving are what the server says about itself in its responses.
	limit   string
	leaving bool
	// coldUntil is the end of its cold time.
	coldUntil time.Time
}

// HealthPath is the path of the health check of stub servers.
const HealthPath = "/health"

// NewServer returns a stub server.
func NewServer(opt ServerOptions) *Server {
	return &Server{opt: opt, slots: make(chan struct{}, opt.Slots), runs: map[string]int{}}
}

// Hold sets whether new runs block until their callers disconnect.
func (s *Server) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = on
}

// Say sets what the server says about itself in its responses from now on: the limit
// that it names, empty for none, and whether it leaves.
func (s *Server) Say(limit string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.leaving = limit, leaving
}

func (s *Server) setStatement(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		h.Set(s.opt.Dialect.Limit, s.limit)
	}
	if s.leaving {
		h.Set(s.opt.Dialect.Leaving, "1")
	}
}

// HeldRuns returns the number of runs that are blocked until their callers disconnect.
func (s *Server) HeldRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// awaitDisconnect blocks until the caller disconnects if runs are to be held.
func (s *Server) awaitDisconnect(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hold {
		return
	}
	s.held++
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.held--
}

// Runs returns the number of runs of a request and of all requests.
func (s *Server) Runs(id string) (runs, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		total += n
	}
	return s.runs[id], total
}

// Violations lists the requests that broke the rules of the dialect.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// TurnCold makes the server say for a time that it is cold if its health is checked.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// checkHealth responds with the time for which the server is cold.
func (s *Server) checkHealth(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(s.opt.Dialect.Warmup, strconv.FormatInt(max(0, time.Until(s.coldUntil)).Milliseconds(), 10))
}

// ServeHTTP rejects or runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := s.opt.Dialect
	if r.URL.Path == HealthPath {
		s.checkHealth(w)
		return
	}
	id := r.Header.Get(d.Action)
	w.Header().Set(d.Action, id)
	s.setStatement(w.Header())
	if expected := r.Header.Get(d.TargetUpstream); expected != "" && expected != string(s.opt.Upstream) {
		w.WriteHeader(d.NotRunStatus)
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, id)
}

// reject responds that the request has not run.
func (s *Server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(s.opt.Dialect.NotRun, "1")
	w.WriteHeader(status)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, id string) {
	s.recordRun(r, id)
	timeLeft, _ := s.opt.Dialect.TimeLeft(r.Header)
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected while sending the body
	}
	status := s.work(ctx, id)
	w.Header().Set(s.opt.Dialect.Signature, Signature(s.opt.Upstream, id))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %d %s %s", r.Method, r.URL.RequestURI(), len(body),
		r.Header.Get(s.opt.Dialect.Workspace), r.Header.Get(s.opt.Dialect.Caller))
}

// Signature returns the signature of a stub server's response to a request.
func Signature(u ident.Upstream, id string) string {
	return string(u) + "." + id
}

// recordRun counts a run and records what is wrong with its request.
func (s *Server) recordRun(r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if r.Header.Get("Authorization") != "" {
		s.violations = append(s.violations, "a key was passed on with "+id)
	}
	if _, ok := s.opt.Dialect.TimeLeft(r.Header); !ok {
		s.violations = append(s.violations, "no time left with "+id)
	}
	for name := range r.Header {
		if strings.HasPrefix(name, header.Prefix) {
			s.violations = append(s.violations, name+" was passed on with "+id)
		}
	}
}

func (s *Server) work(ctx context.Context, id string) (status int) {
	s.awaitDisconnect(ctx)
	timer := time.NewTimer(s.opt.ServiceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
	for i, c := range s.opt.Calls {
		if !s.call(ctx, c, id+"-"+string(s.opt.Service)+strconv.Itoa(i)) {
			return http.StatusInternalServerError
		}
	}
	return http.StatusOK
}

func (s *Server) call(ctx context.Context, c ChildCall, id string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.opt.Outbound+c.Path, nil)
	if err != nil {
		return false
	}
	req.Host = c.Host
	req.Header.Set(s.opt.Dialect.Action, id)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(s.opt.Dialect.Timeout, strconv.FormatInt(int64(time.Until(deadline)/s.opt.Dialect.TimeoutUnit), 10))
	}
	resp, err := s.opt.Client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
