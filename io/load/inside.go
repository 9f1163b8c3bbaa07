package load

import (
	"sync"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/quota"
)

// insideMeter tells which calls a workspace's rate and burst allow, by when
// they were due: one bucket for each workspace.
type insideMeter struct {
	mu      sync.Mutex
	buckets map[string]*quota.Bucket
}

func newInsideMeter(p Plan) *insideMeter {
	m := &insideMeter{buckets: map[string]*quota.Bucket{}}
	for _, s := range p.Streams {
		if s.GrantRate > 0 && m.buckets[s.Workspace] == nil {
			b := quota.NewBucket(time.Now(), ident.Rate(s.GrantRate), ident.Burst(s.GrantBurst), s.GrantBurst)
			m.buckets[s.Workspace] = &b
		}
	}
	return m
}

func (m *insideMeter) allows(s Stream, due time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[s.Workspace]
	return b == nil || b.Take(due, 1)
}
