// Package estimator estimates how long a request takes from those of its route that
// were answered lately.
package estimator

import "time"

const (
	// kept is the number of answers remembered for each route.
	kept = 32
	// memory is how long an answer tells how busy the upstreams are.
	memory = 10 * time.Second
)

// Sample is how long a whole answer took.
type Sample struct {
	At time.Time
	// First is the time to its first event, or to the whole answer of a plain
	// service.
	First time.Duration
	// Rest is the time from there to the last event.
	Rest time.Duration
	// Output is the largest number of tokens that was asked for; 0 for not known.
	Output int
}

type route struct {
	answers [kept]Sample
	next    int
}

// Estimator remembers answers. It is not safe for concurrent use.
type Estimator struct {
	routes map[string]*route
	swept  time.Time
}

// New returns an Estimator that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Record takes an answer of a route.
func (e *Estimator) Record(name string, a Sample) {
	e.sweep(a.At)
	r, ok := e.routes[name]
	if !ok {
		r = &route{}
		e.routes[name] = r
	}
	r.answers[r.next] = a
	r.next = (r.next + 1) % kept
}

// Estimate returns how long a request of a route that asks for output tokens is
// expected to take at most, and 0 if no answer of the route tells. It goes by the
// longest wait for a first event and the slowest pace after it: requests that take
// longest are those that haven't been answered yet. Where the number of tokens isn't
// known, whole answers are compared.
func (e *Estimator) Estimate(now time.Time, name string, output int) time.Duration {
	r, ok := e.routes[name]
	if !ok {
		return 0
	}
	var whole, first, pace time.Duration
	for _, a := range r.answers {
		if now.Sub(a.At) > memory {
			continue
		}
		whole = max(whole, a.First+a.Rest)
		if a.Output > 0 {
			first = max(first, a.First)
			pace = max(pace, a.Rest/time.Duration(a.Output))
		}
	}
	if output == 0 {
		return whole
	}
	return first + pace*time.Duration(output)
}

// sweep forgets the routes that have had no answer lately.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.swept) < memory {
		return
	}
	e.swept = now
	for name, r := range e.routes {
		if now.Sub(r.answers[(r.next+kept-1)%kept].At) > memory {
			delete(e.routes, name)
		}
	}
}
