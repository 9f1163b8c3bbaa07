package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/io/header"

	"gotest.tools/v3/assert"
)

// mustRefuse checks the final refusal of a dispatch with these attempts.
func mustRefuse(t testing.TB, reason fault.Reason, notRun bool, attempts ...attempt) {
	t.Helper()
	d := newDispatchState(&outboundCall{call: header.Call{Service: "katalog", Retries: 3}})
	for i, a := range attempts {
		d.addAttempt(ident.VM(fmt.Sprint(i)), 0, a)
	}
	_, _, r := d.finalRefusal(false)
	assert.Equal(t, r.Reason, reason)
	assert.Equal(t, r.NotRun, notRun)
}

func TestNotRunHoldsForAllAttempts(t *testing.T) {
	overloaded := attempt{refusal: fault.Refuse(fault.ReasonOverload, "")}
	failed := attempt{refusal: fault.Failed(fault.ReasonUpstreamFailed, "")}
	responded := attempt{response: &response{status: 503, header: http.Header{}}}
	provedNotRun := attempt{response: &response{status: 503, header: http.Header{header.NotRun: {"true"}}}}
	mustRefuse(t, fault.ReasonNoUpstream, true)
	mustRefuse(t, fault.ReasonOverload, true, overloaded, overloaded)
	mustRefuse(t, fault.ReasonOverload, false, failed, overloaded)
	mustRefuse(t, fault.ReasonOverload, false, responded, overloaded)
	mustRefuse(t, fault.ReasonOverload, true, provedNotRun, overloaded)
	mustRefuse(t, fault.ReasonUpstreamFailed, false, overloaded, failed)
}

func TestChargeRefusals(t *testing.T) {
	for _, c := range []struct {
		err    error
		reason fault.Reason
	}{
		{context.DeadlineExceeded, fault.ReasonDeadline},
		{context.Canceled, fault.ReasonCancelled},
		{errors.New("owner lost"), fault.ReasonQuotaUnreachable},
	} {
		r := chargeRefusal(c.err)
		assert.Equal(t, r.Reason, c.reason)
		assert.Assert(t, r.NotRun)
	}
}

func TestEveryReasonHasAStatus(t *testing.T) {
	for reason := range statusByReason {
		assert.Assert(t, HTTPStatus(&fault.Refusal{Reason: reason, NotRun: true}) >= 400, "%s", reason)
	}
	assert.Equal(t, HTTPStatus(&fault.Refusal{Reason: "no such reason"}), http.StatusInternalServerError)
}
