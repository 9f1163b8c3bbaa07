package admit

import (
	"math"
	"time"

	"chicorymast/core/meter"
)

// admitFeedback computes the share of the demand that entries should admit, so that
// the upstream stays just below saturation. It answers overload of a service deep in
// call trees that take up to a few seconds, at up to ten times its capacity.
//
// Each call brings the share at which its entry admitted it, so the work of the calls
// that arrive, each divided by its share, is the whole demand, however old the shares
// are and however long a call takes to get here: the share to admit is one over that
// demand. A controller that only raises and lowers the share while too little or too
// much work arrives must be slower than the trees, or it swings.
//
// That estimate stays wrong where a call brings another share than the one by which it
// was admitted: the parent of a nested call may be guessed, and another service may
// refuse calls of the same trees. The upstream would then stay idle or flooded. So a slow
// feedback corrects the estimate by the work that arrives. It does so only while the
// share is steady, since after a change the arriving work lags behind.
//
// Entries refuse by the mean of the shares of a service's upstreams. Each therefore
// also follows that mean, which calls bring along; otherwise two could drift apart, one
// asking to refuse everything and another nothing.
type admitFeedback struct {
	// arrivedWork is the work of arriving calls in slot seconds, demandedWork the same
	// divided by the share of each call.
	arrivedWork, demandedWork meter.Meter
	// admit is the share of the demand to admit; zero means that no call has arrived.
	admit float64
	// steadyAdmit follows admit slowly; the two are equal while the share is steady.
	steadyAdmit float64
	// correction is the factor by which demandedWork overestimates the demand.
	correction float64
	// serviceRefuseShare is the moving average of the mean share to refuse of the
	// service.
	serviceRefuseShare float64
	updated            time.Time
}

const (
	// workWindow is the averaging time of the work.
	workWindow = 500 * time.Millisecond
	// targetUtilisation is the share of the slots to keep busy; the rest absorbs
	// bursts.
	targetUtilisation = 0.95
	// slotsPerWaiting is the part of a slot that each waiting call is given, so that a
	// standing queue empties.
	slotsPerWaiting = 0.1
	// feedbackInterval is the time between two updates.
	feedbackInterval = 50 * time.Millisecond
	// followTime is the time constant with which the share follows the demand.
	followTime = 500 * time.Millisecond
	// steadyTime is the time constant of steadyAdmit: a share counts as steady when it
	// has lasted for as long as a call tree takes.
	steadyTime = time.Second
	// steadyRange is the largest |ln(admit/steadyAdmit)| at which the estimate is still
	// corrected.
	steadyRange = 0.2
	// correctionTime is the time constant of the correction. It is longer than the
	// responses take to carry a share to the entries and the calls to arrive.
	correctionTime = 4 * time.Second
	// maxCorrection is the largest correction; 1/maxCorrection is the smallest.
	maxCorrection = 4.0
	// elsewhereRatio tells whether another service decides how many calls arrive: the
	// share at which they were admitted is then below this part of admit.
	elsewhereRatio = 0.8
	// agreementTime is the time constant with which the share follows the mean of the
	// service. It is longer than followTime, so that the demand prevails.
	agreementTime = 5 * time.Second
	// shareWeight is the weight of one call in the mean share of the service.
	shareWeight = 0.02
	// minUtilisation is the smallest part of the capacity that is counted as used, or
	// left beside a queue; it limits the speed of changes.
	minUtilisation = 0.3
	// minAdmitShare is the smallest share to admit.
	minAdmitShare = 0.03
)

// arrived records an arriving call that holds a slot for holdTime, the share at which
// its entry admitted it, and the mean share to refuse of the service.
func (f *admitFeedback) arrived(now time.Time, holdTime time.Duration, admittedShare, serviceRefuseShare float64) {
	if f.admit == 0 {
		f.arrivedWork, f.demandedWork = meter.New(workWindow), meter.New(workWindow)
		f.admit, f.steadyAdmit, f.correction, f.updated = 1, 1, 1, now
	}
	f.arrivedWork.Add(now, holdTime.Seconds())
	f.demandedWork.Add(now, holdTime.Seconds()/max(admittedShare, minAdmitShare))
	f.serviceRefuseShare += shareWeight * (serviceRefuseShare - f.serviceRefuseShare)
}

