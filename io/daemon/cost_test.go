package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/heap"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// costFleet is two daemons with the settings of deploy/daemon.ini and one scripted upstream
// beside each. The board of each daemon is filled in by hand, so that nothing but calls
// takes processor time. The upstream of the service back is beside the entry.
type costFleet struct {
	entry, peer *Daemon
	// shop is the address of the upstream beside the peer.
	shop string
	key  string
}

func newCostFleet(tb testing.TB) *costFleet {
	tb.Helper()
	f := &costFleet{key: "key-of-the-benchmark"}
	f.entry = newCostDaemon(tb, "entry", "back")
	tb.Cleanup(heap.KeepHeadroom(f.entry.Config().Daemon.HeapHeadroom()))
	f.peer = newCostDaemon(tb, "peer", "shop")
	f.shop = startScripted(tb, f.peer.callers.ln.Addr().String())
	back := startScripted(tb, "")
	entries := []member.Entry{}
	for d, svc := range map[*Daemon]ident.Service{f.entry: "back", f.peer: "shop"} {
		cfg := d.Config().Daemon
		entries = append(entries, costEntry(cfg.VM, cfg.DataCentre, d.listeners[0].ln.Addr().String(), svc))
	}
	fillBoard(f.entry, entries, f.key, back)
	fillBoard(f.peer, entries, f.key, f.shop)
	return f
}

// fillBoard writes what the controllers of a daemon would write.
func fillBoard(d *Daemon, entries []member.Entry, key, upstream string) {
	members := board.NewMembers(entries)
	d.board.Config.Write(board.NewConfig(costState(key), nil))
	d.board.Freshness.Write(&board.Freshness{AsOf: time.Now().Add(24 * time.Hour)})
	d.board.Members.Write(members)
	d.board.Upstream.Write(&board.Upstream{Upstream: *members.ByVM[d.Config().Daemon.VM].Upstream, Address: upstream})
	d.board.Lifecycle.Write(&board.Lifecycle{Phase: board.PhaseRunning})
}

func costState(key string) *state.State {
	st := state.New()
	st.Revision, st.ConfirmedAt = 1, 1
	for _, name := range []ident.Service{"shop", "back"} {
		st.Intent.Services[name] = intent.ServiceSpec{}
	}
	st.Intent.Workspaces["acme"] = intent.WorkspaceSpec{AllRoutes: true, Keys: []ident.KeyDigest{ident.DigestKey(key)}}
	for name, svc := range map[ident.Route]ident.Service{"shop-orders": "shop", "back-stock": "back"} {
		st.Intent.Routes[name] = intent.RouteSpec{
			Host: string(svc) + ".example", Prefix: "/", Service: svc, Idempotent: true, UniqueIDs: true,
			Open: svc == "back", Class: ident.ClassNormal, Timeout: time.Minute,
		}
	}
	return st
}

func costEntry(vm ident.VM, dc ident.DataCentre, peers string, svc ident.Service) member.Entry {
	return member.Entry{
		VM: vm, DataCentre: dc, Phase: member.PhaseUp, Addresses: member.Addresses{Peer: peers}, Upstream: costUpstream(svc),
	}
}

// costSettings returns the settings of deploy/daemon.ini with free ports.
func costSettings(tb testing.TB, vm, svc string) config.Config {
	tb.Helper()
	const anyPort = "127.0.0.1:0"
	text := fillTemplate(tb, "daemon.ini", map[string]string{"{{node}}": vm, "{{service}}": svc})
	cfg, err := config.Parse("daemon.ini", []byte(text))
	assert.NilError(tb, err)
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Control, cfg.Listen.Admin = anyPort, anyPort, anyPort, anyPort
	cfg.Platform.API, cfg.Platform.Ready = anyPort, anyPort
	return cfg
}

