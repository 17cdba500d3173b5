// Package planner plans how leaving VMs are drained before their leave times:
// which weights must be loaded on the remaining engines and when, within the
// slots of the weight store, and when each VM is forecast to be empty.
package planner

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Input holds everything that a plan depends on.
type Input struct {
	Declaration config.Declaration
	// Loaded maps an engine's name to the weights that it serves now. An engine
	// that is absent is assumed to serve the weights that its pool declares.
	Loaded map[string]Weights
	// Running maps an upstream's name to its number of requests in flight.
	Running map[string]int
	// LongestRequest is the maximum duration of a request.
	LongestRequest time.Duration
}

// Weights identifies a version of a model.
type Weights struct{ Model, Version string }

// Load is a planned load of weights by one engine.
type Load struct {
	Engine  string    `json:"engine"`
	Pool    string    `json:"pool"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// VM is the drain plan of one leaving VM.
type VM struct {
	Name      string    `json:"name"`
	Upstreams []string  `json:"upstreams"`
	DrainFrom time.Time `json:"drainFrom"`
	LeavesAt  time.Time `json:"leavesAt"`
	// EmptyAt is the forecast time at which no request is left on the VM.
	EmptyAt  time.Time `json:"emptyAt"`
	Requests int       `json:"requests"`
	InTime   bool      `json:"inTime"`
}

// Pool is the capacity of a pool or service in request slots, before and after
// the leaving VMs have left.
type Pool struct {
	Name       string `json:"name"`
	SlotsNow   int    `json:"slotsNow"`
	SlotsAfter int    `json:"slotsAtLast"`
}

// Plan is the result of Planner.Plan.
type Plan struct {
	VMs   []VM   `json:"vms"`
	Loads []Load `json:"loads"`
	Pools []Pool `json:"pools"`
	// Warnings lists what the plan can't fulfil, each with a remedy.
	Warnings []string `json:"warnings"`
}

// InTime reports whether every VM can leave in time, that is, whether the plan has
// no warnings.
func (p Plan) InTime() bool { return len(p.Warnings) == 0 }

// Planner computes plans for an input. It is immutable.
type Planner struct{ input Input }

// New returns a Planner for in, with the declaration's defaults applied.
func New(in Input) Planner {
	in.Declaration = in.Declaration.WithDefaults()
	return Planner{input: in}
}

// Plan returns the plan at now.
func (p Planner) Plan(now time.Time) Plan {
	plan := Plan{Loads: p.planLoads(now), Pools: p.poolCapacities()}
	for _, v := range p.input.Declaration.VMs {
		if v.LeavesAt != nil {
			plan.VMs = append(plan.VMs, p.planVM(now, v))
		}
	}
	sort.SliceStable(plan.VMs, func(i, j int) bool { return plan.VMs[i].LeavesAt.Before(plan.VMs[j].LeavesAt) })
	plan.Warnings = p.warnings(plan)
	return plan
}

func (p Planner) planVM(now time.Time, v config.VM) VM {
	out := VM{Name: v.Name, DrainFrom: *v.DrainFrom, LeavesAt: *v.LeavesAt}
	for _, u := range p.input.Declaration.Upstreams {
		if u.VM == v.Name {
			out.Upstreams = append(out.Upstreams, u.Name)
			out.Requests += p.input.Running[u.Name]
		}
	}
	start := out.DrainFrom
	if now.After(start) {
		start = now
	}
	out.EmptyAt = start.Add(p.input.LongestRequest)
	if now.After(out.DrainFrom) && out.Requests == 0 {
		out.EmptyAt = now
	}
	out.InTime = !out.EmptyAt.After(out.LeavesAt)
	return out
}

// leaveTime returns when the VM of an upstream leaves, or nil if it stays.
func (p Planner) leaveTime(u config.Upstream) *time.Time {
	for _, v := range p.input.Declaration.VMs {
		if v.Name == u.VM {
			return v.LeavesAt
		}
	}
	return nil
}

// planLoads assigns the loads of the remaining engines to the slots of the weight
// store, ordered by the time at which their pool loses its first engine.
func (p Planner) planLoads(now time.Time) []Load {
	type candidate struct {
		load     Load
		neededBy time.Time
	}
	var candidates []candidate
	for _, u := range p.input.Declaration.Upstreams {
		pool, ok := p.findPool(u.Pool)
		if !ok || p.leaveTime(u) != nil {
			continue
		}
		if w, known := p.input.Loaded[u.Name]; !known || w == (Weights{pool.Model, pool.Version}) {
			continue
		}
		candidates = append(candidates, candidate{
			load:     Load{Engine: u.Name, Pool: pool.Name, Model: pool.Model, Version: pool.Version},
			neededBy: p.firstLossTime(pool.Name),
		})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].neededBy.Before(candidates[j].neededBy) })
	store := p.input.Declaration.WeightStore
	slotFreeAt := make([]time.Time, max(1, store.Slots))
	for i := range slotFreeAt {
		slotFreeAt[i] = now
	}
	out := make([]Load, len(candidates))
	for i, c := range candidates {
		slot := i % len(slotFreeAt)
		c.load.Start = slotFreeAt[slot]
		c.load.End = c.load.Start.Add(config.Seconds(store.LoadSeconds))
		slotFreeAt[slot] = c.load.End
		out[i] = c.load
	}
	return out
}

func (p Planner) findPool(name string) (config.Pool, bool) {
	for _, x := range p.input.Declaration.Pools {
		if x.Name == name {
			return x, true
		}
	}
	return config.Pool{}, false
}

// noLossTime is the first loss time of a pool that loses no engine.
var noLossTime = time.Unix(1<<40, 0)

// firstLossTime returns when the first engine of a pool starts to drain, or
// noLossTime if none does.
func (p Planner) firstLossTime(pool string) time.Time {
	first := noLossTime
	for _, u := range p.input.Declaration.Upstreams {
		if u.Pool != pool {
			continue
		}
		for _, v := range p.input.Declaration.VMs {
			if v.Name == u.VM && v.DrainFrom != nil && v.DrainFrom.Before(first) {
				first = *v.DrainFrom
			}
		}
	}
	return first
}

// poolKey returns the name under which the capacity of an upstream is counted.
func poolKey(u config.Upstream) string {
	if u.Service != "" {
		return "service:" + u.Service
	}
	return u.Pool
}

func (p Planner) poolCapacities() []Pool {
	var names []string
	byName := map[string]*Pool{}
	for _, u := range p.input.Declaration.Upstreams {
		name := poolKey(u)
		if byName[name] == nil {
			byName[name] = &Pool{Name: name}
			names = append(names, name)
		}
		byName[name].SlotsNow += u.Slots
		if p.leaveTime(u) == nil {
			byName[name].SlotsAfter += u.Slots
		}
	}
	sort.Strings(names)
	out := make([]Pool, len(names))
	for i, name := range names {
		out[i] = *byName[name]
	}
	return out
}

func (p Planner) warnings(plan Plan) []string {
	var out []string
	for _, v := range plan.VMs {
		if !v.InTime {
			out = append(out, fmt.Sprintf("%s is forecast to be empty at %s, after it leaves at %s: set drainFrom to %s or earlier",
				v.Name, v.EmptyAt.Format(time.RFC3339), v.LeavesAt.Format(time.RFC3339), v.LeavesAt.Add(-p.input.LongestRequest).Format(time.RFC3339)))
		}
	}
	for _, x := range plan.Pools {
		if pool, ok := p.findPool(x.Name); x.SlotsNow > 0 && x.SlotsAfter == 0 && !(ok && pool.Fallback != "") {
			out = append(out, fmt.Sprintf("%s has no upstream left when its VMs have left: declare one on a VM that stays", x.Name))
		}
	}
	for _, l := range plan.Loads {
		if neededBy := p.firstLossTime(l.Pool); l.End.After(neededBy) {
			out = append(out, fmt.Sprintf("%s is forecast to have %s %s at %s, after its pool loses an engine at %s: let that VM leave later",
				l.Engine, l.Model, l.Version, l.End.Format(time.RFC3339), neededBy.Format(time.RFC3339)))
		}
	}
	return out
}
