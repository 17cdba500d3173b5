// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue, safe for concurrent use. When it is
// full, Push blocks (back-pressure) and Offer drops the item and counts it.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// New returns a Ring that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// Push adds v. It blocks while the queue is full, until ctx is canceled.
func (r *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer adds v if there is room and reports whether it did.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which items are received.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Dropped returns the number of items that Offer has dropped.
func (r *Queue[T]) Dropped() int64 { return r.dropped.Load() }
