package differ

import (
	"fmt"

	"github.com/auburnnotch/auburnnotch/pkg/linter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Group is a kind of difference. Programs may rely on the names of groups.
type Group string

// The groups, in the order in which they are reported.
const (
	RoutesAdded       Group = "routesAdded"
	RoutesRemoved     Group = "routesRemoved"
	RoutesMoved       Group = "routesMoved"   // to another host or prefix
	RoutesChanged     Group = "routesChanged" // in who may use them and what serves them
	KeysAdded         Group = "keysAdded"
	KeysRemoved       Group = "keysRemoved"
	KeysMoved         Group = "keysMoved" // to another workspace
	WorkspacesChanged Group = "workspacesChanged"
	LimitsRaised      Group = "limitsRaised"
	LimitsLowered     Group = "limitsLowered"
	TimeoutsChanged   Group = "timeoutsChanged"
	ServicesChanged   Group = "servicesChanged"
)

var order = []Group{
	RoutesAdded, RoutesRemoved, RoutesMoved, RoutesChanged, KeysAdded, KeysRemoved, KeysMoved, WorkspacesChanged,
	LimitsRaised, LimitsLowered, TimeoutsChanged, ServicesChanged,
}

// Change is one difference.
type Change struct {
	// Subject is what has changed, such as a route.
	Subject string `json:"subject"`
	// Field is the property of the subject that had the value Before and has the value After. It
	// is empty if Text tells the change.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	Text   string `json:"text,omitempty"`
}

// String returns the change without its subject.
func (c Change) String() string {
	if c.Field == "" {
		return c.Text
	}
	return c.Field + " " + c.Before + " -> " + c.After
}

// Changes are the differences of one group.
type Changes struct {
	Group   Group    `json:"group"`
	Changes []Change `json:"changes"`
}

// differ collects the differences.
type differ struct {
	before, after linter.View
	groups        map[Group][]Change
}

// Compare returns the groups with differences from before to after. No API key is part of it.
func Compare(before, after linter.View) []Changes {
	d := &differ{before: before, after: after, groups: map[Group][]Change{}}
	d.compareRoutes()
	d.compareWorkspaces()
	d.compareLimits()
	d.compareServices()
	var out []Changes
	for _, g := range order {
		if c := d.groups[g]; len(c) > 0 {
			out = append(out, Changes{Group: g, Changes: c})
		}
	}
	return out
}

func (d *differ) add(g Group, subject, format string, args ...any) {
	d.groups[g] = append(d.groups[g], Change{Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (d *differ) addValues(g Group, subject, field, before, after string) {
	d.groups[g] = append(d.groups[g], Change{Subject: subject, Field: field, Before: before, After: after})
}

// addLimit adds the difference of a limit. none is how a limit of 0 reads. It counts as the
// highest, so that a limit that is set for the first time is listed with the lowered ones.
func (d *differ) addLimit(subject, what string, before, after float64, none string) {
	group := LimitsLowered
	if before != 0 && (after > before || after == 0) {
		group = LimitsRaised
	}
	if before != after {
		d.addValues(group, subject, what, limitText(before, none), limitText(after, none))
	}
}

func limitText(n float64, none string) string {
	if n == 0 {
		return none
	}
	return fmt.Sprintf("%.15g", n)
}

// addChange adds a difference of two values.
func addChange[T comparable](d *differ, g Group, subject, what string, before, after T) {
	if before != after {
		d.addValues(g, subject, what, valueText(before), valueText(after))
	}
}

func valueText(v any) string {
	if s := fmt.Sprint(v); s != "" {
		return s
	}
	return "none"
}

func (d *differ) compareLimits() {
	const subject = "all requests"
	b, a := d.before.Catalog.Limits, d.after.Catalog.Limits
	d.addLimit(subject, "header bytes", float64(b.HeaderBytes), float64(a.HeaderBytes), "default")
	d.addLimit(subject, "body bytes", float64(b.BodyBytes), float64(a.BodyBytes), "default")
	addChange(d, TimeoutsChanged, subject, "header timeout", b.HeaderTimeout, a.HeaderTimeout)
	addChange(d, TimeoutsChanged, subject, "idle timeout", b.IdleTimeout, a.IdleTimeout)
}

func (d *differ) compareServices() {
	before := byName(d.before.Catalog.Services, func(s *traffic.Service) string { return s.Name })
	after := byName(d.after.Catalog.Services, func(s *traffic.Service) string { return s.Name })
	for i := range d.before.Catalog.Services {
		name := d.before.Catalog.Services[i].Name
		if after[name] == nil && before[name] == &d.before.Catalog.Services[i] {
			d.add(ServicesChanged, subject("service", name), "removed")
		}
	}
	for i := range d.after.Catalog.Services {
		a := &d.after.Catalog.Services[i]
		s, b := subject("service", a.Name), before[a.Name]
		switch {
		case after[a.Name] != a: // an earlier one of that name, which isn't in force
		case b == nil:
			d.add(ServicesChanged, s, "added")
		default:
			d.compareService(s, b, a)
		}
	}
}

func (d *differ) compareService(s string, b, a *traffic.Service) {
	addChange(d, ServicesChanged, s, "health path", b.HealthPath, a.HealthPath)
	addChange(d, ServicesChanged, s, "connections", b.MaxConnections, a.MaxConnections)
	addChange(d, ServicesChanged, s, "cache address", b.CacheAddress, a.CacheAddress)
	addChange(d, ServicesChanged, s, "cache tokens", b.CacheTokens, a.CacheTokens)
	var be, ae traffic.EngineSpec
	if b.Engine != nil {
		be = *b.Engine
	}
	if a.Engine != nil {
		ae = *a.Engine
	}
	addChange(d, ServicesChanged, s, "engine slots", be.Slots, ae.Slots)
	addChange(d, ServicesChanged, s, "engine memory tokens", be.MemoryTokens, ae.MemoryTokens)
	addChange(d, ServicesChanged, s, "engine token bytes", be.TokenBytes, ae.TokenBytes)
	addChange(d, ServicesChanged, s, "engine event polls", be.MaxEventPolls, ae.MaxEventPolls)
}

// byName returns the elements by name. Of those with one name the last one counts, as in
// package matcher.
func byName[T any](list []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		out[name(&list[i])] = &list[i]
	}
	return out
}

func subject(kind, name string) string { return fmt.Sprintf("%s %.60q", kind, name) }
