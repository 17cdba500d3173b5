package planner

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Options describes the fleet and the length of the soak.
type Options struct {
	Nodes     int
	Upstreams int
	Keys      int // number of keys that may be revoked
	// PlainRoutes and StreamRoutes are the numbers of routes that poison requests may
	// use. Those of plain services come first.
	PlainRoutes, StreamRoutes int
	// Length is the duration of the traffic. Faults end some seconds earlier.
	Length time.Duration
}

// Step is a fault and the time at which it starts, counted from the start of the
// traffic.
type Step struct {
	At    time.Duration
	Fault Fault
}

// What callers may always send and how long they may always stay idle, whatever limits a
// plan draws.
const (
	MaxBodyBytes   = 160 << 10
	MinIdleTimeout = 2 * time.Second
)

const (
	// startupTime is the time without faults in which the fleet settles.
	startupTime = 2 * time.Second
	// recoveryTime is the time at the end in which the fleet recovers. Faults start
	// before it, except at the end of a burst.
	recoveryTime = 5 * time.Second
	// burstProbability is the probability that a fault starts within 400 ms of the
	// one drawn before it.
	burstProbability = 0.35
	// faultsPerSecond is the average rate of faults.
	faultsPerSecond = 0.8
	// maxLaterFaults is the largest number of faults of the kinds that were added later.
	maxLaterFaults = 3
	// maxNewestFaults is the largest number of faults of the newest kinds but poison.
	// They also start while the fleet recovers, so that the bounds apply to some.
	maxNewestFaults = 8
	// minPause and pauseSpread bound the pauses of a sound upstream.
	minPause, pauseSpread = 700 * time.Millisecond, 600 * time.Millisecond
	// poisonStartSpan is the time in which poison requests start, poisonOverrun how long
	// they go on after the length of the soak, when few other faults excuse them.
	poisonStartSpan = 2 * time.Second
	poisonOverrun   = 6 * time.Second
	// surgeStartSpan is the time in which a surge starts, minSurge and surgeSpread bound its
	// duration.
	surgeStartSpan        = 2 * time.Second
	minSurge, surgeSpread = 5 * time.Second, 4 * time.Second
	// minNotices is the smallest number of upstreams in a plan that speak of themselves, if any.
	minNotices = 3
	// namedRates is how many upstreams name rates, and rateStartSpan the time after startupTime
	// within which they begin.
	namedRates, rateStartSpan = 3, time.Second
	// minLeaving is the smallest number of callers that leave, leavingStartSpan the time after
	// startupTime within which they do, and minLeavingFreeze the shortest time after that until
	// their node runs again.
	minLeaving, leavingStartSpan, minLeavingFreeze = 30, 4 * time.Second, 700 * time.Millisecond
	// minCopyAge and copyAgeSpread bound the age of a copy from which the store comes back, and
	// maxRestoreTime limits the time that it is away, and that until the writes are repeated.
	minCopyAge, copyAgeSpread, maxRestoreTime = time.Second, 3 * time.Second, 1500 * time.Millisecond
	// minWalls is the smallest number of changes of walls in a plan with any.
	minWalls = 3
	// removalSpan is the time in which a workspace becomes isolated that is then removed.
	removalSpan = time.Second
	// maxHastyTime is the longest time for which a workspace is isolated that is removed at
	// once, and hastyDelay the time in which it leaves parts before.
	maxHastyTime = 600 * time.Millisecond
	hastyDelay   = 3 * time.Second
	// minChangeGap and changeGapSpread bound the time between two changes in a series.
	minChangeGap, changeGapSpread = 50 * time.Millisecond, 400 * time.Millisecond
	// maxIdleSpread and maxBodySpread limit the random parts of limits for callers.
	maxIdleSpread, maxBodySpread = 20 * time.Second, 1 << 20
	// maxAddedRoutes limits the routes that no caller uses.
	maxAddedRoutes = 200
	// maxPriority is the priority of the least urgent workspaces.
	maxPriority = 3
	// maxLate limits the random part of the time to a late write.
	maxLate = 5 * time.Second
	// maxDuration limits the random part of a fault's duration. It exceeds the time
	// in which a revoked key must be rejected, so that some faults last longer.
	maxDuration = 7 * time.Second
)

