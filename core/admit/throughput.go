package admit

import "time"

// SetThroughput sets the rate of calls that the daemon itself can carry, zero for any. It
// answers daemons whose processor time is the bottleneck: entries are asked to refuse as if
// the upstream had only the slots that such a rate fills.
func (c *Controller) SetThroughput(perSecond float64) {
	c.throughput = max(0, perSecond)
}

// carriedSlots returns the part of a number of slots that calls can fill at the rate that the
// daemon carries.
func (c *Controller) carriedSlots(slots float64) float64 {
	if c.throughput == 0 || c.meanHold == 0 {
		return slots
	}
	return min(slots, c.throughput*c.slotTime(c.meanHold).Seconds())
}

// throughputUse returns the rate of arriving calls relative to the one that the daemon can
// carry, zero without a limit.
func (c *Controller) throughputUse(now time.Time) float64 {
	if c.throughput == 0 {
		return 0
	}
	return c.arrivals.Rate(now) / c.throughput
}
