package detector

import (
	"slices"
	"time"
)

// Feature is a hash of something that requests may have in common.
type Feature uint64

// Service is a hash of the name of a service.
type Service uint32

// LostRun is a run whose upstream ended the connection before the response was complete.
type LostRun struct {
	// Upstream is a hash of the incarnation.
	Upstream uint32
	// AgeMS is how long ago the run was lost, and DurationMS how long before that its
	// request was sent.
	AgeMS, DurationMS int64
	// Features are those of the request. The last one identifies it, whatever else it shares
	// with others.
	Features []Feature
	Service  Service
}

// Poison describes requests that crash upstreams: those that have all of its features.
type Poison struct {
	Features []Feature // sorted
	// RemainingMS is how long such requests are still rejected.
	RemainingMS int64
}

// Evidence is what nodes exchange. It is encoded as an array, so the order of the fields
// is part of the format. Later releases add fields at the end.
type Evidence struct {
	LostRuns []LostRun
	// Suspects have been lost with several upstreams. The receivers report if they have
	// seen a run with one of them succeed.
	Suspects []Feature
	// Cleared are former suspects with which a run has succeeded since.
	Cleared []Feature
	// Vouched are suspects with which a run had succeeded before they were suspected.
	Vouched []Feature
	Poisons []Poison
	// Served are services whose requests have succeeded. Nodes report them since protocol 4.
	Served []Service
	// Claims announce trials of rejected requests. Nodes report them since protocol 6.
	Claims []Claim
}

// WithoutReports returns the evidence that an aggregator passes on to nodes that don't
// judge themselves.
func (e Evidence) WithoutReports() Evidence {
	e.LostRuns, e.Vouched, e.Served = nil, nil, nil
	return e
}

// run is a lost run as the Detector keeps it.
type run struct {
	id       uint64  // identifies its reports
	request  Feature // identifies the request, also if it comes again
	sentAt   time.Time
	features []Feature
}

// lostRun is a run with the upstream that lost it.
type lostRun struct {
	service  Service
	upstream uint32
	run
}

// runTotals counts the runs of a node at a service by their end.
type runTotals struct{ succeeded, lost uint64 }

// crash holds the runs that were lost at one crash of an upstream.
type crash struct {
	service    Service
	upstream   uint32
	at         time.Time
	reportedAt time.Time // when this node learned of it
	// before counts the runs of this node at the service until then.
	before runTotals
	// checked is set once it is known that the upstream hasn't survived.
	checked bool
	// explained is set if a run lost there was poison: then the others are innocent.
	explained bool
	runs      []run
	// ownRuns is how many runs this node lost there.
	ownRuns uint64
}

// explain absolves the other runs of a crash if one with all of the given features was lost
// there.
func (c *crash) explain(features []Feature) {
	guilty := func(r run) bool { return containsAll(r.features, features) }
	if !slices.ContainsFunc(c.runs, guilty) {
		return
	}
	for i, r := range c.runs {
		if !guilty(r) && !c.explained {
			c.runs[i].features = nil
		}
	}
	c.explained = true
}

func (c *crash) has(id uint64) bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.id == id })
}

func (c *crash) hasFeature(f Feature) bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return slices.Contains(r.features, f) })
}

// poison is a Poison as the Detector keeps it.
type poison struct {
	features []Feature // sorted
	until    time.Time
	// provisional is set if an outage may be the cause.
	provisional bool
	// triedUntil is set while one request runs after that.
	triedUntil time.Time
}

// accountsFor reports whether the loss of a run is no evidence against its other features. Of
// a single request that was sent again, any feature may still be the cause.
func (p *poison) accountsFor(r run) bool {
	return p.matches(r.features) && !slices.Contains(p.features, r.request)
}

// rejects reports whether the rejection has not ended, or a request runs on trial.
func (p *poison) rejects(now time.Time) bool {
	return now.Before(p.until) || now.Before(p.triedUntil)
}

func (p *poison) matches(features []Feature) bool { return containsAll(features, p.features) }

func containsAll(all, some []Feature) bool {
	for _, f := range some {
		if !slices.Contains(all, f) {
			return false
		}
	}
	return true
}
