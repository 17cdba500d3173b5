// Package budgeter bounds how often requests are sent to a service more than
// once: the fleet's budget is a share of the requests in a sliding window plus
// a fixed allowance, and each node spends its own part of it.
package budgeter

import "time"

// Limits is the fleet's budget.
type Limits struct {
	// Ratio is how many repeats each request earns.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Allowance is how many repeats a window may have besides.
	Allowance int
}

const (
	buckets = 20 // of a window
	// safety keeps a part of the budget unspent, since nodes count on clocks
	// of their own and the number of nodes may change within a window.
	safety = 0.6
)

// Budgeter is the part of one node. It is not safe for concurrent use.
type Budgeter struct {
	limits   Limits
	requests [2 * buckets]int // two windows: repeats may follow late requests
	repeats  [2 * buckets]int
	slot     int64
}

// New returns an unspent Budgeter.
func New(l Limits) *Budgeter { return &Budgeter{limits: l} }

// RecordRequest counts a request at now.
func (b *Budgeter) RecordRequest(now time.Time) {
	b.requests[b.advance(now)]++
}

// Allow takes one repeat out of the budget of a fleet of nodes and reports
// whether there was one.
func (b *Budgeter) Allow(now time.Time, nodes int) bool {
	if !b.Available(now, nodes) {
		return false
	}
	b.repeats[b.advance(now)]++
	return true
}

// Available reports whether Allow would find a repeat in the budget.
func (b *Budgeter) Available(now time.Time, nodes int) bool {
	i := b.advance(now)
	requests, repeats := 0, 0
	for k := range buckets {
		j := (i - k + 2*buckets) % (2 * buckets)
		requests += b.requests[j]
		repeats += b.repeats[j]
	}
	budget := safety * (b.limits.Ratio*float64(requests) + float64(b.limits.Allowance)/float64(max(1, nodes)))
	return float64(repeats+1) <= budget
}

// advance empties the buckets that time has passed over and returns that of
// now.
func (b *Budgeter) advance(now time.Time) int {
	slot := now.UnixNano() / max(1, int64(b.limits.Window/buckets))
	if gap := slot - b.slot; gap > 0 {
		for k := range min(gap, 2*buckets) {
			i := int((slot - k) % (2 * buckets))
			b.requests[i], b.repeats[i] = 0, 0
		}
		b.slot = slot
	}
	return int(b.slot % (2 * buckets))
}
