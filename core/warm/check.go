package warm

import "time"

// Result is what a health check shows: Stated or Unanswered.
type Result interface{ isResult() }

// Stated is the time for which the upstream says that it stays cold, zero for none.
type Stated struct{ Left time.Duration }

// Unanswered stands for a health check that was refused, late or silent about the state.
type Unanswered struct{}

func (Stated) isResult()     {}
func (Unanswered) isResult() {}

// checks decides when a health check is worth its cost.
type checks struct {
	available bool
	running   bool
	// nextAt is the earliest time of the next check.
	nextAt time.Time
	// unverified is set while only an announcement, which may be late, says that the
	// upstream is cold.
	unverified bool
	// suspected is set when calls are rejected or slow, as those of a cold upstream are.
	suspected   bool
	suspectFrom time.Time
}

const (
	// checkInterval is the least time between two health checks.
	checkInterval = 50 * time.Millisecond
	// retryInterval is the least time after a health check without an answer.
	retryInterval = 250 * time.Millisecond
	// suspectInterval is the least time between two health checks of an upstream that
	// serves and rejects calls or is slow. It may do so for long while it is warm.
	suspectInterval = time.Second
)

// SetCheckable says whether the upstream has a health check.
func (t *Tracker) SetCheckable(available bool) {
	t.checks.available = available
}

// Suspect notes that the upstream rejects calls or has become slow.
func (t *Tracker) Suspect(now time.Time) {
	if t.phase == PhaseWarm && !now.Before(t.checks.suspectFrom) {
		t.checks.suspected = true
	}
}

// WantsCheck reports whether a health check should be sent now. Short is set if calls have
// to wait for the pace, or nearly: as long as none has to, the state does not matter.
func (t *Tracker) WantsCheck(now time.Time, short bool) bool {
	c := &t.checks
	if !t.spec.Enabled() || !c.available || !t.serving || c.running || now.Before(c.nextAt) {
		return false
	}
	switch t.phase {
	case PhaseWarm:
		return c.suspected
	case PhaseUncertain:
		return short && t.sends.room(now)
	case PhaseCold:
		ended := !now.Before(t.until)
		return (ended || (c.unverified && short)) && t.sends.room(now)
	}
	return false
}

// StartCheck notes that a health check is sent. It counts as a call.
func (t *Tracker) StartCheck(now time.Time) {
	c := &t.checks
	c.running, c.suspected = true, false
	c.nextAt, c.suspectFrom = now.Add(checkInterval), now.Add(suspectInterval)
	t.sends.add(now)
}

// Checking reports whether a health check is being made.
func (t *Tracker) Checking() bool {
	return t.checks.running
}

// Checked applies the result of a health check that was sent at a time.
func (t *Tracker) Checked(now, sent time.Time, r Result) {
	t.checks.running = false
	switch r := r.(type) {
	case Stated:
		t.stated(now, sent, r.Left)
	case Unanswered:
		t.checks.nextAt = later(t.checks.nextAt, now.Add(retryInterval))
	}
}

func (t *Tracker) stated(now, sent time.Time, left time.Duration) {
	if sent.Before(t.since) {
		return // the doubt is younger
	}
	t.checks.unverified = false
	if left <= 0 {
		t.phase, t.until = PhaseWarm, time.Time{}
		return
	}
	if t.phase == PhaseWarm {
		t.sends.countFrom(time.Time{})
	}
	t.phase, t.since, t.until = PhaseCold, sent, now.Add(t.clamp(left))
}

// confirmTime returns for how long a cold time that has ended waits for a confirmation.
func (c *checks) confirmTime() time.Duration {
	if !c.available {
		return 0
	}
	return confirmTime
}
