// Package estimator estimates how long a request takes from those of its route that
// were answered lately.
package estimator

import "time"

const (
	// samplesPerRoute is the number of answers remembered for each route.
	samplesPerRoute = 32
	// maxSampleAge is how long an answer tells how busy the upstreams are.
	maxSampleAge = 10 * time.Second
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
	samples [samplesPerRoute]Sample
	next    int
}

// Estimator remembers answers. It is not safe for concurrent use.
type Estimator struct {
	routes  map[string]*route
	sweptAt time.Time
}

// New returns an Estimator that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Record takes an answer of a route.
func (e *Estimator) Record(routeName string, s Sample) {
	e.sweep(s.At)
	r, ok := e.routes[routeName]
	if !ok {
		r = &route{}
		e.routes[routeName] = r
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % samplesPerRoute
}

// Estimate returns how long a request of a route that asks for output tokens is
// expected to take at most, and 0 if no answer of the route tells. It goes by the
// longest wait for a first event and the slowest pace after it: requests that take
// longest are those that haven't been answered yet. Where the number of tokens isn't
// known, whole answers are compared.
func (e *Estimator) Estimate(now time.Time, routeName string, output int) time.Duration {
	r, ok := e.routes[routeName]
	if !ok {
		return 0
	}
	var whole, first, perToken time.Duration
	for _, s := range r.samples {
		if now.Sub(s.At) > maxSampleAge {
			continue
		}
		whole = max(whole, s.First+s.Rest)
		if s.Output > 0 {
			first = max(first, s.First)
			perToken = max(perToken, s.Rest/time.Duration(s.Output))
		}
	}
	if output == 0 {
		return whole
	}
	return first + perToken*time.Duration(output)
}

// sweep forgets the routes that have had no answer lately.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < maxSampleAge {
		return
	}
	e.sweptAt = now
	for name, r := range e.routes {
		if now.Sub(r.samples[(r.next+samplesPerRoute-1)%samplesPerRoute].At) > maxSampleAge {
			delete(e.routes, name)
		}
	}
}
