// Package fresh bounds how far the configuration of a daemon may lag behind the leader,
// and decides what a daemon that lags may still answer for certain.
//
// # Usage
//
//	asOf := fresh.AsOf(sent, held, age)       // what a reply of a relay confirms
//	timeout := silence.Begin(now, hold)       // of the next sync
//	switch v := fresh.Judge(age, left, waited).(type) {
//	case fresh.Certain:   // refuse for good
//	case fresh.Recheck:   // wait up to v.Within for a confirmation, then look again
//	case fresh.Uncertain: // refuse as not run
//	}
//
// A change is in force on a daemon at the latest after the sum of the stages: the notice
// of the commit reaches the relays (CommitNotice), a relay that fell silent is noticed
// (SyncHold and SyncSlack) or one that lost the leader says so (StaleAfter), and the search
// for another one returns the configuration (SearchTimeout). LagBound is this sum.
package fresh

import "time"

const (
	// InForce is the time within which a change is in force on every daemon that can
	// reach the control daemons.
	InForce = 2 * time.Second
	// CommitNotice is the time until a relay that can reach the leader has a commit. A
	// lost notice is repeated with the next heartbeat.
	CommitNotice = 100 * time.Millisecond
	// SyncHold is how long a relay may hold a sync that returns nothing new.
	SyncHold = time.Second
	// SyncSlack is the time for the rest of a sync, a slow round trip included.
	SyncSlack = 400 * time.Millisecond
	// FirstSyncLimit bounds the first sync with a relay, which may return all of the
	// configuration and all members, as long as its reply is arriving.
	FirstSyncLimit = 10 * time.Second
	// StaleAfter is the age at which a relay's configuration is stale.
	StaleAfter = 800 * time.Millisecond
	// SearchTimeout leaves a relay on another continent time to answer.
	SearchTimeout = 400 * time.Millisecond
	// LagBound is the sum of the stages in the worst case.
	LagBound = CommitNotice + max(SyncHold+SyncSlack, StaleAfter) + SearchTimeout
)

// AsOf returns the latest time for which a reply is known to confirm the configuration.
// The request was sent at the given time and held by the relay; at its reply the relay's
// own confirmation had the given age. How long the reply was on its way is not known, so
// all of that time counts as age.
func AsOf(sent time.Time, held, age time.Duration) time.Time {
	return sent.Add(held - age)
}

// Hold returns when a relay that holds a sync looks again whether to hold it on, and reports
// false if it should reply now: when no time is left, or when a configuration that was fresh
// at the start of the sync has become stale, so that the daemon looks for another relay.
func Hold(left, age time.Duration, wasFresh bool) (check time.Duration, ok bool) {
	if wasFresh {
		left = min(left, StaleAfter-age)
	}
	return left, left > 0
}

// Silence measures for how long a relay has not replied. The zero value is ready for use.
type Silence struct {
	// due is when the relay counts as silent, zero if it owes no reply.
	due time.Time
}

// Begin returns the timeout of a sync that the relay may hold for the given time. A sync
// that follows one without a reply gets no time beyond that of the former.
func (s *Silence) Begin(now time.Time, hold time.Duration) (timeout time.Duration) {
	due := now.Add(hold + SyncSlack)
	if s.due.IsZero() || due.Before(s.due) {
		s.due = due
	}
	return s.due.Sub(now)
}

// End records that the relay has replied, or is not used any more.
func (s *Silence) End() {
	s.due = time.Time{}
}

const (
	// MaxCertainAge is the age of a configuration up to which the absence of something in
	// it is certain: within InForce nothing has to be in force yet.
	MaxCertainAge = InForce - 200*time.Millisecond
	// recheckWait is how long a caller waits at most for a confirmation; a search of the
	// daemon for another relay ends meanwhile.
	recheckWait = SearchTimeout + 100*time.Millisecond
	// recheckShare is the largest part of the caller's time that the wait may take.
	recheckShare = 4
	// maxRecheckAge is the age above which a confirmation is not expected soon: the daemon
	// is cut off.
	maxRecheckAge = 3 * InForce
)

// Verdict says whether a refusal may stand that rests on the absence of something from the
// configuration, such as a route or a key. The set is sealed.
type Verdict interface{ isVerdict() }

// Certain lets the refusal stand.
type Certain struct{}

// Recheck asks to wait for a confirmation and then to decide anew.
type Recheck struct{ Within time.Duration }

// Uncertain asks for a refusal that says nothing for certain: the request has not run and
// may be sent again.
type Uncertain struct{}

func (Certain) isVerdict()   {}
func (Recheck) isVerdict()   {}
func (Uncertain) isVerdict() {}

// Judge returns the verdict on such a refusal by the age of the configuration. The caller
// has the given time left; waited is set after a Recheck.
func Judge(age, left time.Duration, waited bool) Verdict {
	switch {
	case age <= MaxCertainAge:
		return Certain{}
	case waited || age > maxRecheckAge:
		return Uncertain{}
	}
	return Recheck{Within: min(recheckWait, left/recheckShare)}
}
