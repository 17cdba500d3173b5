package scheduler

import (
	"time"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// command is a message to the goroutine of a Scheduler.
type command interface{ command() }

type admit struct {
	request admitter.Request
	first   *pick // executed on admission; nil for none
	reply   chan Admission
}

// Admission is the result of Admit. If Kind is failure.None, the request holds a
// slot of its pool until ReleaseSlot.
type Admission struct {
	Kind failure.Kind
	// First is the pick for the first attempt; nil if none was requested or the
	// request was rejected.
	First *PickResult
}

type abandon struct{ ticket uint64 }

type releaseSlot struct{ pool string }

type pick struct {
	query       router.Query
	fingerprint quarantiner.Fingerprint
	retry       bool
	reserved    bool // the request is reserved, and may run though it is a suspect
	chain       hasher.Chain
	reply       chan PickResult // nil if the result is part of an Admission
}

type firstToken struct{ run Run }

type runEnded struct {
	run    Run
	result Result
}

type upstreamCrashed struct {
	run   Run
	reply chan []quarantiner.Report
}

type loadReport struct {
	id     string
	report router.Report
}

type engineList struct{ list []router.Engine }

type suspectReports struct{ reports []quarantiner.Report }

type suspectQuery struct {
	fingerprint quarantiner.Fingerprint
	reply       chan quarantiner.State
}

type cancelReservation struct{ fingerprint quarantiner.Fingerprint }

type hintBatch struct{ hints []peerlink.Hint }

type snapshotRequest struct{ reply chan Snapshot }

func (admit) command()             {}
func (abandon) command()           {}
func (releaseSlot) command()       {}
func (pick) command()              {}
func (firstToken) command()        {}
func (runEnded) command()          {}
func (upstreamCrashed) command()   {}
func (loadReport) command()        {}
func (engineList) command()        {}
func (suspectReports) command()    {}
func (suspectQuery) command()      {}
func (cancelReservation) command() {}
func (hintBatch) command()         {}
func (snapshotRequest) command()   {}

// Run is an attempt that has been assigned an upstream.
type Run struct {
	Choice        router.Choice
	id            uint64
	fingerprint   quarantiner.Fingerprint
	hasFirstToken bool
}

// WithFirstToken returns a copy of r that has its first token.
func (r Run) WithFirstToken() Run {
	r.hasFirstToken = true
	return r
}

// PickResult is the result of Pick: a run, or the reason why no upstream was
// chosen.
type PickResult struct {
	Run        Run
	Kind       failure.Kind
	Wait       bool // pick again after a pause
	Quarantine bool // the request must not run
	// Reserved means that the request is a suspect, and that no other run of it starts at
	// this node until PickReserved or CancelReservation.
	Reserved bool
}

// Found reports whether an upstream was chosen.
func (p PickResult) Found() bool {
	return !p.Wait && !p.Quarantine && !p.Reserved && p.Kind == failure.None
}

// Result describes how a run ended.
type Result struct {
	Failed bool
	// Refused means that the upstream did not run the request.
	Refused     bool
	Incarnation string
}

// Snapshot is the state of a scheduler at a point in time.
type Snapshot struct {
	Waiting  int // requests in the admission queue
	Running  int // requests at upstreams
	InFlight []InFlight
	At       time.Time
}

// InFlight is the number of requests of this node at an upstream.
type InFlight struct {
	Upstream string
	Requests int
}
