package route

import (
	"math"
	"time"

	"chicorymast/core/admit"
)

// rateShare is the share of the calls, of those that a daemon would send to a limited
// upstream, that it does send there. All daemons adapt their shares by the same figure,
// the rate of calls that arrive at the upstream, so none needs to know how many others
// there are, nor what they send.
type rateShare struct {
	limited bool
	value   float64
	updated time.Time
}

const (
	// targetRateUse is the part of a limit to use while others have room; the rest takes
	// up bursts, so that few calls are sent in vain.
	targetRateUse = 0.95
	// rateShareTime is the time in which the share follows the use, the averaging time of
	// the reported rate: a faster share would swing.
	rateShareTime = time.Second
	// minRateShare is the smallest share: some calls show when there is room again.
	minRateShare = 0.02
	// rateShareTTL is how long a share is used without a report. It rises meanwhile.
	rateShareTTL = 5 * time.Second
)

// observe adapts the share to a report.
func (s *rateShare) observe(now time.Time, l admit.Load) {
	if l.RateLimit == 0 {
		*s = rateShare{}
		return
	}
	if !s.limited {
		*s = rateShare{limited: true, value: 1, updated: now.Add(-rateShareTime)}
	}
	elapsed := min(now.Sub(s.updated), rateShareTime)
	s.value = s.share(now) * math.Pow(targetRateUse/max(l.RateUse, minRateShare), elapsed.Seconds()/rateShareTime.Seconds())
	s.value = min(max(s.value, minRateShare), 1)
	s.updated = now
}

// share returns the share to send, 1 for an upstream without a limit.
func (s *rateShare) share(now time.Time) float64 {
	if !s.limited {
		return 1
	}
	return min(1, s.value+max(0, (now.Sub(s.updated)-loadTTL).Seconds()/rateShareTTL.Seconds()))
}
