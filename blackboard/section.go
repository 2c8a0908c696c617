// Package blackboard holds the state that the controllers of one process share.
// The state is divided into sections. A section holds an immutable snapshot that
// readers load atomically; the controller that writes the section replaces the
// snapshot as a whole.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Snapshot is one published state of a section. It is immutable.
type Snapshot[T any] struct {
	// Version counts the publications of the section, starting at 1. It is 0 in
	// the initial snapshot.
	Version uint64
	// Value is the published state.
	Value T

	changed chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot is published.
func (s *Snapshot[T]) Changed() <-chan struct{} { return s.changed }

// Section publishes immutable snapshots of T. The zero value is ready to use and
// holds the zero T. Its methods may be called from several goroutines; Load and
// Value are wait-free.
type Section[T any] struct {
	current  atomic.Pointer[Snapshot[T]]
	updateMu sync.Mutex // serializes updates
}

// Load returns the current snapshot.
func (s *Section[T]) Load() *Snapshot[T] {
	if snap := s.current.Load(); snap != nil {
		return snap
	}
	s.current.CompareAndSwap(nil, &Snapshot[T]{changed: make(chan struct{})})
	return s.current.Load()
}

// Value returns the value of the current snapshot.
func (s *Section[T]) Value() T { return s.Load().Value }

// Publish replaces the value of the section and wakes every goroutine that waits
// for a change. It returns the new snapshot.
func (s *Section[T]) Publish(value T) *Snapshot[T] {
	return s.Update(func(T) T { return value })
}

// Update publishes the value that change returns for the current value, and wakes
// every goroutine that waits for a change. Updates are serialized. The function
// must not modify the value that it is given, nor update the section.
func (s *Section[T]) Update(change func(T) T) *Snapshot[T] {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	old := s.Load()
	snap := &Snapshot[T]{
		Version: old.Version + 1,
		Value:   change(old.Value),
		changed: make(chan struct{}),
	}
	s.current.Store(snap)
	close(old.changed)
	return snap
}
