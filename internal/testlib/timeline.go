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

// Now returns the simulated time: that of the function which is running or,
// between calls of Run, the end of the last one.
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
		m := heap.Pop(&t.events).(event)
		t.now = m.at
		m.run()
	}
	t.now = end
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (m eventHeap) Len() int { return len(m) }
func (m eventHeap) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m eventHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventHeap) Push(x any)   { *m = append(*m, x.(event)) }
func (m *eventHeap) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}
