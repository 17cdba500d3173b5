package detector

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimTime is how long a claim is known before its trial may start. It is more than twice
	// the time in which the nodes of a large fleet hear of a claim (0.6 s), so that of two nodes
	// that claim the same trial both know of each other by then.
	claimTime = 1500 * time.Millisecond
	// trialWindow is how long after that the trial may start, and trialTime how long its node
	// waits for the outcome.
	trialWindow = 2 * time.Second
	trialTime   = 5 * time.Second
	// claimTTL is how long the other nodes leave the trial to the one that has claimed it.
	claimTTL = claimTime + trialWindow + trialTime
	// isolationTime is how long a node hears nothing before it tries without the consent of
	// others. It spans six messages to a node of a large fleet. All nodes may be isolated at once,
	// when both aggregators fail, so each one waits for a time of its own of up to maxDelay.
	isolationTime = 3 * time.Second
	maxDelay      = 15 * time.Second
	maxClaims     = maxPoisons
)

// Claim announces that a node is about to run a request whose rejection has ended.
type Claim struct {
	// Rejection is a hash of the features of the rejected requests.
	Rejection uint64
	// ID tells claims for the same trial apart. The smallest one prevails.
	ID uint64
	// AgeMS is how long ago the trial was claimed.
	AgeMS int64
}

// claim is a Claim as the Detector keeps it.
type claim struct {
	id  uint64
	at  time.Time
	own bool
}

// isSettled reports whether all nodes have heard of the claim, so that no other one prevails.
func (c claim) isSettled(now time.Time) bool { return now.Sub(c.at) >= claimTime }

// prevails reports whether a claim takes precedence over another one.
func (c claim) prevails(now time.Time, o claim) bool {
	if settled := c.isSettled(now); settled != o.isSettled(now) {
		return settled
	}
	return c.id < o.id
}

// UntilTrial returns how long it takes until Rejects tells whether this node may run a rejected
// request with the given features on trial. pending is false if it has not claimed the trial.
func (d *Detector) UntilTrial(now time.Time, features []Feature) (wait time.Duration, pending bool) {
	if d.inForce(now, features) || d.isIsolated(now) {
		return 0, false
	}
	for _, p := range d.poisons {
		c, known := d.liveClaim(now, p)
		if known && c.own && !c.isSettled(now) && p.matches(features) {
			wait, pending = max(wait, claimTime-now.Sub(c.at)), true
		}
	}
	return wait, pending
}

// claimTrial reports whether this node may run a request of an ended rejection. If no node has
// claimed that trial, this one does.
func (d *Detector) claimTrial(now time.Time, p *poison) bool {
	if d.isIsolated(now) {
		return d.heardAt.IsZero() || !now.Before(p.until.Add(d.delay))
	}
	c, known := d.liveClaim(now, p)
	if !known && len(d.claims) < maxClaims {
		d.claims[p.hash()] = claim{id: d.rnd.Uint64(), at: now, own: true}
	}
	return known && c.own && c.isSettled(now) && now.Sub(c.at) < claimTime+trialWindow
}

func (d *Detector) liveClaim(now time.Time, p *poison) (c claim, known bool) {
	c, known = d.claims[p.hash()]
	return c, known && now.Sub(c.at) < claimTTL
}

// isIsolated reports whether this node hears no other node, with which it would have to agree.
func (d *Detector) isIsolated(now time.Time) bool { return now.Sub(d.heardAt) >= isolationTime }

// reportedClaims returns the claims of this node, and on judges, which pass them on, those of all
// nodes.
func (d *Detector) reportedClaims(now time.Time) []Claim {
	var out []Claim
	for rejection, c := range d.claims {
		if c.own || d.judges {
			out = append(out, Claim{Rejection: rejection, ID: c.id, AgeMS: now.Sub(c.at).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b Claim) int { return cmp.Compare(a.Rejection, b.Rejection) })
	return out
}

func (d *Detector) mergeClaim(now time.Time, reported Claim) {
	age := time.Duration(reported.AgeMS) * time.Millisecond
	if reported.AgeMS < 0 || reported.AgeMS >= claimTTL.Milliseconds() {
		return
	}
	c := claim{id: reported.ID, at: now.Add(-age)}
	known, ok := d.claims[reported.Rejection]
	switch {
	case !ok && len(d.claims) >= maxClaims:
	case !ok, c.prevails(now, known):
		d.claims[reported.Rejection] = c
	case c.id == known.id && !known.own && c.at.Before(known.at):
		d.claims[reported.Rejection] = c
	}
}

// expireClaims removes the claims that other nodes needn't respect any more.
func (d *Detector) expireClaims(now time.Time) {
	for rejection, c := range d.claims {
		if now.Sub(c.at) >= claimTTL {
			delete(d.claims, rejection)
		}
	}
}

// hash identifies a rejection in messages.
func (p *poison) hash() uint64 {
	b := make([]byte, 0, maxFeatures*8)
	for _, f := range p.features {
		b = binary.BigEndian.AppendUint64(b, uint64(f))
	}
	return xxhash.Sum64(b)
}
