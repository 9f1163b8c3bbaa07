// Package sample bounds how many reports of one kind are written, and keeps
// those that say most.
//
// # Usage
//
//	s := sample.New(10, 50)                    // 10 a second, 50 at once
//	if s.Allow(now, sample.Key{Reason: "overload", Route: "browse"}) { ... }
//	for _, o := range s.TakeOmitted() { ... }  // what was left out since the last call
//
// While there is room, every report is allowed. When less than half of the burst is
// left, each key gets an equal part of the rate, so that a frequent cause does not
// hide a rare one. The first report of a key in each second is allowed even
// beyond that, as far as another burst. The load that this answers is an overload in
// which most of the requests are refused. A Sampler does no I/O and is not safe for
// concurrent use.
package sample

import (
	"cmp"
	"slices"
	"time"

	"chicorymast/core/ident"
)

// Key is what reports are grouped by.
type Key struct {
	Reason  string
	Route   ident.Route
	Service ident.Service
}

// Omission is the number of reports of a key that were left out.
type Omission struct {
	Key   Key
	Count uint64
}

const (
	// window is the time after which the reports of a key are counted anew.
	window = time.Second
	// maxKeys bounds the memory of a sampler; further keys share an empty one.
	maxKeys = 256
)

// Sampler decides which reports of one kind are written.
type Sampler struct {
	rate, burst float64
	tokens      float64
	updated     time.Time
	windowStart time.Time
	// written counts the reports allowed in this window.
	written map[Key]int
	omitted map[Key]uint64
}

// New returns a sampler that allows rate reports per second and burst at once.
func New(rate float64, burst int) *Sampler {
	return &Sampler{
		rate: rate, burst: float64(burst), tokens: float64(burst),
		written: map[Key]int{}, omitted: map[Key]uint64{},
	}
}

// Configure changes the limits.
func (s *Sampler) Configure(rate float64, burst int) {
	s.rate, s.burst = rate, float64(burst)
	s.tokens = min(s.tokens, s.burst)
}

// Allow reports whether to write a report, and counts it as written or omitted.
func (s *Sampler) Allow(now time.Time, k Key) bool {
	s.advance(now)
	if _, known := s.written[k]; !known && len(s.written) >= maxKeys {
		k = Key{}
	}
	if !s.hasRoom(s.written[k]) {
		s.omit(k)
		return false
	}
	s.tokens--
	s.written[k]++
	return true
}

func (s *Sampler) omit(k Key) {
	if _, known := s.omitted[k]; !known && len(s.omitted) >= maxKeys {
		k = Key{}
	}
	s.omitted[k]++
}

// hasRoom reports whether a key of which n reports were allowed in this window may
// have another one.
func (s *Sampler) hasRoom(n int) bool {
	switch {
	case n == 0:
		return s.tokens > -s.burst
	case s.tokens < 1:
		return false
	case s.tokens > s.burst/2:
		return true
	}
	return float64(n) < s.rate*window.Seconds()/float64(len(s.written))
}

func (s *Sampler) advance(now time.Time) {
	s.tokens = min(s.burst, s.tokens+s.rate*max(0, now.Sub(s.updated).Seconds()))
	s.updated = now
	if now.Sub(s.windowStart) >= window {
		s.windowStart = now
		clear(s.written)
	}
}

// TakeOmitted returns the reports that were left out since the last call, the most
// frequent key first.
func (s *Sampler) TakeOmitted() []Omission {
	if len(s.omitted) == 0 {
		return nil
	}
	out := make([]Omission, 0, len(s.omitted))
	for k, n := range s.omitted {
		out = append(out, Omission{Key: k, Count: n})
	}
	clear(s.omitted)
	slices.SortFunc(out, func(a, b Omission) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key.Reason, b.Key.Reason),
			cmp.Compare(a.Key.Route, b.Key.Route), cmp.Compare(a.Key.Service, b.Key.Service))
	})
	return out
}
