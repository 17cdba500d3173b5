package detector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a suspect may be poison, and
	// minLaterRuns in how many of them a run was lost that had been sent after the first:
	// a crash of many upstreams at once has many features in common.
	minCrashes   = 3
	minLaterRuns = 2
	// clearCrashes is the number of crashes at which nothing sound is lost each time.
	clearCrashes = 6
	// maxRivals is how many single requests that were lost equally often are all rejected, until
	// one of them is lost again.
	maxRivals = 4
	// minSharedCrashes is the number of crashes after which what several requests have in common
	// may be poison, though nothing else succeeds.
	minSharedCrashes = 5
	// vouchedFactor multiplies minCrashes and minLaterRuns for a suspect with which runs had
	// succeeded before.
	vouchedFactor = 2
	// minShare is the share of all crashes of its services since the first one that poison must
	// account for, as its inverse.
	minShare = 4
	// maxLossRatio is how many runs may be lost for each one that succeeds.
	maxLossRatio = 8
	// decisionTime is how long after the last report of a lost run it may still decide.
	decisionTime = 2 * time.Second
	// settleTime is the time within which the reports of a crash arrive from all nodes, and
	// observationTime the time in which a first success with a suspect may clear it.
	settleTime      = 400 * time.Millisecond
	observationTime = 700 * time.Millisecond
)

// tally counts the crashes at which a feature was lost.
type tally struct {
	feature Feature
	first   int // index of the first crash
	last    int // index of the latest crash
	crashes int
	// laterRuns is the number of crashes with a run that had been sent after the first.
	laterRuns int
	lastLater int
	vouched   bool
	services  []Service // where it was lost
	// run is the first one that it was lost with. single is set if all others are the same, or
	// differ only in what may not matter.
	run    uint64
	single bool
}

// Judge decides which features are poison and returns what this node started to reject
// since the last call, by its own decision or by a peer's. runs reports whether requests of
// any node run at an upstream.
func (d *Detector) Judge(now time.Time, runs func(upstream uint32) bool) []Finding {
	d.checkSurvivors(now, runs)
	for range maxPoisons {
		v, found := d.findPoison(now)
		if !found {
			break
		}
		ttl := poisonTTL
		if v.provisional {
			ttl = provisionalTTL
		}
		d.reject(now, v.common, now.Add(ttl))
		d.foundLately = append(d.foundLately, Finding{Features: v.common, Crashes: v.crashes, Provisional: v.provisional})
	}
	found := d.foundLately
	d.foundLately = nil
	return found
}

// checkSurvivors forgets the runs lost at upstreams that still run others: these have lost
// connections only.
func (d *Detector) checkSurvivors(now time.Time, runs func(upstream uint32) bool) {
	if !d.judges {
		return
	}
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool {
		if c.checked || now.Sub(c.reportedAt) < settleTime {
			return false
		}
		c.checked = true
		if !runs(c.upstream) {
			return false
		}
		d.survivors[c.upstream] = append(d.survivors[c.upstream], c.at)
		return true
	})
}

// survived reports whether an upstream is known to have gone on after it lost runs at about the
// given time.
func (d *Detector) survived(upstream uint32, at time.Time) bool {
	return slices.ContainsFunc(d.survivors[upstream], func(t time.Time) bool { return t.Sub(at).Abs() < settleTime })
}

// verdict is what the crashes say of a suspect.
type verdict struct {
	*tally
	// common are the features of all runs that were lost with it.
	common []Feature
	// provisional is set if nothing tells the suspect from an outage of its service, or from
	// another one.
	provisional bool
}

// findPoison returns the most probable cause of the crashes that isn't rejected yet. found is
// false if no suspect qualifies.
func (d *Detector) findPoison(now time.Time) (v verdict, found bool) {
	if !d.judges || !d.isUndecided(now) {
		return verdict{}, false
	}
	var settled []*crash
	for _, c := range d.crashes {
		if c.checked {
			settled = append(settled, c)
		}
	}
	if len(settled) < minCrashes {
		return verdict{}, false
	}
	candidates := d.candidates(now, settled)
	for i, v := range candidates {
		if d.inForce(now, v.common) {
			continue
		}
		switch {
		case v.single && !v.vouched && v.crashes < clearCrashes && len(v.rivals(candidates)) > 0:
			v.provisional = true
			if len(v.rivals(candidates)) < maxRivals {
				return v, true
			}
		case v.crashes >= clearCrashes, len(v.rivals(candidates[i+1:])) == 0:
			return v, true
		}
		d.doubt(v.tally, OtherSuspect)
		return verdict{}, false
	}
	return verdict{}, false
}

// candidates returns what may be poison and isn't known as such, the most probable cause first.
func (d *Detector) candidates(now time.Time, crashes []*crash) []verdict {
	var out []verdict
	for _, t := range d.count(crashes) {
		v := verdict{tally: t}
		reason := d.objection(now, t, crashes)
		switch {
		case reason == "":
		case (reason == NothingSucceeds || reason == SentAtOnce) && d.isSoleCause(t, crashes):
			v.provisional = true
		case t.crashes >= minCrashes:
			d.doubt(t, reason)
			continue
		default:
			continue
		}
		v.common = d.commonFeatures(crashes, t)
		if !d.isKnown(now, v.common) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, verdict.compare)
	return out
}

