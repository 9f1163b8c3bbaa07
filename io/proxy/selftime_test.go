package proxy

import (
	"testing"
	"time"

	"chicorymast/config"
	"chicorymast/core/admit"
	"chicorymast/core/ident"
	"chicorymast/io/event"
	"chicorymast/io/header"
	"chicorymast/io/timer"

	"gotest.tools/v3/assert"
)

// runsInStep lets the upstream run calls of two routes in pairs whose nested
// calls cannot be told apart: the deadlines of a pair are equal, and all nested
// calls are attributed to the first of it. It returns the concurrency limit.
func runsInStep(p *Proxy, clock *timer.Manual, rounds int, nestedTime time.Duration) (limit int) {
	const pairs = 10
	for range rounds {
		start := clock.Now()
		var runs []*servedCall
		var tickets []admit.Ticket
		for n := range 2 * pairs {
			c := header.Call{Route: "shop", Service: "shop", TimeoutMs: 5000, AdmittedShare: 1}
			ticket, _ := p.admission.arrive(c, upstreamCapacity{slots: 2 * pairs})
			tickets = append(tickets, ticket)
			runs = append(runs, &servedCall{call: c, deadline: start.Add(5*time.Second + time.Duration(n/2)*time.Second)})
		}
		for n := range runs {
			parent := runs[n/2*2]
			parent.lendRetries(clock.Now())
			p.entryAdmission.recordNestedCall("shop", "deep")
		}
		clock.Advance(nestedTime)
		for n := range runs {
			runs[n/2*2].settleRetries(clock.Now(), 0, 0, false)
		}
		clock.Advance(20 * time.Millisecond)
		for n, run := range runs {
			p.admission.leave(tickets[n], p.measureRun(run, start, admit.Sample{}))
		}
	}
	return p.admission.load().Limit
}

func TestSlowNestedCallsDoNotLowerTheLimit(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	cfg := config.Default()
	p := &Proxy{opt: Options{Log: event.Discard(), Clock: clock, Config: func() *config.Config { return &cfg }}}
	p.admission, p.entryAdmission = newAdmission(p.opt), newEntryAdmission(p.opt)
	assert.Equal(t, runsInStep(p, clock, 50, 50*time.Millisecond), 20)
	assert.Equal(t, runsInStep(p, clock, 50, 500*time.Millisecond), 20, "the upstream itself is as fast as before")
	assert.Assert(t, !p.entryAdmission.selfTimeKnown(ident.Route("shop")))
	assert.Assert(t, p.entryAdmission.selfTimeKnown(ident.Route("other")), "its runs make no nested calls")
}
