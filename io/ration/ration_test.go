package ration

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chicorymast/config"
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
	cfg := config.Default()
	l = New(Options{VM: "own", DataCentre: "here", Clock: clock, Board: b, Pool: pool, Config: func() *config.Config { return &cfg }})
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

// A grant that is too small to be divided must not be refused outright where its owner
// can't be reached, if operators allow some slack.
func TestSlackIsSpentWhileTheOwnerIsUnreachable(t *testing.T) {
	l, _ := limiterIn(t, 4, map[ident.DataCentre][]ident.VM{"here": {"own"}, "there": {"far"}})
	clock := l.opt.Clock.(*timer.Manual)
	home, single := l.opt.Board.Config.Read().State.Intent.GrantHome(grant)
	assert.Assert(t, single)
	assert.Equal(t, home, ident.DataCentre("there"))
	charge := func() error {
		_, err := l.Charge(context.Background(), grant)
		return err
	}
	assert.Assert(t, errors.Is(charge(), ErrOwnerUnreachable), "no slack by default")
	clock.Advance(time.Minute)
	const slack, window = 20.0, 5 * time.Second
	l.opt.Config().Rates = config.Rates{Slack: slack, SlackWindow: window}
	var served []time.Time
	const step = 50 * time.Millisecond
	for range 2 * time.Minute / step {
		clock.Advance(step)
		if charge() == nil {
			served = append(served, clock.Now())
		}
	}
	assert.Assert(t, len(served) >= 100, "one call a second is allowed here, %d were served in two minutes", len(served))
	for i, at := range served {
		n := 0
		for _, other := range served[i:] {
			if other.Sub(at) <= window {
				n++
			}
		}
		assert.Assert(t, n <= slack/2, "%d calls in %s; the part of one of two data centres is %v", n, window, slack/2)
	}
}
