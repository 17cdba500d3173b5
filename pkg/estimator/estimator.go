// Package estimator estimates how long a request takes, from the recent responses
// of its route.
package estimator

import "time"

const (
	// samplesPerRoute is the number of responses kept for each route.
	samplesPerRoute = 32
	// maxSampleAge is how long a response reflects the load of the upstreams.
	maxSampleAge = 10 * time.Second
)

// Sample is the timing of one complete response.
type Sample struct {
	At time.Time
	// First is the time to its first event, or to the whole response of a plain
	// service.
	First time.Duration
	// Rest is the time from there to the last event.
	Rest time.Duration
	// MaxOutput is the largest number of output tokens that was requested, 0 if
	// unknown.
	MaxOutput int
}

type route struct {
	samples [samplesPerRoute]Sample
	next    int
}

// Estimator keeps the latest samples of each route. It is not safe for concurrent
// use.
type Estimator struct {
	routes  map[string]*route
	sweptAt time.Time
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Record adds a sample of a route.
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

// Estimate returns the longest time that a request of a route for output tokens is
// expected to take. It adds the longest time to a first event and the longest time per
// token: the slowest requests are those still without a complete response, so an
// average would be too short. If output is 0, which means unknown, it returns the
// longest time of a complete response. known is false without recent samples to
// estimate from.
func (e *Estimator) Estimate(now time.Time, routeName string, output int) (d time.Duration, known bool) {
	r, ok := e.routes[routeName]
	if !ok {
		return 0, false
	}
	var whole, first, perToken time.Duration
	for _, s := range r.samples {
		if now.Sub(s.At) > maxSampleAge {
			continue
		}
		whole = max(whole, s.First+s.Rest)
		known = known || output == 0
		if s.MaxOutput > 0 {
			known = true
			first = max(first, s.First)
			perToken = max(perToken, s.Rest/time.Duration(s.MaxOutput))
		}
	}
	if output == 0 {
		return whole, known
	}
	return first + perToken*time.Duration(output), known
}

// sweep removes the routes without recent samples.
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
