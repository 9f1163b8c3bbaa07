// Package limit bounds the memory that the heads of HTTP messages take in a process. It
// counts them on the connections, before net/http parses them.
//
// # Usage
//
//	g := limit.New(limit.Options{Budget: budget, Clock: clock, Report: report})
//	ln = g.Listen(ln, refuse)              // requests arrive on its connections
//	srv := &http.Server{Handler: limit.Handler(h), ConnContext: limit.ConnContext}
//	conn = g.Dialled(conn)                 // in DialContext; responses arrive on these
//	limit.Expect(ctx, info.Conn)           // in httptrace.ClientTrace.GotConn
//	io.ReadAll(limit.Reader(ctx, body))    // a body that is kept while its request is served
//
// Once the heads exceed the budget, the largest of those whose requests are not handled yet
// is refused, then the next. The head of a response that is still being received may be
// refused in the same way: its connection is closed, and the request fails as one that may
// have run.
package limit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorymast/core/heads"
	"chicorymast/io/timer"
)

// Options configures a Guard.
type Options struct {
	// Budget returns the memory that all heads may take.
	Budget func() heads.Bytes
	Clock  timer.Clock
	// Report is called after heads were refused, at most once in reportInterval, with the
	// number of those refused since the last call.
	Report func(refused uint64, held heads.Bytes)
}

// reportInterval is the shortest time between two reports.
const reportInterval = time.Second

// Guard counts the heads of all connections. Its methods are safe for concurrent use.
type Guard struct {
	opt Options

	mu       sync.Mutex
	budget   *heads.Budget
	reported uint64
	// short counts the bodies that there was no room for.
	short uint64
	// nextReport is the time from which the next refusal is reported.
	nextReport time.Time
}

// New returns a guard.
func New(opt Options) *Guard {
	return &Guard{opt: opt, budget: heads.NewBudget(opt.Budget())}
}

// Held returns the memory that is accounted for, and the number of heads refused so far.
func (g *Guard) Held() (held heads.Bytes, refused uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held(), g.budget.Count()
}

// share is what one message takes.
type share struct {
	heads.Share
	// owned is set if a request releases the share, and not its connection.
	owned bool
	// released is set, under the lock of the guard, when nothing is charged any more.
	released bool
}

func newShare(c *Conn) *share {
	return &share{Share: heads.Share{Owner: c}}
}

// charge adds to a share, and refuses the messages that must be refused for it. It must be
// called without the lock of a connection.
func (g *Guard) charge(s *share, cost heads.Bytes) {
	if cost == 0 {
		return
	}
	g.mu.Lock()
	if s.released {
		g.mu.Unlock()
		return
	}
	g.budget.SetLimit(g.opt.Budget())
	refused := g.budget.Charge(&s.Share, cost)
	g.mu.Unlock()
	for _, r := range refused {
		r.Owner.(*Conn).interrupt()
	}
	if len(refused) > 0 {
		g.report()
	}
}

func (g *Guard) report() {
	g.mu.Lock()
	now, held, count := g.opt.Clock.Now(), g.budget.Held(), g.budget.Count()
	since := count - g.reported
	due := since > 0 && !now.Before(g.nextReport)
	if due {
		g.reported, g.nextReport = count, now.Add(reportInterval)
	}
	g.mu.Unlock()
	if due {
		g.opt.Report(since, held)
	}
}

func (g *Guard) begin(s *share) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Begin(&s.Share)
}

// empty takes back what a share was charged, whose message goes on.
func (g *Guard) empty(s *share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(&s.Share)
}

func (g *Guard) release(shares ...*share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range shares {
		g.budget.Release(&s.Share)
		s.released = true
	}
}

// Listen returns a listener whose connections are Accepted.
func (g *Guard) Listen(ln net.Listener, refuse func(w http.ResponseWriter)) net.Listener {
	return &listener{Listener: ln, guard: g, refuse: refuse}
}

type listener struct {
	net.Listener
	guard  *Guard
	refuse func(w http.ResponseWriter)
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.guard.Accepted(c, l.refuse), nil
}

// responseOf returns the bytes of the response that a function writes, for a connection that
// is closed behind it.
func responseOf(write func(w http.ResponseWriter)) []byte {
	rec := &recorder{header: http.Header{}, status: http.StatusOK}
	write(rec)
	resp := http.Response{
		StatusCode: rec.status, ProtoMajor: 1, ProtoMinor: 1, Header: rec.header, Close: true,
		ContentLength: int64(rec.body.Len()), Body: io.NopCloser(&rec.body),
	}
	var out bytes.Buffer
	_ = resp.Write(&out) // writing to a buffer does not fail
	return out.Bytes()
}

// recorder is an http.ResponseWriter that keeps the response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header               { return r.header }
func (r *recorder) WriteHeader(status int)            { r.status = status }
func (r *recorder) Write(p []byte) (n int, err error) { return r.body.Write(p) }
