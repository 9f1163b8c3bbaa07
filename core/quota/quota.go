// Package quota divides the rate and burst of each grant over all VMs, so
// that together they never admit more than the grant allows.
//
// # Usage
//
//	owner := quota.NewOwner(now, rate, burst)
//	lease := owner.Lease(now, holder, want, spent)     // at the grant's owner
//
//	h := quota.NewHolder()
//	h.Receive(now, lease)                              // at each daemon
//	if h.Take(now) { ... }                             // on the hot path
//
// Tokens are taken from the owner's bucket when they are leased, and what is
// leased counts against the burst, so leased and kept tokens are never more
// than the burst. A holder stops spending a lease before the owner considers
// it ended. Rates are in calls per second. All types are pure and not safe
// for concurrent use.
package quota
