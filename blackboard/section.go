// Package blackboard holds the state that the controllers of one process
// share. Each section is an immutable snapshot that readers load atomically;
// its one writing controller replaces it as a whole.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Snapshot is one published state of a section. It is never modified.
type Snapshot[T any] struct {
	// Version counts the publications of the section, starting at 1. It is 0
	// in the initial snapshot.
	Version uint64
	// Value is the published state.
	Value T

	next chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *Snapshot[T]) Changed() <-chan struct{} { return s.next }

// Section publishes immutable snapshots of T. The zero value is ready to use
// and holds the zero T. Load is wait-free.
type Section[T any] struct {
	current atomic.Pointer[Snapshot[T]]
	writer  sync.Mutex
}

// Load returns the current snapshot.
func (s *Section[T]) Load() *Snapshot[T] {
	if snap := s.current.Load(); snap != nil {
		return snap
	}
	s.current.CompareAndSwap(nil, &Snapshot[T]{next: make(chan struct{})})
	return s.current.Load()
}

// Value returns the value of the current snapshot.
func (s *Section[T]) Value() T { return s.Load().Value }

// Publish replaces the value of the section and wakes everyone who waits for
// a change. It returns the new snapshot.
func (s *Section[T]) Publish(value T) *Snapshot[T] {
	return s.Update(func(T) T { return value })
}

// Update publishes the value that change derives from the current one. The
// function must not modify the value it is given. Updates are serialized.
func (s *Section[T]) Update(change func(T) T) *Snapshot[T] {
	s.writer.Lock()
	defer s.writer.Unlock()
	old := s.Load()
	snap := &Snapshot[T]{
		Version: old.Version + 1,
		Value:   change(old.Value),
		next:    make(chan struct{}),
	}
	s.current.Store(snap)
	close(old.next)
	return snap
}
