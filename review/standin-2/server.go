package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is an application server on a sidecar machine. It follows PROTOCOL.md: it announces
// itself to the daemon beside it, rejects what is meant for another instance, and signs its
// answers.
type server struct {
	rec     *record
	machine *machine
	id      string
	slots   int
	work    time.Duration
	born    int64

	// crashPath is the path of the request that crashes the server, empty for none.
	crashPath string

	mu       sync.Mutex
	sequence int
	// ran lists the requests that the server began to work on.
	ran  []run
	srv  *http.Server
	stop chan struct{}
	// down is set while the process has crashed, starts counts its starts, and conns are its
	// open connections.
	down   bool
	starts int
	conns  map[net.Conn]bool
}

// run is a request that a server has begun to run.
type run struct {
	at                time.Time
	attempt, instance string
}

// startServers starts a server on each sidecar machine.
func (f *fleet) startServers() (servers []*server, err error) {
	for _, m := range f.sidecars {
		s, err := startServer(f.rec, m, "i-"+m.name, 64, 5*time.Millisecond)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func closeServers(servers []*server) {
	for _, s := range servers {
		s.close()
	}
}

func startServer(rec *record, m *machine, id string, slots int, work time.Duration) (*server, error) {
	s := &server{rec: rec, machine: m, id: id, slots: slots, work: work, stop: make(chan struct{})}
	if err := s.listen(); err != nil {
		return nil, err
	}
	go s.announce()
	return s, nil
}

// listen starts a process of the server: a new incarnation with an id of its own.
func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.machine.ip+":"+appPort)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	if s.starts > 1 {
		s.id = fmt.Sprintf("i-%s-%d", s.machine.name, s.starts)
	}
	s.born, s.sequence, s.down, s.conns = time.Now().UnixMilli(), 0, false, map[net.Conn]bool{}
	s.srv = &http.Server{Handler: s, ConnState: s.track}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = true
	}
	if state == http.StateClosed {
		delete(s.conns, c)
	}
}

// announce sends a heartbeat every 1.5 s, and sooner after one without an acknowledgement.
func (s *server) announce() {
	for {
		s.mu.Lock()
		s.sequence++
		down, id := s.down, s.id
		body, _ := json.Marshal(map[string]any{
			"born": s.born, "address": s.machine.ip + ":" + appPort,
			"info":   map[string]any{"service": s.machine.service, "zone": s.machine.zone, "version": "v1", "slots": s.slots},
			"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold_remaining": "0ms"},
		})
		s.mu.Unlock()
		status := 0
		if !down {
			status, _ = call(http.MethodPut, s.machine.ip+":"+controlPort, "/instances/"+id, body)
		}
		wait := 1500 * time.Millisecond
		if status != http.StatusOK {
			wait = 200 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-s.stop:
			return
		}
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, crashPath := s.id, s.crashPath
	s.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.ran = append(s.ran, run{at: time.Now(), attempt: attempt, instance: id})
	s.mu.Unlock()
	s.rec.note("%s runs at %s", attempt, id)
	time.Sleep(s.work)
	if crashPath != "" && r.URL.Path == crashPath {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s", id, attempt))
	_, _ = io.WriteString(w, "done\n")
}

// runs returns what the server has run.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.ran...)
}

func (s *server) close() {
	close(s.stop)
	s.mu.Lock()
	s.down = true
	srv := s.srv
	s.mu.Unlock()
	_ = srv.Close()
}
