// Package retrier limits retries to a share of the successful attempts, so that
// retries don't overload a failing fleet.
package retrier

// Retrier is a retry budget. It is not safe for concurrent use.
type Retrier struct {
	ratio  float64
	limit  float64
	tokens float64
}

// New returns a Retrier that gains ratio retries for each success and holds at
// most limit. It starts full, so that a restarted node can retry.
func New(ratio, limit float64) *Retrier {
	return &Retrier{ratio: ratio, limit: limit, tokens: limit}
}

// RecordSuccess records a successful attempt.
func (r *Retrier) RecordSuccess() { r.tokens = min(r.limit, r.tokens+r.ratio) }

// Allow spends one retry from the budget and reports whether there was one.
func (r *Retrier) Allow() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
