package detector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// poisonTTL is how long requests are rejected before one may run again.
	poisonTTL = 10 * time.Minute
	// provisionalTTL is the same for requests that may have been lost in an outage.
	provisionalTTL = 15 * time.Second
	// paroleTTL is how long after that a single crash suffices to reject them again.
	paroleTTL = time.Hour
	// suspicionTTL is how long a crash is remembered.
	suspicionTTL = 10 * time.Minute
	// reportTime is how long evidence is repeated, so that a lost message doesn't matter.
	reportTime = 2 * time.Second
	// servedTTL is how long a success shows that a service works, and servedInterval the time
	// between two reports of it.
	servedTTL      = 10 * time.Minute
	servedInterval = time.Minute
	// crashWindow is the time within which the runs lost at an upstream belong to the
	// same crash.
	crashWindow = 2 * time.Second

	maxFeatures  = 64   // of one run
	maxCrashes   = 128  // remembered
	maxRuns      = 64   // of one crash
	maxReports   = 48   // of each kind in one message
	maxPoisons   = 32   // remembered
	maxSuspects  = 4096 // remembered
	maxSucceeded = 4096 // features remembered, in each of two generations
	maxServices  = 256  // remembered
)

// report is an item of evidence that is repeated for reportTime.
type report[T any] struct {
	item T
	at   time.Time
}

// Detector holds the evidence known to a node. It is not safe for concurrent use.
type Detector struct {
	rnd        *rand.Rand
	delay      time.Duration // before the trial of an isolated node
	judges     bool
	heardAt    time.Time              // when the last evidence of a peer arrived
	claims     map[uint64]claim       // the prevailing claim of each rejection that has ended
	crashes    []*crash               // by time
	reportedAt time.Time              // when the last lost run was reported
	survivors  map[uint32][]time.Time // when upstreams lost runs and went on
	suspects   map[Feature]time.Time  // when the suspicion ends
	vouched    map[Feature]time.Time  // when a report of an earlier success ends
	cleared    map[Feature]time.Time  // until when reports of poison with the feature are void
	poisons    []*poison
	// succeeded and olderSucceeded are the features of runs that have succeeded here.
	succeeded, olderSucceeded map[Feature]struct{}
	totals                    map[Service]runTotals
	served                    map[Service]time.Time // until when a success at any node counts

	servedLately []report[Service]
	lostRuns     []report[lostRun]
	clearings    []report[Feature]
	vouchings    []report[Feature]
	foundLately  []Finding

	doubted   map[Feature]Reason // the last doubt of each suspect
	newDoubts []Doubt
	doubtsAt  time.Time
}

// Finding reports that a node started to reject requests.
type Finding struct {
	Features []Feature
	// Crashes is the number of crashes that support it, 0 if a peer reported it.
	Crashes int
	// Provisional is set if it may have been an outage: the rejection ends soon.
	Provisional bool
}

// New returns a Detector without evidence.
func New(rnd *rand.Rand) *Detector {
	return &Detector{
		rnd:       rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())),
		delay:     time.Duration(rnd.Int64N(int64(maxDelay))),
		claims:    map[uint64]claim{},
		survivors: map[uint32][]time.Time{},
		suspects:  map[Feature]time.Time{}, vouched: map[Feature]time.Time{}, cleared: map[Feature]time.Time{},
		succeeded: map[Feature]struct{}{}, olderSucceeded: map[Feature]struct{}{}, totals: map[Service]runTotals{}, served: map[Service]time.Time{},
		doubted: map[Feature]Reason{},
	}
}

// SetJudge sets whether the evidence of all nodes reaches this node. Only then does it
// decide what is poison; otherwise it relies on the nodes that do.
func (d *Detector) SetJudge(judges bool) { d.judges = judges }

// Rejects reports whether a request with the given features must not run. Once a rejection has
// ended, one node runs such a request on trial: this node claims the trial unless another one has.
func (d *Detector) Rejects(now time.Time, features []Feature) bool {
	if d.inForce(now, features) {
		return true
	}
	rejected := false
	for _, p := range d.poisons {
		if p.matches(features) && !d.claimTrial(now, p) {
			rejected = true
		}
	}
	return rejected
}

// inForce reports whether a rejection of requests with the given features has not ended.
func (d *Detector) inForce(now time.Time, features []Feature) bool {
	return slices.ContainsFunc(d.poisons, func(p *poison) bool { return p.rejects(now) && p.matches(features) })
}

// Suspects reports whether a request with the given features may have crashed an upstream:
// a run with one of them was lost, and none has succeeded since.
func (d *Detector) Suspects(now time.Time, features []Feature) bool {
	return slices.ContainsFunc(features, func(f Feature) bool { return now.Before(d.suspects[f]) })
}

// RecordSend records that a request is sent to an upstream. If it is the first one after a
// rejection, the others are rejected until its outcome is known.
func (d *Detector) RecordSend(now time.Time, features []Feature) {
	for _, p := range d.poisons {
		if !p.rejects(now) && p.matches(features) {
			p.triedUntil = now.Add(trialTime)
		}
	}
}

// RecordLoss records that a run was lost when its upstream ended the connection.
func (d *Detector) RecordLoss(now time.Time, service Service, upstream uint32, sentAt time.Time, features []Feature) {
	l := lostRun{service: service, upstream: upstream, run: newRun(sentAt, features)}
	d.countRuns(service, runTotals{lost: 1})
	if c := d.addLostRun(now, now, l); c != nil {
		c.ownRuns++
	}
	if len(d.lostRuns) < maxReports {
		d.lostRuns = append(d.lostRuns, report[lostRun]{l, now})
	}
}

