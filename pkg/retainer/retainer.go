// Package retainer decides which rejections the platform's store keeps for nodes that start
// while no other node can tell them.
package retainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// maxRejections and maxFeatures bound the record, which must fit into the store and
	// into a datagram.
	maxRejections = 32
	maxFeatures   = 1024
	maxHeld       = 4 * maxRejections
	// renewalTime is by how much a rejection must have been extended to be written again.
	renewalTime = time.Minute
)

// Retainer compares the rejections of a node with those in the store. It is not safe for
// concurrent use.
type Retainer struct {
	// held are those that this node has held and that have not ended. A write of one may
	// still take effect after the node has given it up.
	held []traffic.Rejection
}

// New returns a Retainer of a node that has held no rejections.
func New() *Retainer { return &Retainer{} }

// Next returns what the store should keep, and whether that differs from what it has. held
// is what this node rejects. A rejection that the node has never held may be one that it
// doesn't know of yet; only one that it has given up is removed.
func (r *Retainer) Next(now time.Time, stored, held []traffic.Rejection) (next []traffic.Rejection, changed bool) {
	next = distinct(held)
	for _, s := range stored {
		i := find(next, s)
		switch {
		case i >= 0 && next[i].Until.Sub(s.Until) < renewalTime:
			next[i] = s
		case i < 0 && find(r.held, s) < 0:
			next = append(next, s)
		}
	}
	for _, h := range held {
		if i := find(r.held, h); i >= 0 {
			r.held[i] = h
		} else {
			r.held = append(r.held, h)
		}
	}
	r.held = bounded(now, r.held, maxHeld)
	next = bounded(now, next, maxRejections)
	live := bounded(now, slices.Clone(stored), maxRejections)
	return next, !slices.EqualFunc(next, live, func(a, b traffic.Rejection) bool { return equal(a, b) && a.Until.Equal(b.Until) })
}

// bounded returns the rejections that have not ended, at most limit of them. It omits those
// that end first.
func bounded(now time.Time, rejections []traffic.Rejection, limit int) []traffic.Rejection {
	slices.SortFunc(rejections, func(a, b traffic.Rejection) int {
		return cmp.Or(b.Until.Compare(a.Until), slices.Compare(a.Features, b.Features))
	})
	features := 0
	for i, p := range rejections {
		features += len(p.Features)
		if i == limit || features > maxFeatures || !now.Before(p.Until) {
			return rejections[:i]
		}
	}
	return rejections
}

// distinct returns each of the rejections once, with its latest end.
func distinct(rejections []traffic.Rejection) []traffic.Rejection {
	var out []traffic.Rejection
	for _, p := range rejections {
		switch i := find(out, p); {
		case i < 0:
			out = append(out, p)
		case p.Until.After(out[i].Until):
			out[i] = p
		}
	}
	return out
}

func find(rejections []traffic.Rejection, p traffic.Rejection) int {
	return slices.IndexFunc(rejections, func(q traffic.Rejection) bool { return equal(q, p) })
}

func equal(a, b traffic.Rejection) bool { return slices.Equal(a.Features, b.Features) }
