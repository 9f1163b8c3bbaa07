package route

import (
	"math/rand/v2"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// Split distributes calls among the services of a split in proportion to their
// weights, also over short runs: each call goes to the service that is furthest
// behind its share (smooth weighted round robin). It is not safe for concurrent
// use.
type Split struct {
	rng     *rand.Rand
	deficit map[ident.Service]float64
}

// NewSplit returns a split that starts at a random position, so that daemons
// don't all start with the same service.
func NewSplit(rng *rand.Rand) *Split {
	return &Split{rng: rng, deficit: map[ident.Service]float64{}}
}

// Next returns the service of the next call. The weights may change between
// calls.
func (s *Split) Next(parts []intent.SplitPart) ident.Service {
	total := 0.0
	for _, p := range parts {
		total += float64(p.Weight)
	}
	var next ident.Service
	for _, p := range parts {
		if _, known := s.deficit[p.Service]; !known {
			s.deficit[p.Service] = s.rng.Float64() * total
		}
		s.deficit[p.Service] += float64(p.Weight)
		if p.Weight > 0 && (next == "" || s.deficit[p.Service] > s.deficit[next]) {
			next = p.Service
		}
	}
	s.deficit[next] -= total
	return next
}
