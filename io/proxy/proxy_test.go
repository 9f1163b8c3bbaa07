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

// mustEnd checks the final refusal of a dispatch with these attempts.
func mustEnd(t testing.TB, reason fault.Reason, notRun bool, attempts ...attempt) {
	t.Helper()
	j := newJourney(&outbound{call: header.Call{Service: "katalog", Retries: 3}})
	for i, a := range attempts {
		j.note(ident.VM(fmt.Sprint(i)), 0, a)
	}
	_, _, r := j.refuse(false)
	assert.Equal(t, r.Reason, reason)
	assert.Equal(t, r.NotRun, notRun)
}

func TestNotRunIsTrueOfAllAttempts(t *testing.T) {
	shed := attempt{refusal: fault.Refuse(fault.ReasonOverload, "")}
	broken := attempt{refusal: fault.Failed(fault.ReasonUpstreamFailed, "")}
	answered503 := attempt{answer: &answered{status: 503, header: http.Header{}}}
	proved := attempt{answer: &answered{status: 503, header: http.Header{header.NotRun: {"true"}}}}
	mustEnd(t, fault.ReasonNoUpstream, true)
	mustEnd(t, fault.ReasonOverload, true, shed, shed)
	mustEnd(t, fault.ReasonOverload, false, broken, shed)
	mustEnd(t, fault.ReasonOverload, false, answered503, shed)
	mustEnd(t, fault.ReasonOverload, true, proved, shed)
	mustEnd(t, fault.ReasonUpstreamFailed, false, shed, broken)
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
	for reason := range statuses {
		assert.Assert(t, HTTPStatus(&fault.Refusal{Reason: reason, NotRun: true}) >= 400, "%s", reason)
	}
	assert.Equal(t, HTTPStatus(&fault.Refusal{Reason: "no such reason"}), http.StatusInternalServerError)
}
