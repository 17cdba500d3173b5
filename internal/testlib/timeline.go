package testlib

import (
	"container/heap"
	"time"
)

// Timeline is the future of a test whose clock is injected: moments run in the
// order of their time, and those of one time in the order in which they came.
type Timeline struct {
	now    time.Time
	seq    int
	events eventHeap
}

// NewTimeline returns a Timeline without moments that begins at start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the time of the moment that runs.
func (t *Timeline) Now() time.Time { return t.now }

// Schedule has do run when d has passed.
func (t *Timeline) Schedule(d time.Duration, do func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now.Add(d), seq: t.seq, run: do})
}

// Run runs every moment up to end, end itself included, which is then now.
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
