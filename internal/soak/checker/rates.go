package checker

import (
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the requests to an upstream that names a rate are counted.
	rateWindow = 4 * time.Second
	// rateTolerance and rateSlack bound them: so many times the rate, and so many more.
	rateTolerance, rateSlack = 1.5, 5
	// toldDelay is how long after a process has passed on a response that names the rate its
	// requests count.
	toldDelay = 500 * time.Millisecond
)

// checkRates checks that the nodes together keep to the rates that upstreams name.
func (v *validation) checkRates() {
	byUpstream := map[string][]Run{}
	for _, run := range v.history.Runs {
		byUpstream[run.Upstream] = append(byUpstream[run.Upstream], run)
	}
	for _, runs := range byUpstream {
		slices.SortFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
		for len(runs) > 0 {
			n := 1
			for n < len(runs) && runs[n].Rate == runs[0].Rate {
				n++
			}
			if runs[0].Rate > 0 {
				v.checkRate(runs[:n])
			}
			runs = runs[n:]
		}
	}
}

// checkRate checks runs of one upstream while it named one rate.
func (v *validation) checkRate(runs []Run) {
	told := v.toldAt(runs)
	rate := runs[0].Rate
	allowed := rateTolerance*rate*rateWindow.Seconds() + rateSlack
	var counted []Run
	for _, run := range runs {
		r := v.requests[run.ID]
		if r == nil || run.StartedAt.Before(runs[0].StartedAt.Add(v.bounds.Settle)) {
			continue
		}
		at, ok := told[process{r.Node, r.Incarnation}]
		if ok && run.StartedAt.After(at.Add(toldDelay)) && !v.cutOff(r.Node, at, run.StartedAt) {
			counted = append(counted, run)
		}
	}
	for i, last := range counted {
		n := 0
		for _, run := range counted[:i+1] {
			if run.StartedAt.After(last.StartedAt.Add(-rateWindow)) {
				n++
			}
		}
		if float64(n) > allowed {
			v.add("limit", last.ID, "%s got %d requests in %v, though it takes %v a second from all nodes", last.Upstream, n, rateWindow, rate)
			return
		}
	}
}

// toldAt returns when each process had first passed on a response of these runs.
func (v *validation) toldAt(runs []Run) map[process]time.Time {
	told := map[process]time.Time{}
	for _, run := range runs {
		r := v.requests[run.ID]
		if r == nil || !run.Complete || r.Status != 200 || !r.Complete {
			continue
		}
		p := process{r.Node, r.Incarnation}
		if at, ok := told[p]; !ok || r.EndedAt.Before(at) {
			told[p] = r.EndedAt
		}
	}
	return told
}

// cutOff reports whether a node was stopped, frozen or cut off from other nodes in a period. Faults
// of the store don't excuse it.
func (v *validation) cutOff(node int, from, to time.Time) bool {
	return slices.ContainsFunc(v.history.Disturbances, func(d Disturbance) bool {
		return !d.StoreOnly && (d.Node == node || d.Node < 0) && d.From.Before(to) && d.To.After(from)
	})
}
