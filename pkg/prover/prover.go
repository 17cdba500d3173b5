// Package prover keeps the proof that a node's configuration is the newest:
// since keys can be taken away, a node serves a keyed request only while its
// last proof is young enough.
package prover

import "time"

// Prover remembers until when the configuration in force was known to be the
// newest. Times are readings of a clock that goes on while the VM is suspended.
// It is an immutable value; the zero value has no proof.
type Prover struct {
	proven  bool
	at      time.Duration
	version uint64
}

// New returns a Prover without proof.
func New() Prover { return Prover{} }

// WithProof returns the state after version was confirmed as the newest by an
// answer to a question asked at sent. An older question proves nothing new.
func (p Prover) WithProof(version uint64, sent time.Duration) Prover {
	if p.proven && (version < p.version || sent <= p.at) {
		return p
	}
	return Prover{proven: true, at: sent, version: version}
}

// Version returns the configuration version of the last proof.
func (p Prover) Version() uint64 { return p.version }

// Age returns how old the proof is at now, and whether there is one.
func (p Prover) Age(now time.Duration) (time.Duration, bool) { return now - p.at, p.proven }

// Fresh reports whether a proof of at most limit's age exists at now. One that is
// dated later than now was dated by another clock, and proves nothing.
func (p Prover) Fresh(now, limit time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age >= 0 && age <= limit
}
