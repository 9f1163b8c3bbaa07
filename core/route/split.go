package route

import (
	"math/rand/v2"

	"chicorymast/core/ident"
	"chicorymast/core/intent"
)

// Split chooses among the services of a split so that even short runs keep to
// the weights: each call goes to the service that is furthest behind its part
// (smooth weighted round robin). It is not safe for concurrent use.
type Split struct {
	rng    *rand.Rand
	behind map[ident.Service]float64
}

// NewSplit returns a split that begins at a random place, so that daemons do
// not all begin with the same service.
func NewSplit(rng *rand.Rand) *Split {
	return &Split{rng: rng, behind: map[ident.Service]float64{}}
}

// Next returns the service of the next call. Weights may change between calls.
func (s *Split) Next(parts []intent.SplitPart) ident.Service {
	total := 0.0
	for _, p := range parts {
		total += float64(p.Weight)
	}
	var best ident.Service
	for _, p := range parts {
		if _, known := s.behind[p.Service]; !known {
			s.behind[p.Service] = s.rng.Float64() * total
		}
		s.behind[p.Service] += float64(p.Weight)
		if p.Weight > 0 && (best == "" || s.behind[p.Service] > s.behind[best]) {
			best = p.Service
		}
	}
	s.behind[best] -= total
	return best
}
