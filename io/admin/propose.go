package admin

import (
	"context"
	"errors"
	"time"

	"chicorymast/core/state"
	"chicorymast/io/wire"
)

// ErrUnknown is returned when no control daemon gave an outcome in time.
var ErrUnknown = errors.New("no control daemon gave an outcome in time")

// Propose asks the control daemons in turn until one gives the outcome of an
// encoded command. It follows the hint of a daemon that does not lead. Asking
// again is safe: the change id makes it so.
func Propose(ctx context.Context, pool *wire.Pool, addresses []string, command []byte) (state.Result, error) {
	const pause = 100 * time.Millisecond
	hint := ""
	for n := 0; ctx.Err() == nil && len(addresses) > 0; n++ {
		address := addresses[n%len(addresses)]
		if hint != "" {
			address, hint = hint, ""
		}
		reply, err := askOne(ctx, pool, address, command)
		if err == nil && reply.Done {
			return reply.Result, nil
		}
		if hint = reply.Leader; hint != "" && hint != address {
			continue
		}
		hint = ""
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return state.Result{}, ErrUnknown
}

func askOne(ctx context.Context, pool *wire.Pool, address string, command []byte) (wire.ProposeReply, error) {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return wire.Call[wire.ProposeReply](ctx, pool, address, wire.MethodPropose, wire.ProposeRequest{Command: command})
}
