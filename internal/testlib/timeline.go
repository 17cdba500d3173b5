package testlib

import (
	"container/heap"
	"time"
)

// Timeline schedules the functions of a discrete-event simulation. They run in
// the order of their times; functions of the same time run in the order in which
// they were scheduled.
type Timeline struct {
	now    time.Time
	seq    int
	events eventHeap
}

// NewTimeline returns an empty Timeline that begins at start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the simulated time: within a scheduled function the time at which it
// is due, otherwise the end of the last call of Run.
func (t *Timeline) Now() time.Time { return t.now }

// Schedule makes Run call run once d has passed.
func (t *Timeline) Schedule(d time.Duration, run func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now.Add(d), seq: t.seq, run: run})
}

// Run calls the functions that are due up to and including end, and then sets
// the time to end.
func (t *Timeline) Run(end time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
