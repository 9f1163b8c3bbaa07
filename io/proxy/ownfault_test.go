package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/header"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// ejectedAfter returns how many of two VMs of a service get no calls after attempts at
// one of them could not connect.
func ejectedAfter(t *testing.T, errno unix.Errno) (ejected int) {
	const service = ident.Service("deep")
	p := newUpstreamProxy(t, "127.0.0.1:1")
	p.peerTransport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errno}
	}
	var entries []member.Entry
	for _, vm := range []ident.VM{"a", "b"} {
		entries = append(entries, member.Entry{
			VM: vm, Addresses: member.Addresses{Peer: "127.0.0.1:1"}, Phase: member.PhaseUp,
			Upstream: &member.Upstream{Service: service, Slots: 4, Phase: member.PhaseUp},
		})
	}
	p.opt.Board.Config.Write(board.NewConfig(state.New(), nil))
	p.opt.Board.Members.Write(board.NewMembers(entries))
	for range 3 {
		o := &outboundCall{
			call: header.Call{Service: service, Route: "browse", TimeoutMs: 1000}, method: http.MethodGet,
			url: &url.URL{Path: "/"}, header: http.Header{}, body: &payload{complete: true},
		}
		vm, _, ok := p.pick(o.call, map[ident.VM]bool{"b": true}, "")
		assert.Assert(t, ok)
		a := p.sendOnce(context.Background(), o, vm, 0)
		assert.Assert(t, a.refusal != nil && a.refusal.NotRun)
	}
	for _, s := range p.router.status(service) {
		if s.EjectedFor > 0 {
			ejected++
		}
	}
	return ejected
}

// A daemon that has too many open files must not give up VMs that are well.
func TestOwnLackOfFilesEjectsNoVM(t *testing.T) {
	assert.Equal(t, ejectedAfter(t, unix.EMFILE), 0)
	assert.Equal(t, ejectedAfter(t, unix.ECONNREFUSED), 1)
}
