package checker

import (
	"sort"
	"time"
)

// Limit is the rate limit of a workspace, in requests.
type Limit struct {
	Workspace   string
	Rate, Burst float64
}

const (
	// limitWindow is the window in which the requests of a limited workspace are counted.
	limitWindow = 8 * time.Second
	// limitOver and limitSlack are the tolerance: a share of the limit, and requests.
	limitOver, limitSlack = 0.1, 8
)

// checkLimits checks that upstreams ran no more requests of a limited workspace than its limit
// allows, in any window and over all nodes. A request that is retried counts once.
func (v *validation) checkLimits() {
	for _, l := range v.history.Limits {
		var runs []Run
		seen := map[string]bool{}
		for _, r := range v.history.Runs {
			if r.Workspace == l.Workspace && !seen[r.ID] {
				seen[r.ID] = true
				runs = append(runs, r)
			}
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].StartedAt.Before(runs[j].StartedAt) })
		allowed := (l.Rate*limitWindow.Seconds()+l.Burst)*(1+limitOver) + limitSlack
		most, from, first := 0, time.Time{}, 0
		for i, r := range runs {
			for r.StartedAt.Sub(runs[first].StartedAt) >= limitWindow {
				first++
			}
			if n := i + 1 - first; n > most {
				most, from = n, runs[first].StartedAt
			}
		}
		if float64(most) > allowed {
			v.add("limit", "", "%d requests of %s ran within %s from %s on, %.0f are allowed", most, l.Workspace, limitWindow, from.Format(time.TimeOnly), allowed)
		}
	}
}
