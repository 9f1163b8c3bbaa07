// Package meter averages what comes unevenly: sums whose parts fade away.
//
// # Usage
//
//	m := meter.New(10 * time.Second)
//	m.Add(now, 1)
//	perSecond := m.Rate(now)
//
// A meter that has been fed evenly for several of its spans shows the true
// rate; one that is new shows too little. It is not safe for concurrent use.
package meter

import (
	"math"
	"time"
)

// Meter is a sum that halves about every 0.7 of its span.
type Meter struct {
	over time.Duration
	sum  float64
	at   time.Time
}

// New returns a meter that averages over a span.
func New(over time.Duration) Meter {
	return Meter{over: over}
}

// GetOrCreate returns the meter of a key, a new one over the span where there is none.
func GetOrCreate[K comparable](meters map[K]*Meter, key K, span time.Duration) *Meter {
	m := meters[key]
	if m == nil {
		m = &Meter{over: span}
		meters[key] = m
	}
	return m
}

// Add counts n at a time.
func (m *Meter) Add(now time.Time, n float64) {
	m.fade(now)
	m.sum += n
}

// Sum returns what is left of all that was added.
func (m *Meter) Sum(now time.Time) float64 {
	m.fade(now)
	return m.sum
}

// Rate returns the mean per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.over <= 0 {
		return 0
	}
	return m.Sum(now) / m.over.Seconds()
}

func (m *Meter) fade(now time.Time) {
	if !now.After(m.at) {
		return
	}
	if !m.at.IsZero() {
		m.sum *= math.Exp(-now.Sub(m.at).Seconds() / m.over.Seconds())
	}
	m.at = now
}
