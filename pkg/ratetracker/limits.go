package ratetracker

import (
	"strconv"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/limiter"
)

// burst is the time whose requests an upstream that limits its rate takes at once, at least one.
const burst = 250 * time.Millisecond

// Limits returns the limits of the upstreams that limit their requests, by LimitName. A request
// costs 1.
func (t *Tracker) Limits(now time.Time) []limiter.Limit {
	var out []limiter.Limit
	for _, s := range t.Limited(now) {
		out = append(out, limiter.Limit{Workspace: LimitName(s.Upstream), Rate: s.Rate, Burst: max(1, s.Rate*burst.Seconds())})
	}
	return out
}

// LimitName returns the name of an upstream's limit.
func LimitName(upstream uint32) string { return strconv.FormatUint(uint64(upstream), 10) }