// isKnown reports whether requests with the features are rejected for another reason than
// provisionally.
func (d *Detector) isKnown(now time.Time, features []Feature) bool {
	return slices.ContainsFunc(d.poisons, func(p *poison) bool {
		return !p.provisional && p.rejects(now) && p.matches(features)
	})
}

// isUndecided reports whether lost runs were reported lately. Without new ones, the evidence
// needs no further look.
func (d *Detector) isUndecided(now time.Time) bool { return now.Sub(d.reportedAt) < decisionTime }

// rivals returns the other candidates that came with other requests and were lost as often:
// they may just have run beside the cause, or be the cause. The next crash tells.
func (v verdict) rivals(candidates []verdict) []verdict {
	var out []verdict
	for _, o := range candidates {
		if o.vouched == v.vouched && o.crashes == v.crashes && !slices.Contains(v.common, o.feature) {
			out = append(out, o)
		}
	}
	return out
}

func (d *Detector) count(crashes []*crash) map[Feature]*tally {
	tallies := map[Feature]*tally{}
	for i, c := range crashes {
		for _, r := range c.runs {
			if d.isAccountedFor(r) {
				continue
			}
			for _, f := range r.features {
				t := tallies[f]
				if t == nil {
					_, vouched := d.vouched[f]
					t = &tally{feature: f, first: i, last: -1, lastLater: -1, vouched: vouched, run: r.id, single: true}
					tallies[f] = t
				}
				t.single = t.single && (t.run == r.id || f == r.request)
				if !slices.Contains(t.services, c.service) {
					t.services = append(t.services, c.service)
				}
				if t.last != i {
					t.last = i
					t.crashes++
				}
				if t.lastLater != i && !r.sentAt.Before(crashes[t.first].at) {
					t.lastLater = i
					t.laterRuns++
				}
			}
		}
	}
	return tallies
}

func (d *Detector) isAccountedFor(r run) bool {
	return slices.ContainsFunc(d.poisons, func(p *poison) bool { return p.accountsFor(r) })
}

// objection returns why a suspect isn't poison, "" if it may be.
func (d *Detector) objection(now time.Time, t *tally, crashes []*crash) Reason {
	factor := 1
	if t.vouched {
		factor = vouchedFactor
	}
	first := crashes[t.first]
	switch {
	case t.crashes < factor*minCrashes:
		return TooFewCrashes
	case now.Sub(first.reportedAt) < observationTime:
		return Observed
	case t.crashes*minShare < t.unexplained(crashes):
		return OtherCrashes
	case t.laterRuns < factor*minLaterRuns:
		return SentAtOnce
	case !d.otherRunsSucceed(t, crashes):
		return NothingSucceeds
	}
	return ""
}

// otherRunsSucceed reports whether a fair share of this node's runs at the service has
// succeeded since the suspect's first crash, apart from the runs that were lost together with
// it. While upstreams lose almost all that they run, the requests aren't the cause.
func (d *Detector) otherRunsSucceed(t *tally, crashes []*crash) bool {
	first := crashes[t.first]
	total := d.totals[first.service]
	succeeded := total.succeeded - first.before.succeeded
	lost := total.lost - first.before.lost
	for _, c := range crashes[t.first:] {
		if c.service == first.service && (c.explained || c.hasFeature(t.feature)) {
			lost -= min(lost, c.ownRuns)
		}
	}
	return succeeded > 0 && succeeded*maxLossRatio >= lost
}

// isSoleCause reports whether a suspect that never succeeded was lost at each crash of its
// services since the first one, and they have served others. What several requests have in
// common must have been lost more often than one request that came again.
func (d *Detector) isSoleCause(t *tally, crashes []*crash) bool {
	unserved := func(s Service) bool { _, served := d.served[s]; return !served }
	several := t.crashes >= minSharedCrashes && t.laterRuns >= minLaterRuns
	return (t.single || several) && !t.vouched && t.crashes == t.unexplained(crashes) && !slices.ContainsFunc(t.services, unserved)
}

// unexplained returns how many crashes of the suspect's services since its first one have no
// other cause that is known.
func (t *tally) unexplained(crashes []*crash) int {
	n := 0
	for _, c := range crashes[t.first:] {
		if !c.explained && slices.Contains(t.services, c.service) {
			n++
		}
	}
	return n
}

// compare sorts the more probable cause first. Sound features that requests have beside the
// cause are lost as often: of these, the one that rejects the fewest requests comes first.
func (v verdict) compare(o verdict) int {
	if v.provisional != o.provisional {
		if o.provisional {
			return -1
		}
		return 1
	}
	if v.vouched != o.vouched {
		if o.vouched {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.crashes, v.crashes), cmp.Compare(len(o.common), len(v.common)), cmp.Compare(v.feature, o.feature))
}

// commonFeatures returns the features that all lost runs with the cause have in common, since
// any of them may be the cause. A success with one of them takes it away later.
func (d *Detector) commonFeatures(crashes []*crash, cause *tally) []Feature {
	var common []Feature
	for _, c := range crashes {
		for _, r := range c.runs {
			switch {
			case !slices.Contains(r.features, cause.feature), d.isAccountedFor(r):
			case common == nil:
				common = slices.Clone(r.features)
			default:
				common = slices.DeleteFunc(common, func(f Feature) bool { return !slices.Contains(r.features, f) })
			}
		}
	}
	common = slices.DeleteFunc(common, func(f Feature) bool {
		_, vouched := d.vouched[f]
		return vouched && !cause.vouched
	})
	slices.Sort(common)
	return common
}
