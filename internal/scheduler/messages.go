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

type command interface{ command() }

type admit struct {
	work  admitter.Work
	first *pick // to be made with the admission; nil for none
	reply chan Admission
}

// Admission answers Admit. The request holds a place of its pool until Leave
// if Kind is failure.None.
type Admission struct {
	Kind failure.Kind
	// First is the upstream of the first attempt, if one was asked for.
	First *PickResult
}

type abandon struct{ ticket uint64 }

type leave struct{ pool string }

type pick struct {
	query       router.Query
	fingerprint quarantiner.Fingerprint
	retry       bool
	chain       hasher.Chain
	reply       chan PickResult // nil when the answer is part of an Admission
}

type began struct{ run Run }

type ended struct {
	run    Run
	result Result
}

type crashed struct {
	run   Run
	reply chan []quarantiner.Report
}

type report struct {
	id     string
	report router.Report
}

type engines struct{ list []router.Engine }

type suspects struct{ reports []quarantiner.Report }

type hints struct{ hints []peerlink.Hint }

type look struct{ reply chan Snapshot }

func (admit) command()    {}
func (abandon) command()  {}
func (leave) command()    {}
func (pick) command()     {}
func (began) command()    {}
func (ended) command()    {}
func (crashed) command()  {}
func (report) command()   {}
func (engines) command()  {}
func (suspects) command() {}
func (hints) command()    {}
func (look) command()     {}

// Run is one attempt that was given an upstream.
type Run struct {
	Choice      router.Choice
	id          uint64
	fingerprint quarantiner.Fingerprint
	began       bool
}

// WithFirstToken returns r after its first token.
func (r Run) WithFirstToken() Run {
	r.began = true
	return r
}

// PickResult answers Pick. Wait says to ask again after a pause.
type PickResult struct {
	Run        Run
	Kind       failure.Kind
	Wait       bool
	Quarantine bool
}

// Found reports whether an upstream was chosen.
func (p PickResult) Found() bool { return !p.Wait && !p.Quarantine && p.Kind == failure.None }

// Result is how a run ended.
type Result struct {
	Failed bool
	// Refused says that the upstream did not run it.
	Refused     bool
	Incarnation string
}

// Snapshot is a look at the scheduler's state.
type Snapshot struct {
	Waiting  int
	Running  int
	InFlight []InFlight
	At       time.Time
}

// InFlight is how many requests of this node run at an upstream.
type InFlight struct {
	Upstream string
	Requests int
}
