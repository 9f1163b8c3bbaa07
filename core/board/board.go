// Package board is the blackboard that joins the parts of a daemon: typed
// sections, each written by one controller and read by all.
//
// # Usage
//
//	var revision board.Section[Config]
//	revision.Write(&Config{...})       // its one controller
//	cfg := revision.Read()             // anyone; never nil after NewSection
//	<-revision.Changed()               // closed at the next write
//
// What is written must not be changed afterwards. Reading takes no lock.
package board

import (
	"sync"
	"sync/atomic"
)

// Section is one part of the blackboard.
type Section[T any] struct {
	value atomic.Pointer[T]
	mu    sync.Mutex
	next  chan struct{}
}

// NewSection returns a section with a first value.
func NewSection[T any](first *T) *Section[T] {
	s := &Section[T]{next: make(chan struct{})}
	s.value.Store(first)
	return s
}

// Read returns the value last written.
func (s *Section[T]) Read() *T {
	return s.value.Load()
}

// Write replaces the value and wakes those who wait for a change.
func (s *Section[T]) Write(v *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(v)
	close(s.next)
	s.next = make(chan struct{})
}

// Changed returns a channel that is closed at the next write. Take it before
// reading the value, or a write in between is missed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}
