package proxy

import (
	"hash/maphash"
	"sync"
	"time"
)

// sentIDs remembers which action ids were sent to the upstream on this VM. An answer is
// told from an earlier one by the id that it echoes, so an id that is sent again needs a
// connection on which no answer to it can be left over.
type sentIDs struct {
	seed maphash.Seed
	mu   sync.Mutex
	// recent holds the hashes of the ids since rotatedAt, former those of the time before.
	recent, former map[uint64]struct{}
	rotatedAt      time.Time
}

const (
	// sentIDPeriod is the shortest time for which an id is remembered, unless there are
	// more than maxSentIDs. Idle connections are kept for half of it.
	sentIDPeriod = 30 * time.Second
	maxSentIDs   = 1 << 14
)

func newSentIDs() *sentIDs {
	return &sentIDs{seed: maphash.MakeSeed(), recent: map[uint64]struct{}{}}
}

// add adds an id and reports whether it may have been sent before. An empty id always may.
func (s *sentIDs) add(now time.Time, id string) (repeated bool) {
	if id == "" {
		return true
	}
	hash := maphash.String(s.seed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rotatedAt) > sentIDPeriod || len(s.recent) >= maxSentIDs {
		s.recent, s.former, s.rotatedAt = map[uint64]struct{}{}, s.recent, now
	}
	_, inRecent := s.recent[hash]
	_, inFormer := s.former[hash]
	s.recent[hash] = struct{}{}
	return inRecent || inFormer
}
