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

// swap is one confirmation: it takes effect if its base is the revision of the
// last one that did.
type swap struct{ base ident.Revision }

// swapped is what the operator was told.
type swapped struct {
	accepted bool
	revision ident.Revision
}

// confirmations is a register that holds the revision of the last confirmation.
var confirmations = porcupine.Model{
	Init: func() any { return ident.Revision(0) },
	Step: func(st, in, out any) (bool, any) {
		have, q, r := st.(ident.Revision), in.(swap), out.(swapped)
		if !r.accepted {
			return q.base != have, have
		}
		return q.base == have && r.revision > have, r.revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestOperatorsHistoryIsLinearizable lets operators race while the control
// daemons are cut off in turn. Every operator asks until the outcome is known.
func TestOperatorsHistoryIsLinearizable(t *testing.T) {
	layout := trial.Small()
	layout.Services, layout.Routes, layout.Workspaces = nil, nil, nil
	f := newFleet(t, layout)
	f.ready()
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var wg sync.WaitGroup
	const operators, rounds = 4, 12
	for o := range operators {
		wg.Go(func() {
			for i := range rounds {
				op, known := f.confirmOnce(o, i, began)
				mu.Lock()
				assert.Check(t, known, "no outcome for operator %d, round %d", o, i)
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	f.cutInTurn()
	wg.Wait()
	accepted := 0
	for _, op := range history {
		if op.Output.(swapped).accepted {
			accepted++
		}
	}
	assert.Assert(t, accepted > 1, "%d confirmations were accepted", accepted)
	assert.Assert(t, porcupine.CheckOperations(confirmations, history), "the history is not linearizable")
}

// cutInTurn cuts each control daemon off until the others have a leader that
// the operators' work goes on with.
func (f *fleet) cutInTurn() {
	controls, _ := f.vmsOf(func(d *trial.Daemon) bool { return d.Control })
	for _, vm := range controls {
		_, rest := f.vmsOf(func(d *trial.Daemon) bool { return d.VM == vm })
		f.cuts.between([]ident.VM{vm}, rest, true)
		eventually(f.t, func() string {
			for _, other := range rest {
				if f.leads(other) {
					return ""
				}
			}
			return "nobody leads"
		})
		f.cuts.between([]ident.VM{vm}, rest, false)
	}
}

// confirmOnce makes one confirmation and asks until its outcome is known.
func (f *fleet) confirmOnce(operator, i int, began time.Time) (op porcupine.Operation, known bool) {
	vm := ident.VM(fmt.Sprintf("control-%d", operator%3+1))
	base := f.daemons[vm].daemon.board.Config.Read().State.ConfirmedAt
	name := ident.Workspace(fmt.Sprintf("w%d-%d", operator, i))
	q := admin.Confirmation{
		ChangeID: ident.ChangeID(fmt.Sprintf("h-%d-%d", operator, i)), Base: base,
		Patch: intent.Patch{Workspaces: map[ident.Workspace]*intent.WorkspaceSpec{name: {}}},
	}
	op = porcupine.Operation{ClientId: operator, Input: swap{base}, Call: time.Since(began).Nanoseconds()}
	for n := 0; !known && n < 20; n++ {
		at := ident.VM(fmt.Sprintf("control-%d", (operator+n)%3+1))
		r, p, err := ask[state.Result](f, at, "POST", "/v1/confirmations", q)
		switch {
		case err != nil || p.Reason == "outcome_unknown":
			continue
		case p.Result != nil:
			op.Output = swapped{revision: p.Result.Revision}
		default:
			op.Output = swapped{accepted: true, revision: r.Revision}
		}
		known = true
	}
	op.Return = time.Since(began).Nanoseconds()
	return op, known
}
