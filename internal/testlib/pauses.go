package testlib

import (
	"sync"
	"testing"
	"time"
)

// shortestPause is how late a goroutine wakes up at least if Pauses counts it.
const shortestPause = 10 * time.Millisecond

// Pauses records when the machine kept the test process from running.
type Pauses struct {
	mu     sync.Mutex
	last   time.Time // when the process last ran
	pauses []pause
}

type pause struct{ from, to time.Time }

// WatchPauses returns Pauses that are recorded until the test ends.
func WatchPauses(t testing.TB) *Pauses {
	p := &Pauses{last: time.Now()}
	var wg sync.WaitGroup
	ended := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
				p.record(time.Now())
			}
		}
	})
	t.Cleanup(func() { close(ended); wg.Wait() })
	return p
}

func (p *Pauses) record(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) >= shortestPause {
		p.pauses = append(p.pauses, pause{from: p.last, to: now})
	}
	p.last = now
}

// Since returns how long the process was paused after start.
func (p *Pauses) Since(start time.Time) time.Duration {
	p.record(time.Now()) // the goroutine may not have run since the last pause
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum time.Duration
	for _, q := range p.pauses {
		if q.from.Before(start) {
			q.from = start
		}
		sum += max(0, q.to.Sub(q.from))
	}
	return sum
}
