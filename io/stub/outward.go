package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"chicorymast/io/proxy"
)

// HeaderDirect makes a stand-in call its children without daemons.
const HeaderDirect = "Stand-In-Direct"

type childCall struct{ method, path string }

// children returns the calls that a path causes.
func (s *Stub) children(path string) []childCall {
	var calls []childCall
	for _, text := range s.opt.Calls {
		fields := strings.Fields(text)
		if len(fields) == 3 && strings.HasPrefix(path, fields[0]) {
			calls = append(calls, childCall{method: fields[1], path: fields[2]})
		}
	}
	return calls
}

// passedOn are the headers of the trace context and of the time limit.
var passedOn = []string{"Traceparent", "Tracestate", "Request-Timeout", HeaderDirect}

func (s *Stub) callChild(r *http.Request, c childCall) (status int) {
	host := s.opt.Daemon
	if r.Header.Get(HeaderDirect) != "" {
		host = s.directHost(c.path)
	}
	req, err := http.NewRequestWithContext(r.Context(), c.method, "http://"+host+c.path, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	for _, name := range passedOn {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if action := r.Header.Get("Idempotency-Key"); action != "" && c.method != http.MethodGet {
		req.Header["idempotency-key"] = []string{action}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}

func (s *Stub) directHost(path string) string {
	for _, text := range s.opt.Direct {
		prefix, address, _ := strings.Cut(text, "=")
		if strings.HasPrefix(path, prefix) {
			return address
		}
	}
	return ""
}

// keepAnnounced renews the announcement until ctx ends.
func (s *Stub) keepAnnounced(ctx context.Context) {
	const interval = 500 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.announce()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Stub) announce() {
	body, err := json.Marshal(proxy.Announcement{
		Service: s.opt.Service, Upstream: s.opt.Upstream, Address: s.opt.Address, Slots: s.opt.Slots,
		HealthPath: "/-/health", LoadPath: "/-/load",
	})
	if err == nil {
		s.tell(http.MethodPut, proxy.UpstreamPath, body)
	}
}

// leave drains first, so that no call is sent to a closed listener.
func (s *Stub) leave() {
	s.tell(http.MethodPost, proxy.UpstreamPath+"/drain", nil)
	s.awaitIdle()
	s.tell(http.MethodDelete, proxy.UpstreamPath, nil)
}

// awaitIdle gives the drain time to be known and running calls time to end.
func (s *Stub) awaitIdle() {
	const step, most = 50 * time.Millisecond, 100
	for range most {
		time.Sleep(step)
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

func (s *Stub) tell(method, path string, body []byte) {
	if s.opt.Daemon == "" {
		return
	}
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.opt.Daemon+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
