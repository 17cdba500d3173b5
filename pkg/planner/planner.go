// Package planner works out, backward from the leave times, how the leaving
// VMs are emptied: what must be loaded elsewhere, when, in how many slots of
// the weight store, and when each VM is forecast to be empty.
package planner

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Input is what the plan depends on.
type Input struct {
	Declaration config.Declaration
	// Loaded tells what each engine serves now, by its name; an engine that is
	// absent is taken to serve what its pool declares.
	Loaded map[string]Weights
	// Running is how many requests run on each upstream now.
	Running map[string]int
	// LongestRequest bounds the time of a request.
	LongestRequest time.Duration
}

// Weights is a model in a version.
type Weights struct{ Model, Version string }

// Load is one planned load of weights.
type Load struct {
	Engine  string    `json:"engine"`
	Pool    string    `json:"pool"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// VM is the plan of one leaving VM.
type VM struct {
	Name      string    `json:"name"`
	Upstreams []string  `json:"upstreams"`
	DrainFrom time.Time `json:"drainFrom"`
	LeavesAt  time.Time `json:"leavesAt"`
	// EmptyAt is when it is forecast to be empty.
	EmptyAt  time.Time `json:"emptyAt"`
	Requests int       `json:"requests"`
	InTime   bool      `json:"inTime"`
}

// Pool is what a pool or service can run before and after the VMs have left.
type Pool struct {
	Name       string `json:"name"`
	SlotsNow   int    `json:"slotsNow"`
	SlotsAfter int    `json:"slotsAtLast"`
}

// Plan is the result.
type Plan struct {
	VMs   []VM   `json:"vms"`
	Loads []Load `json:"loads"`
	Pools []Pool `json:"pools"`
	// Warnings say what can't be met, with the remedy.
	Warnings []string `json:"warnings"`
}

// InTime reports whether every VM is empty before its date.
func (p Plan) InTime() bool { return len(p.Warnings) == 0 }

// Planner makes plans. It is immutable.
type Planner struct{ in Input }

// New returns a Planner of in.
func New(in Input) Planner {
	in.Declaration = in.Declaration.WithDefaults()
	return Planner{in: in}
}

// Plan returns the plan at now.
func (p Planner) Plan(now time.Time) Plan {
	plan := Plan{Loads: p.loads(now), Pools: p.pools()}
	for _, v := range p.in.Declaration.VMs {
		if v.LeavesAt != nil {
			plan.VMs = append(plan.VMs, p.vm(now, v))
		}
	}
	sort.SliceStable(plan.VMs, func(i, j int) bool { return plan.VMs[i].LeavesAt.Before(plan.VMs[j].LeavesAt) })
	plan.Warnings = p.warnings(plan)
	return plan
}

func (p Planner) vm(now time.Time, v config.VM) VM {
	out := VM{Name: v.Name, DrainFrom: *v.DrainFrom, LeavesAt: *v.LeavesAt}
	for _, u := range p.in.Declaration.Upstreams {
		if u.VM == v.Name {
			out.Upstreams = append(out.Upstreams, u.Name)
			out.Requests += p.in.Running[u.Name]
		}
	}
	start := out.DrainFrom
	if now.After(start) {
		start = now
	}
	out.EmptyAt = start.Add(p.in.LongestRequest)
	if now.After(out.DrainFrom) && out.Requests == 0 {
		out.EmptyAt = now
	}
	out.InTime = !out.EmptyAt.After(out.LeavesAt)
	return out
}

func (p Planner) leaves(u config.Upstream) *time.Time {
	for _, v := range p.in.Declaration.VMs {
		if v.Name == u.VM {
			return v.LeavesAt
		}
	}
	return nil
}

// loads packs the loads of the engines that stay into the weight store's
// slots, those first whose pool loses an engine soonest.
func (p Planner) loads(now time.Time) []Load {
	type candidate struct {
		load Load
		need time.Time
	}
	var list []candidate
	for _, u := range p.in.Declaration.Upstreams {
		pool, ok := p.pool(u.Pool)
		if !ok || p.leaves(u) != nil {
			continue
		}
		if w, known := p.in.Loaded[u.Name]; !known || w == (Weights{pool.Model, pool.Version}) {
			continue
		}
		list = append(list, candidate{
			load: Load{Engine: u.Name, Pool: pool.Name, Model: pool.Model, Version: pool.Version},
			need: p.firstLoss(pool.Name),
		})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].need.Before(list[j].need) })
	store := p.in.Declaration.WeightStore
	free := make([]time.Time, max(1, store.Slots))
	for i := range free {
		free[i] = now
	}
	out := make([]Load, len(list))
	for i, c := range list {
		slot := i % len(free)
		c.load.Start = free[slot]
		c.load.End = c.load.Start.Add(config.Seconds(store.LoadSeconds))
		free[slot] = c.load.End
		out[i] = c.load
	}
	return out
}

func (p Planner) pool(name string) (config.Pool, bool) {
	for _, x := range p.in.Declaration.Pools {
		if x.Name == name {
			return x, true
		}
	}
	return config.Pool{}, false
}

// farFuture stands for a pool that loses nothing.
var farFuture = time.Unix(1<<40, 0)

// firstLoss returns when a pool loses its first engine.
func (p Planner) firstLoss(pool string) time.Time {
	first := farFuture
	for _, u := range p.in.Declaration.Upstreams {
		if u.Pool != pool {
			continue
		}
		for _, v := range p.in.Declaration.VMs {
			if v.Name == u.VM && v.DrainFrom != nil && v.DrainFrom.Before(first) {
				first = *v.DrainFrom
			}
		}
	}
	return first
}

func group(u config.Upstream) string {
	if u.Service != "" {
		return "service:" + u.Service
	}
	return u.Pool
}

func (p Planner) pools() []Pool {
	var names []string
	by := map[string]*Pool{}
	for _, u := range p.in.Declaration.Upstreams {
		name := group(u)
		if by[name] == nil {
			by[name] = &Pool{Name: name}
			names = append(names, name)
		}
		by[name].SlotsNow += u.Slots
		if p.leaves(u) == nil {
			by[name].SlotsAfter += u.Slots
		}
	}
	sort.Strings(names)
	out := make([]Pool, len(names))
	for i, name := range names {
		out[i] = *by[name]
	}
	return out
}

func (p Planner) warnings(plan Plan) []string {
	var out []string
	for _, v := range plan.VMs {
		if !v.InTime {
			out = append(out, fmt.Sprintf("%s is forecast to be empty at %s, after it leaves at %s: set drainFrom to %s or earlier",
				v.Name, v.EmptyAt.Format(time.RFC3339), v.LeavesAt.Format(time.RFC3339), v.LeavesAt.Add(-p.in.LongestRequest).Format(time.RFC3339)))
		}
	}
	for _, x := range plan.Pools {
		if pool, ok := p.pool(x.Name); x.SlotsNow > 0 && x.SlotsAfter == 0 && !(ok && pool.Fallback != "") {
			out = append(out, fmt.Sprintf("%s has no upstream left when its VMs have left: declare one on a VM that stays", x.Name))
		}
	}
	for _, l := range plan.Loads {
		if need := p.firstLoss(l.Pool); l.End.After(need) {
			out = append(out, fmt.Sprintf("%s is forecast to have %s %s at %s, after its pool loses an engine at %s: let that VM leave later",
				l.Engine, l.Model, l.Version, l.End.Format(time.RFC3339), need.Format(time.RFC3339)))
		}
	}
	return out
}
