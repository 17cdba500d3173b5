package differ

import (
	"fmt"
	"strings"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// pairRoutes returns the index of the earlier route for each later one, or -1. Routes are the
// same if they have the same name, or failing that the same host and prefix.
func pairRoutes(before, after []traffic.Route) []int {
	pairs, taken := make([]int, len(after)), make([]bool, len(before))
	for i := range pairs {
		pairs[i] = -1
	}
	for _, key := range []func(*traffic.Route) string{
		func(r *traffic.Route) string { return r.Name + "\n" + address(r) },
		func(r *traffic.Route) string { return r.Name },
		address,
	} {
		free := map[string][]int{}
		for i := range before {
			if !taken[i] {
				k := key(&before[i])
				free[k] = append(free[k], i)
			}
		}
		for i := range after {
			k := key(&after[i])
			if pairs[i] < 0 && k != "" && len(free[k]) > 0 {
				pairs[i], free[k] = free[k][0], free[k][1:]
				taken[pairs[i]] = true
			}
		}
	}
	return pairs
}

// address returns the host and the prefix of a route, as package matcher compares them.
func address(r *traffic.Route) string { return strings.ToLower(r.Host) + r.Prefix }

func (d *differ) compareRoutes() {
	before, after := d.before.Catalog.Routes, d.after.Catalog.Routes
	pairs := pairRoutes(before, after)
	kept := make([]bool, len(before))
	for i, j := range pairs {
		a := &after[i]
		s := subject("route", a.Name)
		if j < 0 {
			d.add(RoutesAdded, s, "%s to %s", address(a), targets(a))
			continue
		}
		kept[j] = true
		d.compareRoute(s, &before[j], a)
	}
	for j := range before {
		if !kept[j] {
			d.add(RoutesRemoved, subject("route", before[j].Name), "%s", address(&before[j]))
		}
	}
}

func (d *differ) compareRoute(s string, b, a *traffic.Route) {
	addChange(d, RoutesMoved, s, "address", address(b), address(a))
	addChange(d, RoutesChanged, s, "name", b.Name, a.Name)
	addChange(d, RoutesChanged, s, "kind", b.Kind, a.Kind)
	addChange(d, RoutesChanged, s, "targets", targets(b), targets(a))
	addChange(d, RoutesChanged, s, "public", b.Public, a.Public)
	addChange(d, RoutesChanged, s, "priority", b.Priority, a.Priority)
	addChange(d, RoutesChanged, s, "cache affinity", b.CacheAffinity, a.CacheAffinity)
	addChange(d, RoutesChanged, s, "resumable", b.Resumable, a.Resumable)
	// One attempt is the least that a route allows.
	d.addLimit(s, "attempts", float64(max(1, b.MaxAttempts)), float64(max(1, a.MaxAttempts)), "")
	addChange(d, TimeoutsChanged, s, "timeout", b.Timeout, a.Timeout)
	addChange(d, TimeoutsChanged, s, "latency objective", b.LatencyObjective, a.LatencyObjective)
	addChange(d, TimeoutsChanged, s, "pause objective", b.PauseObjective, a.PauseObjective)
}

// targets returns the targets of a route with their weights.
func targets(r *traffic.Route) string {
	if len(r.Targets) == 0 {
		return "none"
	}
	parts := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		parts[i] = fmt.Sprintf("%s:%d", t.Service, t.Weight)
	}
	return strings.Join(parts, ",")
}
