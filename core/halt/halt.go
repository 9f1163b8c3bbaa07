// Package halt decides what a daemon that is stopping still accepts, and until when a call
// may run.
//
// # Usage
//
//	stop := halt.New(now, delay, timeout) // when the daemon is asked to stop
//	switch v := stop.Accept(now, limit).(type) {
//	case halt.Run:    // run the call for v.Within at most
//	case halt.Refuse: // refuse it as not run; other daemons can take it
//	}
//
// During the delay, callers and other daemons learn that the daemon stops, and calls are
// accepted. The time after it is for the calls that run: one that comes later, however it
// came, could end without an answer, and one that may run once at most without a known
// outcome. So it is refused while others can still take it, and what runs is answered
// before the process ends.
package halt

import "time"

const (
	// answerMargin is the time before the end of the process for the last answers.
	answerMargin = 200 * time.Millisecond
	// minRun is the least time that a call gets if it asks for as much. Most end within it.
	minRun = time.Second
)

// Stop is a planned stop. The zero value stands for a daemon that is not asked to stop.
type Stop struct {
	acceptUntil, answerBy time.Time
}

// New returns a stop that begins now: calls are accepted during the delay, and the process
// ends after the timeout.
func New(now time.Time, delay, timeout time.Duration) Stop {
	return Stop{acceptUntil: now.Add(delay), answerBy: now.Add(max(0, timeout-answerMargin))}
}

// Verdict says whether a call is accepted. The set is sealed.
type Verdict interface{ isVerdict() }

// Run accepts a call, which may take the given time.
type Run struct{ Within time.Duration }

// Refuse refuses a call as not run.
type Refuse struct{}

func (Run) isVerdict()    {}
func (Refuse) isVerdict() {}

// Accept returns the verdict on a call that could be sent on now and may take the time of
// the limit.
func (s Stop) Accept(now time.Time, limit time.Duration) Verdict {
	left := s.answerBy.Sub(now)
	switch {
	case s == Stop{}:
		return Run{Within: limit}
	case now.After(s.acceptUntil) || left < min(limit, minRun):
		return Refuse{}
	}
	return Run{Within: min(limit, left)}
}
