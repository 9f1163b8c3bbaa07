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

// ServerOptions describes a stand-in server of a platform, which speaks the
// platform's dialect and does not pass a trace context on.
type ServerOptions struct {
	Dialect  header.Dialect
	Service  ident.Service
	Upstream ident.Upstream
	Slots    int
	// ServiceTime is how long each run takes, child calls besides.
	ServiceTime time.Duration
	// Calls are made one after the other by each run.
	Calls []ChildCall
	// Outbound is the address of the daemon for the server's own calls.
	Outbound string
	Client   *http.Client
}

// ChildCall is a call of a server to another service.
type ChildCall struct{ Host, Path string }

// Server is a stand-in server of a platform. It keeps count of what it ran and
// of everything that it should not have been sent.
type Server struct {
	opt   ServerOptions
	slots chan struct{}

	mu sync.Mutex
	// runs counts the runs of each request id.
	runs   map[string]int
	faults []string
	// hold makes runs last until their callers leave; holding counts them.
	hold    bool
	holding int
}

// NewServer returns a server that has run nothing.
func NewServer(opt ServerOptions) *Server {
	return &Server{opt: opt, slots: make(chan struct{}, opt.Slots), runs: map[string]int{}}
}

// Hold makes runs that begin from now on last until their callers leave.
func (s *Server) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = on
}

// HeldRuns returns how many runs wait for their callers to leave.
func (s *Server) HeldRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}

// held waits for the caller to leave if runs are to be held.
func (s *Server) held(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hold {
		return
	}
	s.holding++
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.holding--
}

// Runs returns how often a request was run, and all runs together.
func (s *Server) Runs(id string) (one, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		all += n
	}
	return s.runs[id], all
}

// Violations lists what should not have come.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.faults...)
}

// ServeHTTP runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := s.opt.Dialect
	id := r.Header.Get(d.Action)
	w.Header().Set(d.Action, id)
	if expected := r.Header.Get(d.TargetUpstream); expected != "" && expected != string(s.opt.Upstream) {
		w.WriteHeader(d.NotRunStatus)
		return
	}
	if id == "" {
		s.shed(w, http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.shed(w, http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, id)
}

func (s *Server) shed(w http.ResponseWriter, status int) {
	w.Header().Set(s.opt.Dialect.NotRun, "1")
	w.WriteHeader(status)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, id string) {
	s.note(r, id)
	left, _ := s.opt.Dialect.TimeLeft(r.Header)
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left in the middle of it
	}
	status := s.work(ctx, id)
	w.Header().Set(s.opt.Dialect.Signature, Signature(s.opt.Upstream, id))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %d %s %s", r.Method, r.URL.RequestURI(), len(body),
		r.Header.Get(s.opt.Dialect.Workspace), r.Header.Get(s.opt.Dialect.Caller))
}

// Signature is what a stand-in server signs its answer to a request with.
func Signature(u ident.Upstream, id string) string {
	return string(u) + "." + id
}

// note counts a run and what is wrong with it.
func (s *Server) note(r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if r.Header.Get("Authorization") != "" {
		s.faults = append(s.faults, "a key was passed on with "+id)
	}
	if _, ok := s.opt.Dialect.TimeLeft(r.Header); !ok {
		s.faults = append(s.faults, "no time left with "+id)
	}
	for name := range r.Header {
		if strings.HasPrefix(name, header.Prefix) {
			s.faults = append(s.faults, name+" was passed on with "+id)
		}
	}
}

func (s *Server) work(ctx context.Context, id string) (status int) {
	s.held(ctx)
	pause := time.NewTimer(s.opt.ServiceTime)
	defer pause.Stop()
	select {
	case <-pause.C:
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