// newCostDaemon returns a daemon that serves callers and peers, and runs nothing else.
func newCostDaemon(tb testing.TB, vm, svc string) *Daemon {
	tb.Helper()
	cfg := costSettings(tb, vm, svc)
	d, err := New(cfg, event.Discard())
	assert.NilError(tb, err)
	peers := d.listeners[0]
	assert.Equal(tb, peers.name, "peer")
	stop := d.proxy.Start()
	go func() { _ = d.callers.Serve() }()         // ends when the listener is closed
	go func() { _ = peers.srv.Serve(peers.ln) }() // as above
	tb.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.callers.Shutdown(ctx)
		_ = peers.srv.Close()
		for _, l := range d.listeners {
			_ = l.ln.Close()
		}
		stop()
		d.pool.Close()
		d.tracer.Close(ctx)
	})
	return d
}

// startScripted starts an upstream that answers each request with the same bytes but for the
// id, and calls the service back through the daemon at the address next if the path says so.
// It does not use net/http, whose cost would be counted, too.
func startScripted(tb testing.TB, next string) (address string) {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, next)
		}
	}()
	return ln.Addr().String()
}

const (
	costID       = "X-Attempt-Id: "
	costDeadline = "X-Deadline-Remaining-Ms: "
	costBody     = `{"order":"4711","state":"accepted","items":[{"sku":"a-1","count":2},{"sku":"b-7","count":1}]}`
)

func serveScripted(conn net.Conn, next string) {
	defer conn.Close()
	nested := &rawClient{address: next}
	defer nested.close()
	r := bufio.NewReader(conn)
	for {
		head, err := readHead(r)
		if err != nil {
			return
		}
		id := lineValue(head, costID)
		if bytes.HasPrefix(head, []byte("GET /nested ")) {
			request := "GET /stock HTTP/1.1\r\nHost: back.example\r\n" + costID + id + "-1\r\n" + costDeadline + lineValue(head, costDeadline) + "\r\n\r\n"
			if status, err := nested.call([]byte(request)); err != nil || status != http.StatusOK {
				return
			}
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\nX-Response-Signature: 4f2a\r\nContent-Type: application/json\r\n"+
			"Date: Sun, 06 Dec 2026 23:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", costID, id, len(costBody), costBody)
		if err != nil {
			return
		}
	}
}

// readHead reads a message up to the empty line after its head, and the body of a request
// that declares one.
func readHead(r *bufio.Reader) (head []byte, err error) {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		head = append(head, line...)
		if len(line) == len("\r\n") {
			break
		}
	}
	if n, err := strconv.Atoi(lineValue(head, "Content-Length: ")); err == nil {
		_, err = r.Discard(n)
		return head, err
	}
	return head, nil
}

// lineValue returns the value of a header line of which the name and the separator are given.
func lineValue(head []byte, name string) string {
	_, rest, ok := bytes.Cut(head, []byte("\n"+name))
	if !ok {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r"))
	return string(value)
}

// rawClient sends requests on one connection, at little cost of its own.
type rawClient struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

func (c *rawClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *rawClient) call(request []byte) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.address); err != nil {
			return 0, err
		}
		c.r = bufio.NewReader(c.conn)
	}
	if _, err := c.conn.Write(request); err != nil {
		return 0, err
	}
	head, err := readHead(c.r)
	if err != nil {
		return 0, err
	}
	const begin, end = len("HTTP/1.1 "), len("HTTP/1.1 200")
	return strconv.Atoi(string(head[begin:end]))
}

// usage is what a process has used since its start.
type usage struct {
	processor               time.Duration
	reads, writes, switches int64
}

func readUsage() (u usage) {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // fails only for an unknown argument
	u.processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	u.switches = r.Nvcsw
	text, _ := os.ReadFile("/proc/self/io") // absent on other systems, which leaves zero
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "syscr":
			u.reads = n
		case "syscw":
			u.writes = n
		}
	}
	return u
}

