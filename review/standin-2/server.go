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

	mu       sync.Mutex
	sequence int
	// ran lists the requests that the server began to work on.
	ran  []run
	srv  *http.Server
	stop chan struct{}
}

// run is a request that a server has run.
type run struct {
	at               time.Time
	attempt, tenant  string
	method, path     string
	caller, instance string
}

func startServer(rec *record, m *machine, id string, slots int, work time.Duration) (*server, error) {
	s := &server{rec: rec, machine: m, id: id, slots: slots, work: work, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	ln, err := net.Listen("tcp", m.ip+":"+appPort)
	if err != nil {
		return nil, err
	}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	go s.announce()
	return s, nil
}

// announce sends a heartbeat every 1.5 s, and sooner after one without an acknowledgement.
func (s *server) announce() {
	for {
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"born": s.born, "address": s.machine.ip + ":" + appPort,
			"info":   map[string]any{"service": s.machine.service, "zone": s.machine.zone, "version": "v1", "slots": s.slots},
			"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold_remaining": "0ms"},
		})
		status, _ := call(http.MethodPut, s.machine.ip+":"+controlPort, "/instances/"+s.id, body)
		wait := 1500 * time.Millisecond
		if status != http.StatusOK {
			wait = 500 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-s.stop:
			return
		}
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
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
	s.ran = append(s.ran, run{
		at: time.Now(), attempt: attempt, tenant: r.Header.Get("X-Tenant"), method: r.Method, path: r.URL.RequestURI(),
		caller: r.Header.Get("X-Caller-Service"), instance: s.id,
	})
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s", s.id, attempt))
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
	_ = s.srv.Close()
}
