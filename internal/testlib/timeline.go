package testlib

import (
	"container/heap"
	"time"
)

// Timeline is the future of a test whose clock is injected: moments run in the
// order of their time, and those of one time in the order in which they came.
type Timeline struct {
	now     time.Time
	seq     int
	moments moments
}

// NewTimeline returns a Timeline without moments that begins at start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the time of the moment that runs.
func (t *Timeline) Now() time.Time { return t.now }

// Schedule has do run when d has passed.
func (t *Timeline) Schedule(d time.Duration, do func()) {
	t.seq++
	heap.Push(&t.moments, moment{at: t.now.Add(d), seq: t.seq, do: do})
}

// Run runs every moment up to end, end itself included, which is then now.
func (t *Timeline) Run(end time.Time) {
	for len(t.moments) > 0 && !t.moments[0].at.After(end) {
		m := heap.Pop(&t.moments).(moment)
		t.now = m.at
		m.do()
	}
	t.now = end
}

type moment struct {
	at  time.Time
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}
