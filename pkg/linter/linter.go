package linter

import (
	"fmt"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// View is a configuration as the rules see it. Declarations and catalogs are checked by the
// same rules on their Views.
type View struct {
	Catalog *traffic.Catalog
	// Declaration is set if the catalog was made from a declaration: its routes match whole
	// paths, package config checks its names, and it has no limits for callers.
	Declaration bool
	// Rate returns the rate limit of a workspace, 0 for none, and its burst. It is nil if
	// they aren't known.
	Rate func(workspace int) (perSecond, burst float64)
	// HasRoute reports whether a workspace may use any route. If it is nil, workspaces may
	// use all routes that aren't public.
	HasRoute func(workspace int) bool
}

// checker collects the findings of one check.
type checker struct {
	View
	Collector
	// keyed is set if a route matches requests that need a key.
	keyed bool
}

// Check returns the findings on v in the order of routes, services, workspaces and limits, at
// most limit of each severity, and the number of those omitted. Its cost is linear in the size of
// the catalog.
func Check(v View, limit int) (findings []Finding, omitted int) {
	c := &checker{View: v, Collector: Collector{Limit: limit}}
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	if !v.Declaration {
		c.checkLimits()
	}
	return c.Findings, c.Omitted
}

func (c *checker) add(severity Severity, code Code, at Ref, format string, args ...any) {
	if c.Admit(severity) {
		c.Findings = append(c.Findings, Finding{Code: code, Severity: severity, Ref: at, Text: fmt.Sprintf(format, args...)})
	}
}

func at(s Section, index int, f Field) Ref {
	return Ref{Section: s, Index: index, Field: f, Element: None}
}

// quote returns a name for a text. Long names are cut, so that a log line stays short.
func quote(name string) string { return fmt.Sprintf("%.60q", name) }

// checkName reports a name that an earlier element of the section has, and adds it to seen.
func (c *checker) checkName(seen map[string]bool, s Section, index int, name, effect string) {
	if c.Declaration || name == "" {
		return
	}
	if seen[name] {
		c.add(Error, NameDuplicate, at(s, index, Name), "name %s is used before; %s", quote(name), effect)
	}
	seen[name] = true
}

func (c *checker) checkLimits() {
	l := c.Catalog.Limits
	if l.HeaderBytes <= 0 {
		c.add(Warning, LimitZero, at(Limits, None, HeaderBytes), "the limit of headers is 0 or absent, so that the nodes' own applies")
	}
	if l.BodyBytes <= 0 {
		c.add(Warning, LimitZero, at(Limits, None, BodyBytes), "the limit of bodies is 0 or absent, so that the nodes' own applies")
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, IdleBelowHeader, at(Limits, None, IdleTimeout),
			"the idle timeout of %v is below the header timeout of %v", l.IdleTimeout, l.HeaderTimeout)
	}
}
