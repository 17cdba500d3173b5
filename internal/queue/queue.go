// Package queue provides a bounded queue between goroutines.
package queue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue, safe for concurrent use. When it
// is full, Push blocks (back-pressure) and Offer drops the item and counts it.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// New returns an empty queue that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// Push adds v. It blocks while the queue is full, until ctx is canceled.
func (q *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case q.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer adds v if there is room and reports whether it did.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.items <- v:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which items are received.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Dropped returns the number of items that Offer has dropped.
func (q *Queue[T]) Dropped() int64 { return q.dropped.Load() }