// Planner generates plans. The same seed and options give the same plan, as long as
// the order of the random draws stays the same.
type Planner struct {
	rnd *rand.Rand
	// more draws the kinds of faults that were added later, so that a seed draws the
	// same other faults as before.
	more *rand.Rand
	// newest draws the kinds added after those. It is nil for odd seeds, so that those
	// that failed before draw no other faults than then.
	newest *rand.Rand
	// late draws late writes. It is nil for most seeds: those that failed before draw no
	// other faults than then.
	late *rand.Rand
	// walls draws changed walls, lone a LonePoison, and notices what upstreams say of
	// themselves. Each is nil for nine seeds of ten.
	walls, lone, notices *rand.Rand
	// rates draws the rates that upstreams name, leaving the callers that leave.
	rates, leaving *rand.Rand
	// removals draws the isolated workspace that is removed. It is nil for nineteen seeds of
	// twenty.
	removals *rand.Rand
	// hasty draws an isolated workspace that is removed at once. It is nil for nineteen seeds of
	// twenty.
	hasty *rand.Rand
	// changes draws a series of changes and large bodies. It is nil for eight seeds of ten.
	changes *rand.Rand
	// copies draws a StoreRestored. It is nil for nineteen seeds of twenty.
	copies *rand.Rand
	// surges draws a Surge. It is nil for nineteen seeds of twenty.
	surges *rand.Rand
	opts   Options
}

// New returns a Planner for a seed.
func New(seed uint64, opts Options) *Planner {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	p := &Planner{rnd: source(0x50a4), more: source(0x50a5), opts: opts}
	if seed%2 == 0 {
		p.newest = source(0x50a6)
	}
	if seed%6 < 2 {
		p.late = source(0x50a7)
	}
	if seed%20 == 10 {
		p.removals = source(0x50ac)
	}
	if seed%20 == 18 {
		p.hasty = source(0x50ad)
	}
	if seed%20 == 16 {
		p.copies = source(0x50ae)
	}
	switch seed % 10 {
	case 6:
		p.walls = source(0x50a8)
	case 7:
		p.lone = source(0x50a9)
	case 4:
		p.notices = source(0x50aa)
		p.rates = source(0x4a7e)
		p.leaving = source(0x1ea7)
	case 1, 5:
		p.changes = source(0x50ab)
	}
	if seed%20 == 13 {
		p.surges = source(0x50ac)
	}
	return p
}

