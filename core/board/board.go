// Package board holds the state shared by the components of a daemon, after the
// blackboard pattern: typed sections, each written by one controller and read by
// all others.
//
// # Usage
//
//	config := board.NewSection(&Config{...})
//	config.Write(&Config{...}) // only by the section's controller
//	cfg := config.Read()       // by any component; never nil after NewSection
//	<-config.Changed()         // closed at the next write
//
// A value must not be changed after it was written. Reads take no lock.
package board

import (
	"sync"
	"sync/atomic"
)

// Section holds one shared value.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// NewSection returns a section with an initial value.
func NewSection[T any](initial *T) *Section[T] {
	s := &Section[T]{changed: make(chan struct{})}
	s.value.Store(initial)
	return s
}

// Read returns the latest value.
func (s *Section[T]) Read() *T {
	return s.value.Load()
}

// Write replaces the value and closes the channel that Changed returned.
func (s *Section[T]) Write(v *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next write. Call it before Read;
// otherwise a write between the two calls goes unnoticed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