func (d *Detector) countRuns(service Service, n runTotals) {
	t := d.totals[service]
	d.totals[service] = runTotals{succeeded: t.succeeded + n.succeeded, lost: t.lost + n.lost}
}

// newRun returns a run with at most maxFeatures features. The last one identifies the
// request.
func newRun(sentAt time.Time, features []Feature) run {
	if over := len(features) - maxFeatures; over > 0 {
		features = features[over:]
	}
	r := run{sentAt: sentAt, features: slices.Clone(features)}
	for _, f := range features {
		r.id = r.id*31 + uint64(f)
		r.request = f
	}
	return r
}

// RecordSuccess records that a run with the given features succeeded.
func (d *Detector) RecordSuccess(now time.Time, service Service, features []Feature) {
	d.countRuns(service, runTotals{succeeded: 1})
	if d.served[service].Sub(now) <= servedTTL-servedInterval {
		d.recordServed(now, service)
		if len(d.servedLately) < maxReports {
			d.servedLately = append(d.servedLately, report[Service]{service, now})
		}
	}
	for _, f := range features {
		d.succeeded[f] = struct{}{}
		if _, ok := d.suspects[f]; ok || d.isPoison(f) {
			d.clear(now, f)
			d.clearings = appendReport(d.clearings, f, now)
		}
	}
	if len(d.succeeded) >= maxSucceeded {
		d.succeeded, d.olderSucceeded = map[Feature]struct{}{}, d.succeeded
	}
}

func (d *Detector) recordServed(now time.Time, service Service) {
	if _, known := d.served[service]; known || len(d.served) < maxServices {
		d.served[service] = now.Add(servedTTL)
	}
}

func (d *Detector) isPoison(f Feature) bool {
	return slices.ContainsFunc(d.poisons, func(p *poison) bool { return slices.Contains(p.features, f) })
}

func appendReport(reports []report[Feature], f Feature, now time.Time) []report[Feature] {
	if len(reports) >= maxReports || slices.ContainsFunc(reports, func(r report[Feature]) bool { return r.item == f }) {
		return reports
	}
	return append(reports, report[Feature]{f, now})
}

// clear removes a feature from all suspicions.
func (d *Detector) clear(now time.Time, f Feature) {
	delete(d.suspects, f)
	d.cleared[f] = now.Add(crashWindow + reportTime)
	d.vouch(now, f)
	for _, c := range d.crashes {
		for i := range c.runs {
			c.runs[i].features = without(c.runs[i].features, f)
		}
	}
	var left []*poison
	for _, p := range d.poisons {
		p.features = without(p.features, f)
		i := slices.IndexFunc(left, func(q *poison) bool { return slices.Equal(q.features, p.features) })
		switch {
		case len(p.features) == 0:
		case i < 0:
			left = append(left, p)
		case p.until.After(left[i].until):
			left[i].until = p.until
		}
	}
	d.poisons = left
}

func without(features []Feature, f Feature) []Feature {
	if !slices.Contains(features, f) {
		return features
	}
	return slices.DeleteFunc(slices.Clone(features), func(g Feature) bool { return g == f })
}

// addLostRun adds a run to the crash of its upstream, unless it is known already, and returns
// the crash, nil if the upstream has survived.
func (d *Detector) addLostRun(now, lostAt time.Time, l lostRun) *crash {
	if d.survived(l.upstream, lostAt) {
		return nil
	}
	c, r := d.crashOf(now, lostAt, &l), l.run
	if c.has(r.id) || len(c.runs) >= maxRuns {
		return c
	}
	c.runs = append(c.runs, r)
	d.reportedAt = now
	for _, p := range slices.Clone(d.poisons) {
		if !p.matches(r.features) {
			continue
		}
		if !now.Before(p.until) {
			d.renew(now, p, now.Add(poisonTTL))
			d.foundLately = append(d.foundLately, Finding{Features: p.features, Crashes: 1})
		}
		c.explain(p.features)
	}
	if c.explained && !d.inForce(now, r.features) {
		c.runs[len(c.runs)-1].features = nil
		return c
	}
	for _, f := range r.features {
		d.suspect(now, f)
	}
	return c
}

// crashOf returns the crash at about the given time at which a run was lost.
func (d *Detector) crashOf(now, at time.Time, l *lostRun) *crash {
	for _, c := range d.crashes {
		if c.upstream == l.upstream && c.at.Sub(at).Abs() < crashWindow {
			return c
		}
	}
	c := &crash{service: l.service, upstream: l.upstream, at: at, reportedAt: now, before: d.totals[l.service]}
	i := len(d.crashes)
	for i > 0 && d.crashes[i-1].at.After(at) {
		i--
	}
	d.crashes = slices.Insert(d.crashes, i, c)
	if len(d.crashes) > maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	return c
}

// suspect marks a feature as a suspect, and vouches for it if a run with it has succeeded
// here.
func (d *Detector) suspect(now time.Time, f Feature) {
	_, known := d.suspects[f]
	if !known && len(d.suspects) >= maxSuspects {
		return
	}
	d.suspects[f] = now.Add(suspicionTTL)
	if known || !d.hasSucceeded(f) {
		return
	}
	d.vouch(now, f)
	d.vouchings = appendReport(d.vouchings, f, now)
}

// vouch records that a run with a feature has succeeded.
func (d *Detector) vouch(now time.Time, f Feature) {
	if _, known := d.vouched[f]; known || len(d.vouched) < maxSuspects {
		d.vouched[f] = now.Add(suspicionTTL)
	}
}

func (d *Detector) hasSucceeded(f Feature) bool {
	if _, ok := d.succeeded[f]; ok {
		return true
	}
	_, ok := d.olderSucceeded[f]
	return ok
}
