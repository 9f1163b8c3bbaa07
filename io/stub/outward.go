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

// HeaderDirect is the request header that makes a stub upstream send its child calls
// to other stubs without daemons.
const HeaderDirect = "Stand-In-Direct"

type childCall struct{ method, path string }

// children returns the child calls of a call to path.
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

// propagatedHeaders are the request headers that child calls inherit: the trace
// context, the remaining time and HeaderDirect.
var propagatedHeaders = []string{"Traceparent", "Tracestate", "Request-Timeout", HeaderDirect}

// callChild makes a child call and returns its status, or 502 if there is no complete
// response.
func (s *Stub) callChild(r *http.Request, c childCall) (status int) {
	host := s.opt.Daemon
	if r.Header.Get(HeaderDirect) != "" {
		host = s.directHost(c.path)
	}
	req, err := http.NewRequestWithContext(r.Context(), c.method, "http://"+host+c.path, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	for _, name := range propagatedHeaders {
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

// directHost returns the address of the stub upstream for a path, or "" if none is
// configured.
func (s *Stub) directHost(path string) string {
	for _, text := range s.opt.Direct {
		prefix, address, _ := strings.Cut(text, "=")
		if strings.HasPrefix(path, prefix) {
			return address
		}
	}
	return ""
}

// renewAnnouncement announces the upstream and renews the announcement until ctx is
// done.
func (s *Stub) renewAnnouncement(ctx context.Context) {
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
		s.sendToDaemon(http.MethodPut, proxy.UpstreamPath, body)
	}
}

// deregister drains the upstream, waits for open calls and deletes the announcement, so
// that no call is sent to a closed listener.
func (s *Stub) deregister() {
	s.sendToDaemon(http.MethodPost, proxy.UpstreamPath+"/drain", nil)
	s.awaitIdle()
	s.sendToDaemon(http.MethodDelete, proxy.UpstreamPath, nil)
}

// awaitIdle waits until no call is open, for at most 5 s. It waits for at least 50 ms,
// so that daemons learn of the drain.
func (s *Stub) awaitIdle() {
	const interval, maxChecks = 50 * time.Millisecond, 100
	for range maxChecks {
		time.Sleep(interval)
		s.mu.Lock()
		openCalls := s.openCalls
		s.mu.Unlock()
		if openCalls == 0 {
			return
		}
	}
}

// sendToDaemon sends a request to the daemon on this VM. Errors are ignored:
// announcements are renewed periodically and expire without renewal.
func (s *Stub) sendToDaemon(method, path string, body []byte) {
	if s.opt.Daemon == "" {
		return
	}
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
