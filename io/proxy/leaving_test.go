package proxy

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/member"

	"gotest.tools/v3/assert"
)

// A call that waits for a slot while the upstream begins to leave must not reach it later
// than drain, 2 s on the platform, after that was acknowledged.
func TestWaitingCallsDoNotReachALeavingUpstreamLate(t *testing.T) {
	const calls, drain = 180, 2 * time.Second // at 100 slots
	for name, change := range map[string]func(u *board.Upstream){
		"draining":              func(u *board.Upstream) { u.Phase = member.PhaseDraining },
		"deregistered":          func(u *board.Upstream) { u.Phase = member.PhaseGone },
		"drained by operators":  func(u *board.Upstream) { u.Drained = true },
		"replaced by a service": func(u *board.Upstream) { u.Service, u.ID = "other", "i-2" },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			u := newSayingUpstream(t, "")
			u.respond = func(w http.ResponseWriter, _ *http.Request) {
				<-release
				w.Header().Set("Content-Length", "0")
			}
			c := newPeerCalls(t, u.address())
			for range calls {
				c.start()
			}
			for c.p.admission.load().Waiting+int(u.requests.Load()) < calls {
				runtime.Gosched()
			}
			assert.Assert(t, c.p.admission.load().Waiting > 0, "no call waits")
			next := *c.p.opt.Board.Upstream.Read()
			change(&next)
			c.p.opt.Board.Upstream.Write(&next)
			for passed := time.Duration(0); passed < drain; passed += 10 * time.Millisecond {
				c.clock.Advance(10 * time.Millisecond)
			}
			before := u.requests.Load()
			close(release)
			for c.done.Load() < int64(calls) {
				c.clock.Advance(10 * time.Millisecond)
				runtime.Gosched()
			}
			assert.Equal(t, u.requests.Load(), before, "calls reached an upstream that has left")
		})
	}
}
