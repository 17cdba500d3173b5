// Package catalog builds immutable lookup tables from a declaration, which are used
// to resolve the workspace, pool and route of a request.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// ServicePoolPrefix precedes the name of a service in the name of the pool that
// holds its back ends.
const ServicePoolPrefix = "service:"

// Catalog holds the lookup tables of one configuration revision. It is immutable.
type Catalog struct {
	Revision    uint64
	Declaration config.Declaration
	Hasher      hasher.Hasher

	keys      map[[sha256.Size]byte]int
	models    map[string][]config.Pool
	pools     map[string]config.Pool
	routes    map[string]config.Route
	upstreams map[string]config.Upstream
	vms       map[string]config.VM
}

// New returns the Catalog of d, which must be valid.
func New(revision uint64, d config.Declaration) *Catalog {
	d = d.WithDefaults()
	c := &Catalog{
		Revision: revision, Declaration: d, Hasher: hasher.New(d.PieceBytes),
		keys: map[[sha256.Size]byte]int{}, models: map[string][]config.Pool{}, pools: map[string]config.Pool{},
		routes: map[string]config.Route{}, upstreams: map[string]config.Upstream{}, vms: map[string]config.VM{},
	}
	for i, w := range d.Workspaces {
		for _, k := range w.KeyHashes {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(k)); err == nil {
				c.keys[sum] = i
			}
		}
	}
	for _, p := range d.Pools {
		c.models[p.Model] = append(c.models[p.Model], p)
		c.pools[p.Name] = p
	}
	for _, s := range d.Services {
		for _, r := range s.Routes {
			c.routes[s.Name+r.Path] = r
		}
	}
	for _, u := range d.Upstreams {
		c.upstreams[u.Name] = u
	}
	for _, v := range d.VMs {
		c.vms[v.Name] = v
	}
	return c
}

// Workspace returns the workspace of an API key. The lookup uses the hash of the
// key, and the final comparison takes constant time.
func (c *Catalog) Workspace(key string) (config.Workspace, bool) {
	sum := sha256.Sum256([]byte(key))
	i, ok := c.keys[sum]
	if !ok {
		return config.Workspace{}, false
	}
	w := c.Declaration.Workspaces[i]
	for _, k := range w.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(k), []byte(hex.EncodeToString(sum[:]))) == 1 {
			return w, true
		}
	}
	return config.Workspace{}, false
}

// PoolForModel returns the first pool that serves model. Requests use its fallbacks
// after it.
func (c *Catalog) PoolForModel(model string) (config.Pool, bool) {
	pools := c.models[model]
	if len(pools) == 0 {
		return config.Pool{}, false
	}
	return pools[0], true
}

// PoolByName returns a pool by name.
func (c *Catalog) PoolByName(name string) (config.Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Fallback returns the declared fallback of the pool called name.
func (c *Catalog) Fallback(name string) (config.Pool, bool) {
	return c.PoolByName(c.pools[name].Fallback)
}

// Route returns the route of a plain service.
func (c *Catalog) Route(service, path string) (config.Route, bool) {
	r, ok := c.routes[service+path]
	return r, ok
}

// Upstream returns an upstream by name.
func (c *Catalog) Upstream(name string) (config.Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}

// Region returns the region of a data centre, or an empty string if it is unknown.
func (c *Catalog) Region(dataCentre string) string {
	for _, d := range c.Declaration.DataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// VM returns a VM by name, or the zero value if it is unknown.
func (c *Catalog) VM(name string) config.VM { return c.vms[name] }

// Engines returns the upstreams in the form that the router needs. It leaves out
// the upstreams on VMs for which isLive returns false: the platform lists these VMs
// as leaving or gone.
func (c *Catalog) Engines(isLive func(vm string) bool) []router.Engine {
	var out []router.Engine
	for _, u := range c.Declaration.Upstreams {
		v := c.vms[u.VM]
		if !isLive(v.Name) {
			continue
		}
		e := router.Engine{ID: u.Name, URL: u.URL, Pool: u.Pool, Slots: u.Slots}
		if u.Service != "" {
			e.Pool = ServicePoolPrefix + u.Service
		}
		if v.DrainFrom != nil {
			e.LeavesAt = *v.DrainFrom
		}
		out = append(out, e)
	}
	return out
}

// Salt returns the cache salt of a workspace. It depends only on the name.
func Salt(workspace string) string {
	sum := sha256.Sum256([]byte("salt\x00" + workspace))
	return hex.EncodeToString(sum[:16])
}
