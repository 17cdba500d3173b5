// Package retrier bounds retries to a share of the successes, so that a
// failing fleet is not buried under its own repeats.
package retrier

// Retrier is a budget of retries. It is not safe for concurrent use.
type Retrier struct {
	ratio  float64
	limit  float64
	tokens float64
}

// New returns a Retrier that earns ratio retries for each success and holds
// limit at most; it starts full, so that a restarted node can retry.
func New(ratio, limit float64) *Retrier {
	return &Retrier{ratio: ratio, limit: limit, tokens: limit}
}

// RecordSuccess earns a share of a retry.
func (r *Retrier) RecordSuccess() { r.tokens = min(r.limit, r.tokens+r.ratio) }

// Allow takes one retry from the budget and reports whether there was one.
func (r *Retrier) Allow() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
