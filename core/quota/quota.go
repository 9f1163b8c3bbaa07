// Package quota divides the rate and burst of each grant among all VMs, so
// that together they never admit more than the grant allows.
//
// # Usage
//
//	owner := quota.NewOwner(idleUntil, rate, burst, share)
//	lease := owner.Lease(now, vm, request)             // at the grant's owner
//
//	var h quota.Holder                                 // at each daemon
//	if h.Take(now) { ... }                             // on the hot path
//	request := h.RequestLease(now, waiting)
//	allowed := h.Receive(now, sent, lease)
//
// Tokens are taken from the owner's bucket when they are leased, and leased
// tokens count against the burst, so leased tokens and those in the bucket never
// exceed the burst together. A holder stops spending a lease before the owner
// considers it expired. Rates are in calls per second. All types do no I/O and
// are not safe for concurrent use.
package quota
