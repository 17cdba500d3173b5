package planner

import "time"

// drawLeaving draws callers that leave while their node is frozen.
func (p *Planner) drawLeaving() Step {
	return Step{At: startupTime + time.Duration(p.leaving.Int64N(int64(leavingStartSpan))), Fault: CallersLeave{
		Node: p.leaving.IntN(p.opts.Nodes), Callers: minLeaving + p.leaving.IntN(minLeaving), For: minLeavingFreeze + time.Duration(p.leaving.Int64N(int64(minLeavingFreeze))),
	}}
}

// drawRates draws upstreams that name rates, well below what they get, until the end of the soak.
func (p *Planner) drawRates() []Step {
	var out []Step
	for _, up := range p.rates.Perm(p.opts.Upstreams)[:namedRates] {
		at := startupTime + time.Duration(p.rates.Int64N(int64(rateStartSpan)))
		out = append(out, Step{At: at, Fault: UpstreamNamesRate{Upstream: up, Rate: 0.5 + 1.5*p.rates.Float64(), For: p.opts.Length - at}})
	}
	return out
}

// drawRestore draws a store that comes back from an older copy, and in time for what was written
// since to be written again.
func (p *Planner) drawRestore() Step {
	f := StoreRestored{
		Age:     minCopyAge + time.Duration(p.copies.Int64N(int64(copyAgeSpread))),
		Away:    time.Duration(p.copies.Int64N(int64(maxRestoreTime))),
		Silence: time.Duration(p.copies.Int64N(int64(maxRestoreTime))),
		Key:     p.copies.IntN(p.opts.Keys),
	}
	latest := max(time.Millisecond, p.opts.Length-recoveryTime-startupTime-f.Age-f.Away-f.Silence)
	return Step{At: startupTime + time.Duration(p.copies.Int64N(int64(latest))), Fault: f}
}
