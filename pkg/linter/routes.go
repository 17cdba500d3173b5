package linter

import (
	"strings"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// address is what a route matches, as package matcher compares it.
type address struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names := map[string]bool{}
	services := make(map[string]bool, len(c.Catalog.Services))
	for i := range c.Catalog.Services {
		services[c.Catalog.Services[i].Name] = true
	}
	first := make(map[address]int, len(c.Catalog.Routes))
	for i := range c.Catalog.Routes {
		r := &c.Catalog.Routes[i]
		c.checkName(names, Routes, i, r.Name, "logs and metrics can't tell the routes apart")
		matches := c.checkAddress(i, r)
		a := address{strings.ToLower(r.Host), r.Prefix}
		if j, ok := first[a]; ok {
			matches = false
			c.add(Error, RouteUnreachable, at(Routes, i, Prefix), "never matches: route %s has the same host and prefix", quote(c.Catalog.Routes[j].Name))
		} else {
			first[a] = i
		}
		if c.checkTargets(i, r, services) && matches && !r.Public {
			c.keyed = true
		}
		c.checkAttempts(i, r)
	}
}

// checkAddress checks the host and the prefix of a route and reports whether requests can
// match them.
func (c *checker) checkAddress(i int, r *traffic.Route) bool {
	if c.Declaration {
		return true
	}
	matches := true
	switch colon := strings.LastIndexByte(r.Host, ':'); {
	case r.Host == "":
		matches = false
		c.add(Error, RouteHost, at(Routes, i, Host), "has no host, so that it matches no request")
	case colon >= 0 && !strings.HasSuffix(r.Host, "]"):
		matches = false
		c.add(Error, RouteHost, at(Routes, i, Host), "host %s has a port, which is removed from the hosts of requests", quote(r.Host))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		matches = matches && strings.HasPrefix(r.Prefix, "/")
		c.add(Error, RoutePrefix, at(Routes, i, Prefix), "prefix %s doesn't begin and end with a slash", quote(r.Prefix))
	}
	return matches
}

// checkTargets reports whether requests of the route are sent anywhere.
func (c *checker) checkTargets(i int, r *traffic.Route, services map[string]bool) bool {
	if len(r.Targets) == 0 {
		c.add(Error, RouteTargets, at(Routes, i, Targets), "has no target")
		return false
	}
	weighted, known := false, false
	for j, t := range r.Targets {
		weighted = weighted || t.Weight > 0
		known = known || services[t.Service]
		if !services[t.Service] {
			ref := at(Routes, i, Targets)
			ref.Element = j
			c.add(Error, TargetUnknown, ref, "there is no service %s", quote(t.Service))
		}
	}
	switch {
	case weighted:
	case c.Declaration:
		c.add(Error, RouteTargets, at(Routes, i, Targets), "has no upstream")
	default:
		c.add(Error, RouteTargets, at(Routes, i, Targets), "has targets, but none with a weight above 0")
	}
	return (weighted || len(r.Targets) == 1) && known // a single target needs no weight
}

func (c *checker) checkAttempts(i int, r *traffic.Route) {
	if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
		c.add(Warning, TimeoutBelowObjective, at(Routes, i, Timeout), "the timeout of %v is below the latency objective of %v", r.Timeout, r.LatencyObjective)
	}
	if r.Kind == traffic.Unsafe && r.MaxAttempts > 1 {
		c.add(Warning, AttemptsOfUnsafe, at(Routes, i, MaxAttempts), "allows %d attempts, but requests of an unsafe route run at most once", r.MaxAttempts)
	}
}

func (c *checker) checkServices() {
	used, names := map[string]bool{}, map[string]bool{}
	for i := range c.Catalog.Routes {
		for _, t := range c.Catalog.Routes[i].Targets {
			used[t.Service] = true
		}
	}
	for i := range c.Catalog.Services {
		s := &c.Catalog.Services[i]
		c.checkName(names, Services, i, s.Name, "the last one counts")
		// Engines reach cache stores without a route.
		if !used[s.Name] && s.CacheAddress == "" {
			c.add(Warning, ServiceUnused, at(Services, i, Name), "is no target of any route")
		}
	}
}
