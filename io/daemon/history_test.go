package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/trial"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// confirmInput is a confirmation. It works like compare-and-swap: it is accepted if
// its base is the revision of the last accepted one.
type confirmInput struct{ base ident.Revision }

// confirmOutput is the outcome that the operator receives.
type confirmOutput struct {
	accepted bool
	revision ident.Revision
}

// confirmationModel models a register that holds the revision of the last accepted
// confirmation.
var confirmationModel = porcupine.Model{
	Init: func() any { return ident.Revision(0) },
	Step: func(st, in, out any) (bool, any) {
		current, q, r := st.(ident.Revision), in.(confirmInput), out.(confirmOutput)
		if !r.accepted {
			return q.base != current, current
		}
		return q.base == current && r.revision > current, r.revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConfirmationsAreLinearizable lets operators send conflicting confirmations
// while the control daemons are cut off one after another. Each operator repeats a
// request until its outcome is known; the history must be linearizable.
func TestConfirmationsAreLinearizable(t *testing.T) {
	layout := trial.Small()
	layout.Services, layout.Routes, layout.Workspaces = nil, nil, nil
	f := newFleet(t, layout)
	f.waitReady()
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	const operators, rounds = 4, 12
	for operator := range operators {
		wg.Go(func() {
			for round := range rounds {
				op, known := f.confirmUntilKnown(operator, round, start)
				mu.Lock()
				assert.Check(t, known, "no outcome for operator %d, round %d", operator, round)
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	f.isolateControlDaemonsInTurn()
	wg.Wait()
	accepted := 0
	for _, op := range history {
		if op.Output.(confirmOutput).accepted {
			accepted++
		}
	}
	assert.Assert(t, accepted > 1, "%d confirmations were accepted", accepted)
	assert.Assert(t, porcupine.CheckOperations(confirmationModel, history), "the history is not linearizable")
}

// isolateControlDaemonsInTurn cuts the control daemons off one after another, each
// until the others have a leader.
func (f *fleet) isolateControlDaemonsInTurn() {
	controls, _ := f.splitVMs(func(d *trial.Daemon) bool { return d.Control })
	for _, vm := range controls {
		_, rest := f.splitVMs(func(d *trial.Daemon) bool { return d.VM == vm })
		f.partition.set([]ident.VM{vm}, rest, true)
		eventually(f.t, func() string {
			for _, other := range rest {
				if f.isLeader(other) {
					return ""
				}
			}
			return "no control daemon is the leader"
		})
		f.partition.set([]ident.VM{vm}, rest, false)
	}
}

// confirmUntilKnown sends a confirmation to the control daemons in turn until its
// outcome is known; it gives up after 20 requests.
func (f *fleet) confirmUntilKnown(operator, round int, start time.Time) (op porcupine.Operation, known bool) {
	vm := ident.VM(fmt.Sprintf("control-%d", operator%3+1))
	base := f.daemons[vm].daemon.board.Config.Read().State.ConfirmedAt
	name := ident.Workspace(fmt.Sprintf("w%d-%d", operator, round))
	req := admin.Confirmation{
		ChangeID: ident.ChangeID(fmt.Sprintf("h-%d-%d", operator, round)), Base: base,
		Patch: intent.Patch{Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{name: {}}},
	}
	op = porcupine.Operation{ClientId: operator, Input: confirmInput{base}, Call: time.Since(start).Nanoseconds()}
	for n := 0; !known && n < 20; n++ {
		target := ident.VM(fmt.Sprintf("control-%d", (operator+n)%3+1))
		r, p, err := callAdmin[state.Result](f, target, "POST", "/v1/confirmations", req)
		switch {
		case err != nil || p.Reason == "outcome_unknown":
			continue
		case p.Result != nil:
			op.Output = confirmOutput{revision: p.Result.Revision}
		default:
			op.Output = confirmOutput{accepted: true, revision: r.Revision}
		}
		known = true
	}
	op.Return = time.Since(start).Nanoseconds()
	return op, known
}
