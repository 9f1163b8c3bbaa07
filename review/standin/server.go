package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is the application server of a sidecar machine. It announces itself to the
// daemon beside it and runs requests.
type server struct {
	rec     *record
	machine *machine
	id      string
	ln      net.Listener
	http    *http.Server
	stopped chan struct{}
	// silent is closed when the server sends no more heartbeats, and silenced when
	// none is on its way any more.
	silent, silenced chan struct{}
	born             int64
	// lose says whether the answer to a run is lost; nil loses none.
	lose func(id string) bool

	mu       sync.Mutex
	sequence int
	runs     map[string]int
	// arrivals holds when requests reached the server.
	arrivals []arrival
}

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// serviceTime is how long a run takes.
const serviceTime = 20 * time.Millisecond

func startServer(rec *record, m *machine, lose func(id string) bool) (*server, error) {
	ln, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		rec: rec, machine: m, id: "i-" + m.name, ln: ln, stopped: make(chan struct{}), lose: lose,
		silent: make(chan struct{}), silenced: make(chan struct{}), born: time.Now().UnixMilli(), runs: map[string]int{},
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	go s.announce()
	return s, nil
}

// startServers starts a server on each sidecar machine of a fleet.
func startServers(f *fleet, lose func(id string) bool) (servers []*server, err error) {
	for _, m := range f.machines {
		if m.core {
			continue
		}
		s, err := startServer(f.rec, m, lose)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func stopServers(servers []*server) {
	for _, s := range servers {
		s.stop()
	}
}

func (s *server) stop() {
	close(s.stopped)
	_ = s.http.Close()
}

// announce sends a heartbeat every 1.5 s, and every 200 ms until one was acknowledged.
func (s *server) announce() {
	const interval, retry = 1500 * time.Millisecond, 200 * time.Millisecond
	defer close(s.silenced)
	for {
		wait := interval
		if !s.deliver(s.heartbeat()) {
			wait = retry
		}
		select {
		case <-s.stopped:
			return
		case <-s.silent:
			return
		case <-time.After(wait):
		}
	}
}

// heartbeat returns the next heartbeat.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"born": s.born, "address": s.ln.Addr().String(),
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": 41},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining": "0ms"},
	})
	if err != nil {
		return nil // maps of text and numbers always marshal
	}
	return body
}

// deliver brings a heartbeat to the daemon beside the server.
func (s *server) deliver(heartbeat []byte) (acknowledged bool) {
	return s.call(http.MethodPut, heartbeat)
}

// deregister sends the DELETE of a server that leaves.
func (s *server) deregister() (acknowledged bool) {
	return s.call(http.MethodDelete, nil)
}

func (s *server) call(method string, body []byte) (acknowledged bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + s.machine.address(s.machine.fleet.ports.control) + "/instances/" + s.id
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP runs a request. Where the answer is lost, the connection is reset after the run.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	s.rec.note("%s runs %s, run %d, on the connection from %s", s.id, id, n, r.RemoteAddr)
	time.Sleep(serviceTime)
	if n == 1 && s.lose != nil && s.lose(id) {
		s.reset(w, id)
		return
	}
	w.Header().Set("X-Response-Signature", "stand-in")
	_, _ = fmt.Fprintf(w, "run of %s\n", id)
}

func (s *server) reset(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	s.rec.note("%s has lost its answer to %s: the connection was reset", s.id, id)
}

// counts returns a copy of the runs by request.
func (s *server) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}