// reportUsage reports what each operation has used since before, the callers and the
// upstreams of the benchmark included.
func reportUsage(b *testing.B, before usage) {
	after := readUsage()
	per := func(n int64) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(per((after.processor-before.processor).Nanoseconds())/1000, "cpu-us/op")
	b.ReportMetric(per(after.reads-before.reads), "reads/op")
	b.ReportMetric(per(after.writes-before.writes), "writes/op")
	b.ReportMetric(per(after.switches-before.switches), "switches/op")
}

const costHeaders = "User-Agent: shop-app/7.1 (bench)\r\nAccept: application/json\r\nAccept-Encoding: gzip\r\nContent-Type: application/json\r\n" +
	"X-Request-Region: north\r\n" + costDeadline + "20000\r\n"

// costRequest returns the request of one operation, which has an id of its own.
type costRequest func(id string) string

func (f *costFleet) callerRequest(method, path, body string) costRequest {
	head := method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token " + f.key + "\r\n" + costHeaders
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return func(id string) string { return head + costID + id + "\r\n\r\n" + body }
}

// peerRequest returns the request of another daemon.
func (f *costFleet) peerRequest() costRequest {
	h := http.Header{}
	header.SetCall(h, header.Call{
		Action: "4711", Workspace: "acme", Route: "shop-orders", Caller: "back", Service: "shop", Class: ident.ClassNormal,
		Rank: 77, AdmittedShare: 1, FairShareWorkspace: "acme", Idempotent: true, Depth: 1, Retries: 3, TimeoutMs: 20_000,
	})
	head := "GET /orders/4711 HTTP/1.1\r\nHost: shop.example\r\n" + costHeaders
	for name, values := range h {
		head += name + ": " + values[0] + "\r\n"
	}
	return func(id string) string { return head + costID + id + "\r\n\r\n" }
}

// BenchmarkCall measures the cost of one call, that of the benchmark's own caller and
// upstream included, which the variant direct shows on its own.
func BenchmarkCall(b *testing.B) {
	f := newCostFleet(b)
	callers, peers := f.entry.callers.ln.Addr().String(), f.peer.listeners[0].ln.Addr().String()
	const orders = "/orders/4711?detail=full"
	for _, v := range []struct {
		name, address string
		request       costRequest
		parallel      int
	}{
		{"direct", f.shop, f.callerRequest("GET", orders, ""), 1},
		{"peer", peers, f.peerRequest(), 1},
		{"entry_and_peer", callers, f.callerRequest("GET", orders, ""), 1},
		{"entry_and_peer_post", callers, f.callerRequest("POST", orders, strings.Repeat("b", 200)), 1},
		{"entry_and_peer_parallel", callers, f.callerRequest("GET", orders, ""), 16},
		{"nested", callers, f.callerRequest("GET", "/nested", ""), 1},
	} {
		b.Run(v.name, func(b *testing.B) { benchmarkCalls(b, v.address, v.request, v.parallel) })
	}
}

func benchmarkCalls(b *testing.B, address string, request costRequest, parallel int) {
	b.ReportAllocs()
	const warmUp = 100
	clients := make([]*rawClient, parallel)
	run := func(phase string, i, n int) error {
		for k := range n {
			text := request(phase + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(b.N) + "-" + strconv.Itoa(k))
			if status, err := clients[i].call([]byte(text)); err != nil || status != http.StatusOK {
				return fmt.Errorf("call %d: status %d, %v", k, status, err)
			}
		}
		return nil
	}
	for i := range clients {
		clients[i] = &rawClient{address: address}
		b.Cleanup(clients[i].close)
		assert.NilError(b, run("warm"+strconv.FormatInt(time.Now().UnixNano(), 36), i, warmUp))
	}
	b.ResetTimer()
	before := readUsage()
	errs := make(chan error, parallel)
	for i := range clients {
		go func() {
			errs <- run("run"+strconv.FormatInt(before.processor.Nanoseconds(), 36), i, (b.N+parallel-1-i)/parallel)
		}()
	}
	for range clients {
		assert.NilError(b, <-errs)
	}
	reportUsage(b, before)
}
