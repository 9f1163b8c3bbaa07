package change

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/state"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

// controlDaemon is a control daemon as a LeaderClient sees it.
type controlDaemon struct {
	address string
	asked   atomic.Int64
	// lost is set for one whose machine is lost: nothing that is sent there is answered.
	lost   atomic.Bool
	leader atomic.Pointer[string]
}

// serve answers proposals until the test ends.
func (d *controlDaemon) serve(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.address = ln.Addr().String()
	srv := wire.NewServer()
	wire.Handle(srv, wire.MethodPropose, func(ctx context.Context, _ wire.ProposeRequest) (wire.ProposeReply, error) {
		d.asked.Add(1)
		if d.lost.Load() {
			<-ctx.Done()
			return wire.ProposeReply{}, ctx.Err()
		}
		leader := *d.leader.Load()
		if leader == d.address {
			return wire.ProposeReply{Done: true, Result: state.Result{Outcome: state.OutcomeAccepted}}, nil
		}
		return wire.ProposeReply{Leader: leader}, nil
	})
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
}

// Guards against changes that fail for as long as the machine of the former leader is lost:
// the time of a platform's request is enough for one attempt there, and no more. In any order
// of the addresses it must be asked once, and not by the next request.
func TestLostLeaderIsAskedOnce(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			t.Parallel() // each waits for an attempt to time out
			daemons := []*controlDaemon{{}, {}, {}}
			var addresses []string
			for _, d := range daemons {
				d.serve(t)
			}
			for _, i := range order {
				addresses = append(addresses, daemons[i].address)
			}
			elect := func(leader *controlDaemon) {
				for _, d := range daemons {
					d.leader.Store(&leader.address)
				}
			}
			pool := wire.NewPool(wire.PlainDialer(time.Second))
			t.Cleanup(pool.Close)
			l := NewLeaderClient(pool, func() []string { return addresses })
			propose := func() {
				t.Helper()
				reply, err := CallLeader[wire.ProposeReply](t.Context(), l, wire.MethodPropose, wire.ProposeRequest{})
				assert.NilError(t, err)
				assert.Equal(t, reply.Result.Outcome, state.OutcomeAccepted)
			}
			former := daemons[0]
			elect(former)
			propose()
			asked := former.asked.Load()
			elect(daemons[2])
			former.lost.Store(true)
			for range 3 {
				propose()
			}
			assert.Equal(t, former.asked.Load(), asked+1)
		})
	}
}

// Guards against a client that gives up, or spins, when the only control daemon that it knows
// does not answer.
func TestOnlyControlDaemonIsAskedAgain(t *testing.T) {
	d := &controlDaemon{}
	d.serve(t)
	d.leader.Store(&d.address)
	refusals := 2
	pool := wire.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		if refusals--; refusals >= 0 {
			return nil, net.ErrClosed
		}
		return wire.PlainDialer(time.Second)(ctx, address)
	})
	t.Cleanup(pool.Close)
	l := NewLeaderClient(pool, func() []string { return []string{d.address} })
	_, err := CallLeader[wire.ProposeReply](t.Context(), l, wire.MethodPropose, wire.ProposeRequest{})
	assert.NilError(t, err)
	assert.Equal(t, d.asked.Load(), int64(1))
}
