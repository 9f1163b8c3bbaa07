package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/notice"
	"chicorymast/core/route"
	"chicorymast/core/sample"
	"chicorymast/io/event"
	"chicorymast/io/header"

	"go.uber.org/zap"
)

// notices holds what upstreams say about themselves in their responses.
type notices struct {
	mu sync.Mutex
	// own is about the upstream on this VM, book about those that calls go to.
	own  *notice.Own
	book *notice.Book
	// leaving counts the processes in book that leave.
	leaving atomic.Uint64
}

func newNotices() *notices {
	return &notices{own: notice.NewOwn(), book: notice.NewBook()}
}

// leavingCount returns a number that changes when another process is known to leave.
func (n *notices) leavingCount() uint64 {
	return n.leaving.Load()
}

// of returns what is known of a process that calls go to.
func (n *notices) of(now time.Time, p notice.Process) notice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Of(now, p)
}

// limitOf returns what is known of a limited process that calls go to, nil for another.
func (n *notices) limitOf(now time.Time, p notice.Process) *notice.Notice {
	known := n.of(now, p)
	if known.Limit == 0 {
		return nil
	}
	limited := known // on the heap, which known is not
	return &limited
}

// learn records what the daemon on a VM says of the upstream there, with its response to
// a call. Without a notice, a response of the upstream itself shows that it says nothing.
func (n *notices) learn(now time.Time, vm route.Candidate, result header.Result) {
	told := notice.Notice{Process: vm.Process}
	switch {
	case result.Notice != nil:
		told = *result.Notice
	case result.Reason != "":
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Learn(now, told) {
		n.leaving.Add(1)
	}
}

// recordStatement records what a response of the upstream on this VM says that was
// received at a time.
func (p *Proxy) recordStatement(upstream *board.Upstream, at time.Time, resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return // another server is at the address
	}
	s := p.opt.Dialect.Statement(resp)
	announced := p.opt.Board.Upstream.Read().Process()
	p.notices.mu.Lock()
	before := p.notices.own.Of(at, announced)
	n, changed := p.notices.own.Heard(at, upstream.Process(), announced, s, !p.opt.Dialect.ProvesNotRun(resp))
	p.notices.mu.Unlock()
	if text, ok := s.Limit.(notice.Unreadable); ok {
		p.opt.Trail.Note(event.LimitUnreadable, sample.Key{Reason: "unreadable"}, func() []zap.Field {
			return []zap.Field{zap.String("upstream", string(upstream.ID)), zap.String("text", text.Text)}
		})
	}
	if changed {
		p.admission.setRate(n.Limit)
		p.noteNotice(before, n)
	}
}

// ownNotice returns what the upstream on this VM says about itself, nil for nothing.
func (p *Proxy) ownNotice(upstream *board.Upstream) *notice.Notice {
	p.notices.mu.Lock()
	defer p.notices.mu.Unlock()
	n := p.notices.own.Of(p.opt.Clock.Now(), upstream.Process())
	if n.IsEmpty() {
		return nil
	}
	said := n // on the heap, which n is not
	return &said
}

// upstreamCapacity returns what the upstream on this VM says that it takes, as far as
// this daemon or the sender of a call knows.
func (p *Proxy) upstreamCapacity(upstream *board.Upstream, call header.Call) upstreamCapacity {
	now, process := p.opt.Clock.Now(), upstream.Process()
	p.notices.mu.Lock()
	before := p.notices.own.Of(now, process)
	n, adopted := before, false
	if call.UpstreamNotice != nil {
		n, adopted = p.notices.own.Adopt(now, process, *call.UpstreamNotice)
	}
	p.notices.mu.Unlock()
	if adopted {
		p.noteNotice(before, n)
	}
	return upstreamCapacity{slots: upstream.Slots, rate: n.Limit}
}

// noteNotice logs another statement of the upstream on this VM.
func (p *Proxy) noteNotice(before, n notice.Notice) {
	if n.Leaving && !before.Leaving {
		p.opt.Log.Emit(event.UpstreamLeaving, zap.String("upstream", string(n.Upstream)))
		if p.opt.UpstreamLeaves != nil {
			p.opt.UpstreamLeaves(n.Process)
		}
	}
	if n.Limit == before.Limit {
		return
	}
	p.opt.Trail.Note(event.LimitChanged, sample.Key{Reason: limitReason(before.Limit, n.Limit)}, func() []zap.Field {
		st := p.admission.status(p.opt.Clock.Now())
		return []zap.Field{
			zap.String("upstream", string(n.Upstream)), zap.Float64("limit_per_second", float64(n.Limit)),
			zap.Float64("before", float64(before.Limit)), zap.Float64("started_per_second", st.StartedPerSecond),
			zap.Int("running", st.Running), zap.Int("waiting", st.Waiting),
		}
	})
}

func limitReason(before, after ident.Rate) string {
	switch {
	case before == 0:
		return "limit_named"
	case after == 0:
		return "limit_ended"
	}
	return "limit_changed"
}
