package ration

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/member"
	"chicorymast/core/state"
	"chicorymast/io/timer"
	"chicorymast/io/wire"

	"gotest.tools/v3/assert"
)

const grant = ident.Grant("small")

// limiterIn returns a limiter on VM own of data centre here. Every other VM fails to
// answer, and dials counts the attempts to reach them.
func limiterIn(t testing.TB, burst float64, centres map[ident.DataCentre][]ident.VM) (l *Limiter, dials *atomic.Int64) {
	t.Helper()
	dials = &atomic.Int64{}
	clock := timer.NewManual(time.Unix(1000, 0))
	b := board.New()
	st := state.New()
	st.Intent = intent.Intent{
		DataCentres: map[ident.DataCentre]intent.DataCentreSpec{},
		Grants:      map[ident.Grant]intent.GrantSpec{grant: {Rate: ident.Rate(burst), Burst: ident.Burst(burst)}},
	}
	var entries []member.Entry
	for dc, vms := range centres {
		st.Intent.DataCentres[dc] = intent.DataCentreSpec{Weight: 1}
		for _, vm := range vms {
			entries = append(entries, member.Entry{VM: vm, DataCentre: dc, Phase: member.PhaseUp, Addresses: member.Addresses{Control: string(vm)}})
		}
	}
	b.Config.Write(board.NewConfig(st, nil))
	b.Members.Write(board.NewMembers(entries))
	b.RelayContact.Write(&board.RelayContact{At: clock.Now().Add(time.Hour)})
	pool := wire.NewPool(func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("no route to host")
	})
	l = New(Options{VM: "own", DataCentre: "here", Clock: clock, Board: b, Pool: pool})
	clock.Advance(time.Minute)
	return l, dials
}

func TestCallsDoNotWaitForOwnersKnownToBeUnreachable(t *testing.T) {
	l, dials := limiterIn(t, 4, map[ident.DataCentre][]ident.VM{"here": {"other"}, "there": {"far"}})
	_, err := l.Charge(context.Background(), grant)
	assert.Assert(t, errors.Is(err, ErrOwnerUnreachable), "%v", err)
	first := dials.Load()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 100 {
		_, err := l.Charge(ctx, grant)
		assert.Assert(t, errors.Is(err, ErrOwnerUnreachable), "%v", err)
	}
	assert.Equal(t, dials.Load(), first)
}

func TestSilentVMIsAskedOncePerInterval(t *testing.T) {
	s, now := newSilentVMs(), time.Unix(1000, 0)
	assert.Assert(t, s.mayAsk(now, "vm"))
	s.record(now, "vm", errors.New("silent"))
	assert.Assert(t, !s.mayAsk(now.Add(silentTime/2), "vm"))
	assert.Assert(t, s.mayAsk(now.Add(silentTime), "vm"))
	assert.Assert(t, !s.mayAsk(now.Add(silentTime), "vm"), "another request tries already")
	s.record(now.Add(silentTime), "vm", nil)
	assert.Assert(t, s.mayAsk(now.Add(silentTime), "vm"))
}
