package linter

import (
	"fmt"
	"slices"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// servicePrefix precedes the names of plain services, which may be those of pools too.
	servicePrefix = "service:"
	// modelHost is the host of the routes that are made from models.
	modelHost = "models"
)

// Declared is a declaration as a View, with the paths of its elements in the declaration.
type Declared struct {
	View
	routes, services []string // paths by index
}

// FromDeclaration returns the View of d. Plain services and pools are its services, with their
// upstreams as weights; the paths of plain services and the models are its routes.
func FromDeclaration(d config.Declaration) *Declared {
	d = d.WithDefaults()
	c := &traffic.Catalog{}
	v := &Declared{View: View{Catalog: c, Declaration: true}}
	upstreams := map[string]int{}
	for _, u := range d.Upstreams {
		if u.Pool != "" {
			upstreams[u.Pool]++
		} else {
			upstreams[servicePrefix+u.Service]++
		}
	}
	for i, s := range d.Services {
		name := servicePrefix + s.Name
		c.Services = append(c.Services, traffic.Service{Name: name})
		v.services = append(v.services, fmt.Sprintf("services[%d]", i))
		for j, r := range s.Routes {
			route := traffic.Route{
				Name: s.Name + r.Path, Host: name, Prefix: r.Path, Kind: traffic.Unsafe, Priority: priority(r.Class),
				Targets: []traffic.Target{{Service: name, Weight: upstreams[name]}},
			}
			if r.Repeatable {
				route.Kind = traffic.Safe
			}
			c.Routes = append(c.Routes, route)
			v.routes = append(v.routes, fmt.Sprintf("services[%d].routes[%d]", i, j))
		}
	}
	served := v.addModels(d, upstreams)
	for _, w := range d.Workspaces {
		c.Workspaces = append(c.Workspaces, traffic.Workspace{Name: w.Name, Keys: w.KeyHashes})
	}
	v.Rate = func(i int) (perSecond, burst float64) {
		return float64(d.Workspaces[i].TokensPerSecond), float64(d.Workspaces[i].BurstTokens)
	}
	v.HasRoute = func(i int) bool {
		models := d.Workspaces[i].Models
		// All workspaces may use the plain services.
		return len(models) == 0 || len(v.routes) > len(d.Models) || slices.ContainsFunc(models, func(m string) bool { return served[m] })
	}
	return v
}

// addModels adds the pools and the models and returns the models that have an upstream.
func (v *Declared) addModels(d config.Declaration, upstreams map[string]int) map[string]bool {
	targets, served := map[string][]traffic.Target{}, map[string]bool{}
	for i, p := range d.Pools {
		v.Catalog.Services = append(v.Catalog.Services, traffic.Service{Name: p.Name})
		v.services = append(v.services, fmt.Sprintf("pools[%d]", i))
		targets[p.Model] = append(targets[p.Model], traffic.Target{Service: p.Name, Weight: upstreams[p.Name]})
		served[p.Model] = served[p.Model] || upstreams[p.Name] > 0
	}
	for i, m := range d.Models {
		v.Catalog.Routes = append(v.Catalog.Routes, traffic.Route{
			Name: m.Name, Host: modelHost, Prefix: m.Name, Kind: traffic.Streaming, Resumable: true, Targets: targets[m.Name],
		})
		v.routes = append(v.routes, fmt.Sprintf("models[%d]", i))
	}
	return served
}

// prefixField returns the field that holds the prefix of a route, if r refers to it.
func (v *Declared) prefixField(r Ref) string {
	switch {
	case r.Field != Prefix:
		return ""
	case v.Catalog.Routes[r.Index].Host == modelHost:
		return ".name"
	}
	return ".path"
}

func priority(c config.Class) int {
	return slices.Index([]config.Class{config.Interactive, config.Standard, config.Batch}, c)
}

// Path returns the path of a place in the declaration, as package config writes paths.
func (v *Declared) Path(r Ref) string {
	switch r.Section {
	case Routes:
		return v.routes[r.Index] + v.prefixField(r)
	case Services:
		return v.services[r.Index]
	case Workspaces:
		path := fmt.Sprintf("workspaces[%d]", r.Index)
		switch r.Field {
		case Keys:
			path += ".keyHashes"
		case Rate:
			path += ".tokensPerSecond"
		case Burst:
			path += ".burstTokens"
		}
		if r.Element != None {
			path += fmt.Sprintf("[%d]", r.Element)
		}
		return path
	}
	return ""
}
