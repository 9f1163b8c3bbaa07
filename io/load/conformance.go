package load

import (
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/quota"
)

// conformanceMeter decides which calls conform to the rate and burst of their
// workspace. It has a token bucket for each workspace and counts a call at the time
// when it was due.
type conformanceMeter struct {
	mu      sync.Mutex
	buckets map[string]*quota.Bucket
}

func newConformanceMeter(p Plan) *conformanceMeter {
	m := &conformanceMeter{buckets: map[string]*quota.Bucket{}}
	for _, s := range p.Streams {
		if s.GrantRate > 0 && m.buckets[s.Workspace] == nil {
			b := quota.NewBucket(time.Now(), ident.Rate(s.GrantRate), ident.Burst(s.GrantBurst), s.GrantBurst)
			m.buckets[s.Workspace] = &b
		}
	}
	return m
}

func (m *conformanceMeter) conforms(s Stream, due time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[s.Workspace]
	return b == nil || b.Take(due, 1)
}
