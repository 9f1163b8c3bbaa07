package ration

import (
	"sync"
	"time"

	"chicorymast/core/ident"
)

// silentVMs remembers which VMs did not answer, so that calls do not find it out one
// after another. After silentTime one request tries the VM again.
type silentVMs struct {
	mu       sync.Mutex
	askAgain map[ident.VM]time.Time
}

// silentTime is how long a VM that did not answer is not asked.
const silentTime = time.Second

func newSilentVMs() *silentVMs {
	return &silentVMs{askAgain: map[ident.VM]time.Time{}}
}

// mayAsk reports whether to ask a VM now. Of the requests after silentTime only one
// may, until it has ended.
func (s *silentVMs) mayAsk(now time.Time, vm ident.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, silent := s.askAgain[vm]
	if !silent {
		return true
	}
	if now.Before(at) {
		return false
	}
	s.askAgain[vm] = now.Add(silentTime)
	return true
}

// record records whether a VM has answered.
func (s *silentVMs) record(now time.Time, vm ident.VM, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.askAgain, vm)
		return
	}
	s.askAgain[vm] = now.Add(silentTime)
}
