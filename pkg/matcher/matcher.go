// Package matcher looks up routes by host and path, services by name and
// workspaces by API key in one version of the configuration.
package matcher

import (
	"sort"
	"strings"

	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/sharder"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Matcher is an index of a catalog. It is immutable and safe for concurrent use.
type Matcher struct {
	catalog         *traffic.Catalog
	routesByHost    map[string][]*traffic.Route // longest prefix first
	servicesByName  map[string]*traffic.Service
	workspacesByKey map[string]*traffic.Workspace
	cacheStores     *sharder.Sharder
	cacheTokens     int
	scopes          scoper.Scoper
}

// New returns a Matcher for c.
func New(c *traffic.Catalog) *Matcher {
	m := &Matcher{
		catalog: c, routesByHost: map[string][]*traffic.Route{},
		servicesByName:  make(map[string]*traffic.Service, len(c.Services)),
		workspacesByKey: map[string]*traffic.Workspace{},
		scopes:          scoper.New(c.Workspaces, scoper.History{}),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		m.routesByHost[host] = append(m.routesByHost[host], r)
	}
	for _, routes := range m.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	var addresses []string
	for i := range c.Services {
		m.servicesByName[c.Services[i].Name] = &c.Services[i]
		if addr := c.Services[i].CacheAddress; addr != "" {
			addresses = append(addresses, addr)
			m.cacheTokens += max(0, c.Services[i].CacheTokens)
		}
	}
	m.cacheStores = sharder.New(addresses)
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			m.workspacesByKey[k] = &c.Workspaces[i]
		}
	}
	return m
}

// WithHistory returns a Matcher of the same catalog whose cache scopes take into account what
// is known of earlier configurations.
func (m *Matcher) WithHistory(h scoper.History) *Matcher {
	with := *m
	with.scopes = scoper.New(m.catalog.Workspaces, h)
	return &with
}

// Catalog returns the catalog that the index was built from.
func (m *Matcher) Catalog() *traffic.Catalog { return m.catalog }

// Route returns the route of host with the longest prefix of path, or nil if
// there is none. A port in host is ignored.
func (m *Matcher) Route(host, path string) *traffic.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range m.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service called name, or nil if there is none.
func (m *Matcher) Service(name string) *traffic.Service { return m.servicesByName[name] }

// CacheStores returns the cache stores, which are the services with a cache address.
func (m *Matcher) CacheStores() *sharder.Sharder { return m.cacheStores }

// CacheTokens returns the capacity of all cache stores together, in tokens.
func (m *Matcher) CacheTokens() int { return m.cacheTokens }

// Workspace returns the workspace that key belongs to, or nil if there is none.
func (m *Matcher) Workspace(key string) *traffic.Workspace { return m.workspacesByKey[key] }

// CacheScope returns the cache scope of w's prompts; w is nil for requests without a
// workspace.
func (m *Matcher) CacheScope(w *traffic.Workspace) string { return m.scopes.Scope(w) }

// UnprovenCacheScope returns the cache scope of prompts without a workspace on a node whose
// configuration may be out of date.
func (m *Matcher) UnprovenCacheScope() string { return m.scopes.Unproven() }

// RequiresKey reports whether requests need an API key: they do if the catalog
// has workspaces.
func (m *Matcher) RequiresKey() bool { return len(m.catalog.Workspaces) > 0 }
