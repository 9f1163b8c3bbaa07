// Package meter averages irregular events with exponentially decaying sums.
//
// # Usage
//
//	m := meter.New(10 * time.Second)
//	m.Add(now, 1)
//	perSecond := m.Rate(now)
//
// After steady input for several time constants, a meter shows the true rate;
// before that it shows too low a rate. It is not safe for concurrent use.
package meter

import (
	"math"
	"time"
)

// Meter is a sum that decays exponentially; it halves in about 0.7 of its time
// constant.
type Meter struct {
	timeConstant time.Duration
	sum          float64
	updated      time.Time
}

// New returns a meter with a time constant.
func New(timeConstant time.Duration) Meter {
	return Meter{timeConstant: timeConstant}
}

// GetOrCreate returns the meter of a key and adds one with the given time
// constant if there is none.
func GetOrCreate[K comparable](meters map[K]*Meter, key K, timeConstant time.Duration) *Meter {
	m := meters[key]
	if m == nil {
		m = &Meter{timeConstant: timeConstant}
		meters[key] = m
	}
	return m
}

// Add adds n at the time now.
func (m *Meter) Add(now time.Time, n float64) {
	m.decay(now)
	m.sum += n
}

// Sum returns the decayed sum.
func (m *Meter) Sum(now time.Time) float64 {
	m.decay(now)
	return m.sum
}

// Scale multiplies what was added so far, when the unit of the events changes.
func (m *Meter) Scale(factor float64) {
	m.sum *= factor
}

// Rate returns the mean per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.timeConstant <= 0 {
		return 0
	}
	return m.Sum(now) / m.timeConstant.Seconds()
}

func (m *Meter) decay(now time.Time) {
	if !now.After(m.updated) {
		return
	}
	if !m.updated.IsZero() {
		m.sum *= math.Exp(-now.Sub(m.updated).Seconds() / m.timeConstant.Seconds())
	}
	m.updated = now
}