// rescale applies another cost of a call to those that have arrived. What was learned of
// the error of the estimate does not hold for the other cost.
func (f *admitFeedback) rescale(factor float64) {
	f.arrivedWork.Scale(factor)
	f.demandedWork.Scale(factor)
	if f.admit > 0 {
		f.correction = 1
	}
}

// update computes the share to admit and returns it. Capacity is the work in slots that
// should arrive while no call waits; spare is less than that by what empties the queue.
func (f *admitFeedback) update(now time.Time, capacity, spare float64) float64 {
	if f.admit == 0 {
		return 1
	}
	elapsed := now.Sub(f.updated)
	if elapsed < feedbackInterval {
		return f.admit
	}
	f.updated = now
	f.correct(now, elapsed, max(capacity, 1))
	target := 1.0
	if demand := f.demandedWork.Rate(now) / max(spare, 1); demand > f.correction {
		target = max(f.correction/demand, minAdmitShare)
	}
	f.admit = approach(f.admit, target, elapsed, followTime)
	f.admit = approach(f.admit, max(1-f.serviceRefuseShare, minAdmitShare), elapsed, agreementTime)
	f.admit = min(max(f.admit, minAdmitShare), 1)
	return f.admit
}

// correct adapts the correction to the work that arrives.
func (f *admitFeedback) correct(now time.Time, elapsed time.Duration, capacity float64) {
	f.steadyAdmit = approach(f.steadyAdmit, f.admit, elapsed, steadyTime)
	arrived, demanded := f.arrivedWork.Rate(now), f.demandedWork.Rate(now)
	utilisation := min(max(arrived/capacity, minUtilisation), 1/minUtilisation)
	switch {
	case f.admit == 1 && utilisation <= 1:
		f.correction = approach(f.correction, 1, elapsed, correctionTime)
	case utilisation < 1 && arrived < elsewhereRatio*f.admit*demanded:
		// Another service refuses more than this one asks for.
	default:
		steady := max(0, 1-math.Abs(math.Log(f.admit/f.steadyAdmit))/steadyRange)
		f.correction = approach(f.correction, f.correction/utilisation, time.Duration(steady*float64(elapsed)), correctionTime)
		f.correction = min(max(f.correction, 1/maxCorrection), maxCorrection)
	}
}

// approach returns the value moved toward the target along an exponential with a time
// constant, on a logarithmic scale: a doubling takes as long as a halving.
func approach(value, target float64, elapsed, timeConstant time.Duration) float64 {
	return value * math.Pow(target/value, 1-math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
}

// RefuseShare returns the share of the demand for this upstream that should be
// refused at the entries, from 0 to 1.
func (c *Controller) RefuseShare(now time.Time) float64 {
	return 1 - c.updateAdmitShare(now)
}

// updateAdmitShare updates the share to admit and returns it.
func (c *Controller) updateAdmitShare(now time.Time) float64 {
	return c.feedback.update(now, c.carriedSlots(targetUtilisation*c.demandConcurrency()), c.carriedSlots(c.spareCapacity()))
}

// spareCapacity returns the slots that arriving calls may take, besides those that
// empty the queue.
func (c *Controller) spareCapacity() float64 {
	limit := c.demandConcurrency()
	return max(minUtilisation*limit, targetUtilisation*limit-slotsPerWaiting*float64(c.waiting))
}

// Status is the state of a controller that explains its refusals.
type Status struct {
	Load
	Slots int
	// ArrivingSlots is the work that arrives, in slots.
	ArrivingSlots float64
	// StartedPerSecond is the rate at which calls start.
	StartedPerSecond float64
	MeanHold         time.Duration
	RefuseShare      float64
	// AcceptedShare is the share of the calls sent to the upstream that it accepts.
	AcceptedShare float64
	// Arrived, Refused and ShedByUpstream count calls since the controller was
	// created.
	Arrived, Refused, ShedByUpstream uint64
}

// StartedPerSecond returns the rate at which calls start.
func (c *Controller) StartedPerSecond(now time.Time) float64 {
	return c.started.Rate(now)
}

// Status returns the current state.
func (c *Controller) Status(now time.Time) Status {
	s := c.counts
	s.Load = c.Load(now)
	s.Slots = c.cfg.Slots
	s.MeanHold = c.meanHold
	s.RefuseShare = c.RefuseShare(now)
	s.AcceptedShare = c.AcceptedShare(now)
	s.StartedPerSecond = c.started.Rate(now)
	s.ArrivingSlots = c.feedback.arrivedWork.Rate(now)
	return s
}
