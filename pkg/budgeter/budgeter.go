// Package budgeter implements the retry budget of a service. The budget of the
// whole fleet is a share of the requests in a sliding window plus a fixed
// allowance. Each node spends its own part of it.
package budgeter

import "time"

// Limits is the retry budget of the fleet.
type Limits struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Allowance is the number of retries per window in addition to Ratio.
	Allowance float64
}

const (
	bucketsPerWindow = 20
	// usableShare is the share of the budget that is spent. The rest is kept as
	// a margin, since nodes count by their own clocks and the number of nodes
	// may change within a window.
	usableShare = 0.6
)

// Budgeter is one node's part of the budget. It is not safe for concurrent use.
type Budgeter struct {
	limits Limits
	// requests and retries are rings of two windows, since retries may follow late
	// requests. Available counts only the latest window.
	requests     [2 * bucketsPerWindow]int
	retries      [2 * bucketsPerWindow]int
	latestBucket int64
}

// New returns a Budgeter that has spent nothing.
func New(l Limits) *Budgeter { return &Budgeter{limits: l} }

// RecordRequest counts a request at now.
func (b *Budgeter) RecordRequest(now time.Time) {
	b.requests[b.advance(now)]++
}

// Allow spends one retry from this node's part of the budget, in a fleet of the
// given number of nodes, and reports whether there was one.
func (b *Budgeter) Allow(now time.Time, nodes int) bool {
	if !b.Available(now, nodes) {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// Available reports whether Allow would succeed. It spends nothing.
func (b *Budgeter) Available(now time.Time, nodes int) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for k := range bucketsPerWindow {
		j := (i - k + 2*bucketsPerWindow) % (2 * bucketsPerWindow)
		requests += b.requests[j]
		retries += b.retries[j]
	}
	budget := usableShare * (b.limits.Ratio*float64(requests) + b.limits.Allowance/float64(max(1, nodes)))
	return float64(retries+1) <= budget
}

// advance clears the buckets between the latest one and that of now, and returns
// the index of the bucket of now.
func (b *Budgeter) advance(now time.Time) int {
	bucket := now.UnixNano() / max(1, int64(b.limits.Window/bucketsPerWindow))
	if gap := bucket - b.latestBucket; gap > 0 {
		for k := range min(gap, 2*bucketsPerWindow) {
			i := int((bucket - k) % (2 * bucketsPerWindow))
			b.requests[i], b.retries[i] = 0, 0
		}
		b.latestBucket = bucket
	}
	return int(b.latestBucket % (2 * bucketsPerWindow))
}
