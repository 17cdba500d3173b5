package detector

import (
	"slices"
	"time"
)

// Evidence returns what this node tells the others.
func (d *Detector) Evidence(now time.Time) Evidence {
	d.expire(now)
	e := Evidence{
		Suspects: d.repeatedSuspects(now), Cleared: items(d.clearings), Vouched: items(d.vouchings), Served: items(d.servedLately),
		Claims: d.reportedClaims(now),
	}
	for _, r := range d.lostRuns {
		e.LostRuns = append(e.LostRuns, LostRun{
			Upstream: r.item.upstream, AgeMS: now.Sub(r.at).Milliseconds(), DurationMS: r.at.Sub(r.item.sentAt).Milliseconds(), Features: r.item.features, Service: r.item.service,
		})
	}
	e.Poisons = d.Rejections(now)
	return e
}

// Rejections returns what this node rejects.
func (d *Detector) Rejections(now time.Time) []Poison {
	var out []Poison
	for _, p := range d.poisons {
		if now.Before(p.until) {
			out = append(out, Poison{Features: p.features, RemainingMS: p.until.Sub(now).Milliseconds()})
		}
	}
	return out
}

// repeatedSuspects returns the suspects that were lost at two crashes or more. Those of one
// crash are many, and clear themselves.
func (d *Detector) repeatedSuspects(now time.Time) []Feature {
	if !d.judges || !d.isUndecided(now) {
		return nil
	}
	var out []Feature
	seen := map[Feature]*crash{}
	for _, c := range d.crashes {
		if c.explained {
			continue
		}
		for _, r := range c.runs {
			for _, f := range r.features {
				first, ok := seen[f]
				switch {
				case !ok:
					seen[f] = c
				case first != c && first != nil && len(out) < maxReports:
					out = append(out, f)
					seen[f] = nil
				}
			}
		}
	}
	return out
}

func items[T any](reports []report[T]) []T {
	var out []T
	for _, r := range reports {
		out = append(out, r.item)
	}
	return out
}

// Merge merges the evidence of a peer.
func (d *Detector) Merge(now time.Time, e Evidence) {
	d.heardAt = now
	for _, l := range e.LostRuns {
		lostAt := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		sentAt := lostAt.Add(-time.Duration(l.DurationMS) * time.Millisecond)
		d.addLostRun(now, lostAt, lostRun{service: l.Service, upstream: l.Upstream, run: newRun(sentAt, l.Features)})
	}
	for _, service := range e.Served {
		d.recordServed(now, service)
	}
	for _, f := range e.Suspects {
		d.suspect(now, f)
	}
	for _, f := range e.Vouched {
		d.vouch(now, f)
	}
	for _, f := range e.Cleared {
		_, suspected := d.suspects[f]
		if !suspected && !d.isPoison(f) {
			continue
		}
		d.recordPeerSuccess(f)
		d.clear(now, f)
		if d.judges { // the nodes that don't send their evidence to each other learn it from here
			d.clearings = appendReport(d.clearings, f, now)
		}
	}
	for _, p := range e.Poisons {
		d.mergePoison(now, p)
	}
	for _, c := range e.Claims {
		d.mergeClaim(now, c)
	}
}

// recordPeerSuccess counts a success at a peer, at the services where runs with the feature
// were lost.
func (d *Detector) recordPeerSuccess(f Feature) {
	seen := map[Service]bool{}
	for _, c := range d.crashes {
		if seen[c.service] || !c.hasFeature(f) {
			continue
		}
		seen[c.service] = true
		d.countRuns(c.service, runTotals{succeeded: 1})
	}
}

// renewalSlack is by how much a peer's end of a rejection must be later to count. It covers
// the time that messages take, which would otherwise add up.
const renewalSlack = 5 * time.Second

func (d *Detector) mergePoison(now time.Time, reported Poison) {
	if len(reported.Features) == 0 || len(reported.Features) > maxFeatures || reported.RemainingMS <= 0 {
		return
	}
	for _, f := range reported.Features {
		if now.Before(d.cleared[f]) {
			return
		}
	}
	until := now.Add(min(poisonTTL, time.Duration(reported.RemainingMS)*time.Millisecond))
	if d.reject(now, reported.Features, until) {
		d.foundLately = append(d.foundLately, Finding{Features: reported.Features})
	}
}

// reject rejects requests with all of the features until the given time, and reports
// whether they weren't rejected before.
func (d *Detector) reject(now time.Time, features []Feature, until time.Time) bool {
	features = slices.Clone(features)
	slices.Sort(features)
	for _, p := range d.poisons {
		if slices.Equal(p.features, features) {
			if until.Sub(p.until) <= renewalSlack {
				return false
			}
			expired := !now.Before(p.until)
			d.renew(now, p, until)
			return expired
		}
	}
	if len(d.poisons) >= maxPoisons {
		d.poisons = slices.Delete(d.poisons, 0, 1)
	}
	p := &poison{features: features}
	d.poisons = append(d.poisons, p)
	d.renew(now, p, until)
	return true
}

// renew sets the end of a rejection. Unless it is provisional, it absolves the other runs that
// were lost together with the cause, and ends the provisional rejections that rest on them.
func (d *Detector) renew(now time.Time, p *poison, until time.Time) {
	p.until, p.provisional = until, until.Sub(now) <= provisionalTTL
	if p.provisional {
		return
	}
	for _, c := range d.crashes {
		c.explain(p.features)
	}
	d.poisons = slices.DeleteFunc(d.poisons, func(o *poison) bool {
		if !d.judges || !o.provisional || d.isSupported(o) {
			return false
		}
		for _, f := range o.features {
			d.cleared[f] = now.Add(crashWindow + reportTime)
		}
		return true
	})
}

// isSupported reports whether runs that were lost are still evidence for a rejection.
func (d *Detector) isSupported(p *poison) bool {
	return slices.ContainsFunc(d.crashes, func(c *crash) bool {
		return slices.ContainsFunc(c.runs, func(r run) bool { return p.matches(r.features) })
	})
}

// expire removes what no longer counts.
func (d *Detector) expire(now time.Time) {
	d.lostRuns, d.clearings, d.vouchings = dropOld(d.lostRuns, now), dropOld(d.clearings, now), dropOld(d.vouchings, now)
	d.servedLately = dropOld(d.servedLately, now)
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) >= suspicionTTL })
	d.poisons = slices.DeleteFunc(d.poisons, func(p *poison) bool { return now.Sub(p.until) >= paroleTTL })
	for upstream, times := range d.survivors {
		times = slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) >= crashWindow+reportTime })
		if d.survivors[upstream] = times; len(times) == 0 {
			delete(d.survivors, upstream)
		}
	}
	d.expireClaims(now)
	dropExpired(d.suspects, now)
	dropExpired(d.vouched, now)
	dropExpired(d.cleared, now)
	dropExpired(d.served, now)
	for f := range d.doubted {
		if _, suspected := d.suspects[f]; !suspected {
			delete(d.doubted, f)
		}
	}
}

func dropOld[T any](reports []report[T], now time.Time) []report[T] {
	return slices.DeleteFunc(reports, func(r report[T]) bool { return now.Sub(r.at) >= reportTime })
}

func dropExpired[K comparable](ends map[K]time.Time, now time.Time) {
	for k, end := range ends {
		if !now.Before(end) {
			delete(ends, k)
		}
	}
}
