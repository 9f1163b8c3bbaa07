package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chicorymast/io/proxy"
	"chicorymast/io/trial"

	"gotest.tools/v3/assert"
)

const plainResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// upstream is a scripted upstream: it answers an ordinary request at once, and one whose path
// holds the word crowd with a text that it does not complete until it is released.
type upstream struct {
	t        testing.TB
	released chan struct{}
	// partial is what the crowd's requests get.
	partial string
	ln      net.Listener

	mu sync.Mutex
	// ran holds the paths of the crowd's requests that have arrived.
	ran map[string]bool
}

func startUpstream(t testing.TB, d *trial.Daemon) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", d.Stub.Address)
	assert.NilError(t, err)
	u := &upstream{t: t, released: make(chan struct{}), ln: ln, ran: map[string]bool{}}
	go u.accept()
	done := make(chan struct{})
	go u.announce(d, done)
	t.Cleanup(func() {
		close(done)
		_ = ln.Close()
	})
	return u
}

// announce announces the upstream until the test has ended.
func (u *upstream) announce(d *trial.Daemon, done chan struct{}) {
	const interval, timeout = 500 * time.Millisecond, 2 * time.Second
	body, err := json.Marshal(proxy.Announcement{
		Service: d.Stub.Service.Name, Upstream: d.Stub.Upstream, Address: d.Stub.Address, Slots: d.Stub.Service.Slots,
	})
	assert.Check(u.t, err)
	client := &http.Client{Timeout: timeout}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		req, err := http.NewRequest(http.MethodPut, "http://"+d.Addresses["local"]+proxy.UpstreamPath, bytes.NewReader(body))
		if err == nil {
			if resp, err := client.Do(req); err == nil { // announced again at the next tick
				_ = resp.Body.Close()
			}
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (u *upstream) accept() {
	for {
		conn, err := u.ln.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if strings.Contains(req.URL.Path, "crowd") {
			u.mu.Lock()
			u.ran[req.URL.Path] = true
			u.mu.Unlock()
			if _, err := conn.Write([]byte(u.partial)); err != nil {
				return
			}
			<-u.released
			if u.partial != "" {
				return
			}
		}
		if _, err := r.Discard(int(max(0, req.ContentLength))); err != nil {
			return
		}
		if _, err := conn.Write([]byte(plainResponse)); err != nil || req.ContentLength < 0 {
			return
		}
	}
}

func (u *upstream) release() { close(u.released) }