// Plan returns the faults in the order of their start.
func (p *Planner) Plan() []Step {
	var out []Step
	span := p.opts.Length - startupTime - recoveryTime
	at := startupTime
	for range int(span.Seconds()*faultsPerSecond) + 1 {
		if len(out) == 0 || p.rnd.Float64() >= burstProbability {
			at = startupTime + time.Duration(p.rnd.Int64N(int64(span)))
		} else {
			at += time.Duration(p.rnd.Int64N(int64(400 * time.Millisecond)))
		}
		out = append(out, Step{At: at, Fault: p.draw(startupTime + span - at)})
	}
	for range 1 + p.more.IntN(maxLaterFaults) {
		out = append(out, Step{At: startupTime + time.Duration(p.more.Int64N(int64(span))), Fault: p.drawLater()})
	}
	if p.newest != nil {
		if p.newest.IntN(3) > 0 {
			out = append(out, p.drawPoison())
		}
		for range 1 + p.newest.IntN(maxNewestFaults) {
			at := startupTime + time.Duration(p.newest.Int64N(int64(p.opts.Length-startupTime)))
			out = append(out, Step{At: at, Fault: p.drawNewest()})
		}
	}
	if p.late != nil {
		out = append(out, p.drawLateWrites(out)...)
	}
	if p.walls != nil {
		for range minWalls + p.walls.IntN(minWalls) {
			at := startupTime + time.Duration(p.walls.Int64N(int64(span)))
			out = append(out, Step{At: at, Fault: WallChanged{Workspace: p.walls.IntN(p.opts.Keys)}})
		}
	}
	if p.removals != nil {
		// Early, so that there is traffic after the removal. Workspaces with an even number
		// are isolated from the start.
		at := startupTime + time.Duration(p.removals.Int64N(int64(removalSpan)))
		out = append(out, Step{At: at, Fault: WallRemoved{Workspace: 1 + 2*p.removals.IntN(p.opts.Keys/2)}})
	}
	if p.hasty != nil {
		out = append(out, p.drawHastyRemoval())
	}
	if p.lone != nil {
		at := startupTime + time.Duration(p.lone.Int64N(int64(poisonStartSpan)))
		out = append(out, Step{At: at, Fault: LonePoison{Route: p.lone.IntN(p.opts.PlainRoutes), For: p.opts.Length - at}})
	}
	if p.notices != nil {
		for range minNotices + p.notices.IntN(minNotices) {
			at := startupTime + time.Duration(p.notices.Int64N(int64(span)))
			out = append(out, Step{At: at, Fault: p.drawNotice()})
		}
	}
	if p.changes != nil {
		out = append(out, p.drawSeries()...)
	}
	if p.rates != nil {
		out = append(out, p.drawRates()...)
	}
	if p.leaving != nil {
		out = append(out, p.drawLeaving())
	}
	if p.copies != nil {
		out = append(out, p.drawRestore())
	}
	if p.surges != nil {
		out = append(out, p.drawSurge())
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// drawHastyRemoval draws an isolated workspace that some nodes never see, or don't remember.
func (p *Planner) drawHastyRemoval() Step {
	f := WallRemoved{Workspace: 1 + 2*p.hasty.IntN(p.opts.Keys/2), After: 1 + time.Duration(p.hasty.Int64N(int64(maxHastyTime)))}
	if f.Unseen = p.hasty.IntN(2) == 0; !f.Unseen || p.hasty.IntN(3) == 0 {
		for i := range p.opts.Nodes {
			f.Killed = append(f.Killed, i)
		}
	}
	return Step{At: startupTime + hastyDelay + time.Duration(p.hasty.Int64N(int64(removalSpan))), Fault: f}
}

// drawSurge draws a surge of 6 to 9 times the ordinary demand, of which the limit is 1.8 times.
func (p *Planner) drawSurge() Step {
	rate := float64(30 + p.surges.IntN(30))
	times := 6 + 3*p.surges.Float64()
	at := startupTime + time.Duration(p.surges.Int64N(int64(surgeStartSpan)))
	return Step{At: at, Fault: Surge{
		Rate: rate, Burst: rate, PerSecond: int(times * rate / 1.8), For: minSurge + time.Duration(p.surges.Int64N(int64(surgeSpread))),
	}}
}

// drawLateWrites draws late writes around a kill of all nodes and around one of the faults
// of plan after which nodes write to the store: stops, starts, elections and roll-outs.
func (p *Planner) drawLateWrites(plan []Step) []Step {
	kill := Kill{Rest: time.Duration(p.late.Int64N(int64(time.Second)))}
	for i := range p.opts.Nodes {
		kill.Nodes = append(kill.Nodes, i)
	}
	at := startupTime + time.Duration(p.late.Int64N(int64(p.opts.Length-startupTime-recoveryTime)))
	out := []Step{{At: at, Fault: kill}, {At: at, Fault: p.drawLate()}}
	var writing []Step
	for _, s := range plan {
		switch s.Fault.(type) {
		case Stop, StopAll, Kill, StoreDown, WeightsNamed:
			writing = append(writing, s)
		}
	}
	if len(writing) > 0 {
		out = append(out, Step{At: writing[p.late.IntN(len(writing))].At, Fault: p.drawLate()})
	}
	return out
}

func (p *Planner) drawLate() StoreLate {
	return StoreLate{
		Share: 0.2 + 0.4*p.late.Float64(), Seed: p.late.Uint64(),
		Late: time.Second + time.Duration(p.late.Int64N(int64(maxLate))), For: 2*time.Second + time.Duration(p.late.Int64N(int64(2500*time.Millisecond))),
	}
}

// duration draws the duration of a fault.
func (p *Planner) duration(remaining time.Duration) time.Duration {
	limit := max(500*time.Millisecond, min(maxDuration, remaining))
	return 300*time.Millisecond + time.Duration(p.rnd.Int64N(int64(limit)))
}

// scope draws one node, or all nodes in half of the cases.
func (p *Planner) scope() Scope {
	if p.rnd.IntN(2) == 0 {
		return All
	}
	return Scope(p.rnd.IntN(p.opts.Nodes))
}

// draw draws a fault. The remaining time limits its duration.
func (p *Planner) draw(remaining time.Duration) Fault {
	node, up, d := p.rnd.IntN(p.opts.Nodes), p.rnd.IntN(p.opts.Upstreams), p.duration(remaining)
	rest := time.Duration(p.rnd.Int64N(int64(2 * time.Second)))
	switch p.rnd.IntN(17) {
	case 0:
		return Stop{Node: node, Rest: rest}
	case 1:
		return StopAll{Gap: time.Duration(p.rnd.Int64N(int64(time.Second)))}
	case 2:
		return Kill{Nodes: p.someNodes(), Rest: rest}
	case 3, 4:
		return Freeze{Node: node, For: d}
	case 5:
		return StoreDown{Scope: p.scope(), For: d}
	case 6:
		return StoreSlow{Delay: time.Duration(100+p.rnd.IntN(600)) * time.Millisecond, For: d}
	case 7:
		return StoreLoses{Scope: p.scope(), For: d}
	case 8:
		return StoreRefuses{Scope: p.scope(), Status: []int{503, 429}[p.rnd.IntN(2)], For: d}
	case 9:
		return StoreForgets{Leases: p.rnd.IntN(2) == 0}
	case 10, 11:
		linkFaults := []LinkTrouble{Delayed, Reset, Forward, Backward, Silenced, Unreached}
		l := Link{Store: p.rnd.IntN(3) == 0, Trouble: linkFaults[p.rnd.IntN(len(linkFaults))], Index: up, For: d}
		if l.Store {
			l.Index = node
		}
		return l
	case 12:
		return UpstreamCrash{Upstream: up, For: d}
	case 13:
		return UpstreamErrs{Upstream: up, For: d}
	case 14:
		return UpstreamLeaves{Upstream: up}
	case 15:
		if p.rnd.IntN(2) == 0 {
			return RouteMoved{}
		}
		return KeyTaken{Key: p.rnd.IntN(p.opts.Keys)}
	}
	return WeightsNamed{}
}

// drawLater draws a fault of the kinds that were added later.
func (p *Planner) drawLater() Fault {
	up, d := p.more.IntN(p.opts.Upstreams), time.Second+time.Duration(p.more.Int64N(int64(maxDuration)))
	if p.more.IntN(2) == 0 {
		return UpstreamRepeats{Upstream: up, For: d}
	}
	return UpstreamStalls{Upstream: up, For: d}
}

// drawNewest draws a fault of the newest kinds but poison.
func (p *Planner) drawNewest() Fault {
	up, d := p.newest.IntN(p.opts.Upstreams), time.Second+time.Duration(p.newest.Int64N(int64(maxDuration)))
	switch p.newest.IntN(7) {
	case 0, 1:
		return UpstreamPauses{Upstream: up, For: minPause + d%pauseSpread}
	case 2:
		return UpstreamUnframed{Upstream: up, For: d}
	case 3:
		return UpstreamUnframed{Upstream: up, Broken: 0.3, For: d}
	case 4:
		return UpstreamCopiesRefusals{Upstream: up, For: d}
	case 5:
		return ResumptionsFail{For: d}
	}
	return OddRegistration{Shape: up}
}

func (p *Planner) drawNotice() Fault {
	up, d := p.notices.IntN(p.opts.Upstreams), time.Second+time.Duration(p.notices.Int64N(int64(maxDuration)))
	if p.notices.IntN(2) == 0 {
		return UpstreamSaysLeaving{Upstream: up, Notice: 3*time.Second + d/2}
	}
	return UpstreamTurnsAway{Upstream: up, Pause: time.Duration(2+p.notices.IntN(3)) * time.Second, For: d}
}

// drawSeries draws changes of the configuration and reloads that follow one another until
// the end of the soak, and large bodies all the while.
func (p *Planner) drawSeries() []Step {
	out := []Step{{At: startupTime, Fault: LargeBodies{Share: 0.2 + 0.3*p.changes.Float64(), For: p.opts.Length - startupTime}}}
	for at := startupTime; at < p.opts.Length; at += minChangeGap + time.Duration(p.changes.Int64N(int64(changeGapSpread))) {
		out = append(out, Step{At: at, Fault: p.drawChange()})
	}
	return out
}

func (p *Planner) drawChange() Fault {
	switch p.changes.IntN(7) {
	case 0, 1:
		return Reload{Node: p.changes.IntN(p.opts.Nodes)}
	case 2:
		return LimitsChanged{
			BodyBytes: MaxBodyBytes + p.changes.Int64N(maxBodySpread), IdleTimeout: MinIdleTimeout + time.Duration(p.changes.Int64N(int64(maxIdleSpread))),
		}
	case 3:
		return TimeLimitsChanged{Factor: 0.5 + p.changes.Float64()}
	case 4:
		return WorkspaceChanged{Workspace: p.changes.IntN(p.opts.Keys), Priority: p.changes.IntN(maxPriority + 1), SecondKey: p.changes.IntN(2) == 0}
	case 5:
		return RoutesAdded{Routes: p.changes.IntN(maxAddedRoutes)}
	}
	return RouteMoved{}
}

// drawPoison draws the start of poison requests and their kind.
func (p *Planner) drawPoison() Step {
	at := startupTime + time.Duration(p.newest.Int64N(int64(poisonStartSpan)))
	f := Poison{Part: p.newest.IntN(3) > 0, Route: p.newest.IntN(p.opts.PlainRoutes + p.opts.StreamRoutes), For: p.opts.Length + poisonOverrun - at}
	if f.Part {
		f.Route = p.opts.PlainRoutes + f.Route%p.opts.StreamRoutes
	}
	return Step{At: at, Fault: f}
}

// someNodes draws one node or more.
func (p *Planner) someNodes() []int {
	nodes := p.rnd.Perm(p.opts.Nodes)
	return nodes[:1+p.rnd.IntN(len(nodes))]
}
