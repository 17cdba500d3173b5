package differ_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/differ"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// rates are the rate limits by workspace.
type rates map[string][2]float64

func catalog() *traffic.Catalog {
	return &traffic.Catalog{
		Version: 7,
		Routes: []traffic.Route{
			{Name: "r1", Host: "h", Prefix: "/a/", Kind: traffic.Safe, MaxAttempts: 2, Timeout: time.Second, Targets: []traffic.Target{{Service: "x", Weight: 1}}},
			{Name: "r2", Host: "h", Prefix: "/b/", Kind: traffic.Unsafe, Targets: []traffic.Target{{Service: "x", Weight: 1}}},
		},
		Services:   []traffic.Service{{Name: "x", Engine: &traffic.EngineSpec{Slots: 8}}, {Name: "y"}},
		Workspaces: []traffic.Workspace{{Name: "v", Keys: []string{"k1", "k2"}}, {Name: "w", Keys: []string{"k3"}}},
		Limits:     traffic.Limits{HeaderBytes: 100, BodyBytes: 200, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
}

func view(c *traffic.Catalog, r rates) linter.View {
	return linter.View{Catalog: c, Rate: func(i int) (perSecond, burst float64) {
		l := r[c.Workspaces[i].Name]
		return l[0], l[1]
	}}
}

// text returns the differences on one line.
func text(groups []differ.Changes) string {
	var out []string
	for _, g := range groups {
		for _, c := range g.Changes {
			out = append(out, fmt.Sprintf("%s %s: %s", g.Group, c.Subject, c))
		}
	}
	return strings.Join(out, "; ")
}

// Guards against a difference that is missing, or that stands in a group that tells operators
// the opposite of what changes for callers.
func TestCompare(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *traffic.Catalog, r rates)
		want   string
	}{
		"none":            {func(*traffic.Catalog, rates) {}, ""},
		"order of routes": {func(c *traffic.Catalog, _ rates) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, ""},
		"case of a host":  {func(c *traffic.Catalog, _ rates) { c.Routes[0].Host = "H" }, ""},
		"route added": {func(c *traffic.Catalog, _ rates) {
			c.Routes = append(c.Routes, traffic.Route{Name: "r3", Host: "g", Prefix: "/", Targets: []traffic.Target{{Service: "x", Weight: 1}, {Service: "y", Weight: 3}}})
		}, `routesAdded route "r3": g/ to x:1,y:3`},
		"route removed": {func(c *traffic.Catalog, _ rates) { c.Routes = c.Routes[:1] }, `routesRemoved route "r2": h/b/`},
		"route moved":   {func(c *traffic.Catalog, _ rates) { c.Routes[1].Prefix = "/c/" }, `routesMoved route "r2": address h/b/ -> h/c/`},
		"route renamed": {func(c *traffic.Catalog, _ rates) { c.Routes[1].Name = "q" }, `routesChanged route "q": name r2 -> q`},
		"routes swapped": {
			func(c *traffic.Catalog, _ rates) { c.Routes[0].Prefix, c.Routes[1].Prefix = "/b/", "/a/" },
			`routesMoved route "r1": address h/a/ -> h/b/; routesMoved route "r2": address h/b/ -> h/a/`,
		},
		"route changed": {func(c *traffic.Catalog, _ rates) {
			r := &c.Routes[1]
			r.Kind, r.Public, r.Priority, r.CacheAffinity, r.Resumable, r.Targets = traffic.Streaming, true, 1, true, true, nil
		}, `routesChanged route "r2": kind unsafe -> streaming; routesChanged route "r2": targets x:1 -> none; routesChanged route "r2": public false -> true; routesChanged route "r2": priority 0 -> 1; routesChanged route "r2": cache affinity false -> true; routesChanged route "r2": resumable false -> true`},
		"keys": {func(c *traffic.Catalog, _ rates) {
			c.Workspaces[0].Keys = []string{"k2", "k4", "k4", "k5"}
		}, `keysAdded workspace "v": 2 keys; keysRemoved workspace "v": 1 key`},
		"key moved": {func(c *traffic.Catalog, _ rates) {
			c.Workspaces[0].Keys, c.Workspaces[1].Keys = []string{"k1"}, []string{"k2", "k3"}
		}, `keysMoved workspace "w": 1 key of workspace "v"`},
		"key given twice counts for the last": {func(c *traffic.Catalog, _ rates) {
			c.Workspaces[1].Keys = []string{"k2", "k3"}
		}, `keysMoved workspace "w": 1 key of workspace "v"`},
		"workspaces": {func(c *traffic.Catalog, _ rates) {
			c.Workspaces[1] = traffic.Workspace{Name: "u", Keys: []string{"k6"}}
			c.Workspaces[0].Isolated, c.Workspaces[0].HasPriority, c.Workspaces[0].Priority = true, true, 2
		}, `keysAdded workspace "u": 1 key; keysRemoved workspace "w": 1 key; workspacesChanged workspace "v": isolated false -> true; workspacesChanged workspace "v": priority of the route -> 2; workspacesChanged workspace "u": added; workspacesChanged workspace "w": removed`},
		"limits raised": {func(c *traffic.Catalog, r rates) {
			c.Limits.HeaderBytes, c.Limits.BodyBytes, c.Routes[0].MaxAttempts = 101, 4<<20, 3
			r["v"], r["w"] = [2]float64{}, [2]float64{20, 21}
		}, `limitsRaised route "r1": attempts 2 -> 3; limitsRaised workspace "v": rate per second 10 -> unlimited; limitsRaised workspace "w": rate per second 10 -> 20; limitsRaised workspace "w": burst 20 -> 21; limitsRaised all requests: header bytes 100 -> 101; limitsRaised all requests: body bytes 200 -> 4194304`},
		"limits lowered": {func(c *traffic.Catalog, r rates) {
			c.Limits.HeaderBytes, c.Limits.BodyBytes, c.Routes[0].MaxAttempts = 99, 199, 0
			r["v"], r["w"] = [2]float64{9, 20}, [2]float64{10, 19}
		}, `limitsLowered route "r1": attempts 2 -> 1; limitsLowered workspace "v": rate per second 10 -> 9; limitsLowered workspace "w": burst 20 -> 19; limitsLowered all requests: header bytes 100 -> 99; limitsLowered all requests: body bytes 200 -> 199`},
		"timeouts": {func(c *traffic.Catalog, _ rates) {
			c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 2*time.Second, time.Second
			r := &c.Routes[0]
			r.Timeout, r.LatencyObjective, r.PauseObjective = 2*time.Second, time.Second, time.Second
		}, `timeoutsChanged route "r1": timeout 1s -> 2s; timeoutsChanged route "r1": latency objective 0s -> 1s; timeoutsChanged route "r1": pause objective 0s -> 1s; timeoutsChanged all requests: header timeout 1s -> 2s; timeoutsChanged all requests: idle timeout 1m0s -> 1s`},
		"services": {func(c *traffic.Catalog, _ rates) {
			c.Services = []traffic.Service{{Name: "x", HealthPath: "/h", MaxConnections: 5}, {Name: "z"}}
		}, `servicesChanged service "y": removed; servicesChanged service "x": health path none -> /h; servicesChanged service "x": connections 0 -> 5; servicesChanged service "x": engine slots 8 -> 0; servicesChanged service "z": added`},
	} {
		t.Run(name, func(t *testing.T) {
			limited := rates{"v": {10, 20}, "w": {10, 20}}
			before, after, changed := catalog(), catalog(), rates{"v": {10, 20}, "w": {10, 20}}
			c.change(after, changed)
			if got := text(differ.Compare(view(before, limited), view(after, changed))); got != c.want {
				t.Errorf("differences %s\nwant %s", got, c.want)
			}
		})
	}
}
