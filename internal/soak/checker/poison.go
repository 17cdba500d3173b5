package checker

import (
	"sort"
	"time"
)

const (
	// maxPartCrashes and maxRequestCrashes are the numbers of crashes from which on a
	// part of a prompt or a whole request must be kept from upstreams.
	maxPartCrashes, maxRequestCrashes = 5, 3
	// maxPoisonRuns is how many poison requests may reach upstreams after that.
	maxPoisonRuns = 3
	// minCompared is the minimum number of requests for a comparison of shares.
	minCompared = 20
	// minSoundShare is the minimum share of sound requests that start, relative to the
	// share outside the disruption.
	minSoundShare = 0.5
)

// checkPoison checks that poison requests no longer reach upstreams after some
// crashes, and that sound requests which resemble them still do.
func (v *validation) checkPoison(p *Poison) {
	var crashes []time.Time
	for _, c := range v.history.Crashes {
		if r := v.requests[c.RequestID]; r != nil && r.Poison == p {
			crashes = append(crashes, c.At)
		}
	}
	if len(crashes) == 0 {
		return
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	limit := maxRequestCrashes
	if p.Part {
		limit = maxPartCrashes
		v.checkSound(p, crashes[min(limit, len(crashes))-1], crashes)
	}
	if len(crashes) < limit {
		return
	}
	from, late := crashes[limit-1].Add(v.bounds.Settle), 0
	for _, run := range v.history.Runs {
		if r := v.requests[run.ID]; r != nil && r.Poison == p && run.StartedAt.After(from) && v.undisturbed(r.Node, run.StartedAt, run.StartedAt) {
			late++
		}
	}
	if late > maxPoisonRuns {
		v.add("budget", "", "%d requests with %s reached upstreams more than %v after crash %d of %d", late, p.Name, v.bounds.Settle, limit, len(crashes))
	}
}

// checkSound compares the share of sound requests that start while poison requests
// still come, after the given crash, with the share before and after the disruption.
func (v *validation) checkSound(p *Poison, crash time.Time, crashes []time.Time) {
	var last time.Time // poison request
	for _, r := range v.requests {
		if r.Poison == p && r.SentAt.After(last) {
			last = r.SentAt
		}
	}
	settled := func(at time.Time) time.Time { return at.Add(2 * v.bounds.Settle) }
	type share struct{ sent, started int }
	var during, outside share
	for _, r := range v.requests {
		if r.Poison != nil || r.Route != p.Route || !v.keyInForce(r) || !v.undisturbed(r.Node, r.SentAt, r.EndedAt) {
			continue
		}
		s := &outside
		switch poisonSent := !r.SentAt.After(last); {
		case r.SentAt.Before(crashes[0]) || !poisonSent && r.SentAt.After(settled(crashes[len(crashes)-1])):
		case poisonSent && !r.SentAt.Before(settled(crash)):
			s = &during
		default:
			continue
		}
		s.sent++
		if len(v.runs[r.ID]) > 0 {
			s.started++
		}
	}
	if during.sent >= minCompared && outside.sent >= minCompared &&
		float64(during.started)/float64(during.sent) < minSoundShare*float64(outside.started)/float64(outside.sent) {
		v.add("lost", "", "while requests with %s come, %d of %d sound ones start, otherwise %d of %d", p.Name, during.started, during.sent, outside.started, outside.sent)
	}
}
