package admit

import (
	"time"

	"chicorymast/core/meter"
)

const (
	// acceptedWindow is the averaging time of the accepted share.
	acceptedWindow = 500 * time.Millisecond
	// minAcceptedCalls is the number of calls in the window below which the share is not
	// known; a few rejections among them would say little.
	minAcceptedCalls = 8
	// minAcceptedShare is the smallest share that is reported.
	minAcceptedShare = 0.01
	// fullShare is the share from which all calls count as accepted.
	fullShare = 0.995
)

// acceptanceMeter measures the share of the calls sent to an upstream that it accepts. One that
// rejects calls is not necessarily full: a faulty one rejects a share of them at any load,
// and fewer calls do not raise the share.
type acceptanceMeter struct {
	calls, rejected meter.Meter
}

func newAcceptanceMeter() acceptanceMeter {
	return acceptanceMeter{calls: meter.New(acceptedWindow), rejected: meter.New(acceptedWindow)}
}

// observe records a call that has ended. A call without a hold time has not been sent.
func (a *acceptanceMeter) observe(now time.Time, s Sample) {
	switch {
	case s.Rejected:
		a.calls.Add(now, 1)
		a.rejected.Add(now, 1)
	case s.HoldTime > 0:
		a.calls.Add(now, 1)
	}
}

// share returns the share of the calls that the upstream accepts, 1 if it is not known.
func (a *acceptanceMeter) share(now time.Time) float64 {
	calls := a.calls.Sum(now)
	if calls < minAcceptedCalls {
		return 1
	}
	share := 1 - a.rejected.Sum(now)/calls
	if share >= fullShare {
		return 1
	}
	return max(share, minAcceptedShare)
}

// AcceptedShare returns the share of the calls sent to the upstream that it has accepted
// recently; 1 means all, or too few calls to tell.
func (c *Controller) AcceptedShare(now time.Time) float64 {
	return c.accepted.share(now)
}
