// Package prover tracks the freshness proof of a node: the last confirmation that
// its configuration is the newest. Since API keys can be revoked, a node serves a
// request with a key only while its last proof is recent enough.
package prover

import "time"

// Prover holds the time at which the configuration in force was last proven to
// be the newest. Times are readings of a clock that continues while the VM is
// suspended. Prover is an immutable value; the zero value has no proof.
type Prover struct {
	proven  bool
	sentAt  time.Duration
	version uint64
}

// New returns a Prover without a proof.
func New() Prover { return Prover{} }

// WithProof returns a Prover with the proof that version was the newest, from the
// response to a request sent at sent. A proof with an older version or of a request
// sent no later than that of the current proof is ignored.
func (p Prover) WithProof(version uint64, sent time.Duration) Prover {
	if p.proven && (version < p.version || sent <= p.sentAt) {
		return p
	}
	return Prover{proven: true, sentAt: sent, version: version}
}

// Version returns the configuration version of the proof, or 0 without one.
func (p Prover) Version() uint64 { return p.version }

// Age returns the age of the proof at now, and whether there is one.
func (p Prover) Age(now time.Duration) (time.Duration, bool) { return now - p.sentAt, p.proven }

// Fresh reports whether there is a proof that is at most limit old at now. A proof
// from the future is not fresh: its time stems from another clock.
func (p Prover) Fresh(now, limit time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age >= 0 && age <= limit
}
