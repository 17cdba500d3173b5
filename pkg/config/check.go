package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"time"
)

// Problem is a validation error: the field, what is wrong with it and how to fix
// it.
type Problem struct {
	Field  string `json:"field"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.Field + ": " + p.Fault + "; " + p.Remedy }

// checker collects the problems that are found during validation.
type checker struct{ problems []Problem }

func (c *checker) add(remedy, field, fault string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, Fault: fmt.Sprintf(fault, args...), Remedy: remedy})
}

// requireUnique reports an empty name and one that is already in seen, and adds
// the name to seen.
func (c *checker) requireUnique(seen map[string]bool, field, name string) {
	switch {
	case name == "":
		c.add("give it a name", field, "is empty")
	case seen[name]:
		c.add("rename or remove one of them", field, "duplicate %q", name)
	}
	seen[name] = true
}

// requireDeclared reports a name that is not in seen, the names of a section of
// the declaration.
func (c *checker) requireDeclared(seen map[string]bool, field, name, section string) {
	if !seen[name] {
		c.add("declare it in "+section+" or correct the name", field, "unknown %q", name)
	}
}

func (c *checker) checkClass(field string, class Class) {
	switch class {
	case "", Interactive, Standard, Batch:
	default:
		c.add("use interactive, standard or batch", field, "unknown class %q", class)
	}
}

// Check validates d and returns all problems, or none if d is valid. It compares
// d with prev, the previous declaration, which may be nil: a leave time before now
// is a problem unless the VM has the same leave time in prev, and the keepDays of
// a route must not be raised, since older claims have been dropped.
func (d Declaration) Check(now time.Time, prev *Declaration) []Problem {
	c := &checker{}
	dataCentres := d.checkDataCentres(c)
	models, versions := d.checkModels(c)
	vms := d.checkVMs(c, now, dataCentres, prev)
	pools := d.checkPools(c, models, versions)
	services := d.checkServices(c, prev)
	d.checkUpstreams(c, vms, pools, services)
	d.checkWorkspaces(c, models)
	requireNonNegative(c, "pieceBytes", d.PieceBytes)
	requireNonNegative(c, "weightStore.slots", d.WeightStore.Slots)
	return c.problems
}

func requireNonNegative[T int | float64](c *checker, field string, n T) {
	if n < 0 {
		c.add("use 0 for the default, or a positive number", field, "is negative")
	}
}

func (d Declaration) checkDataCentres(c *checker) map[string]bool {
	seen := map[string]bool{}
	for i, p := range d.DataCentres {
		c.requireUnique(seen, fmt.Sprintf("dataCentres[%d].name", i), p.Name)
	}
	return seen
}

func (d Declaration) checkModels(c *checker) (models, versions map[string]bool) {
	models, versions = map[string]bool{}, map[string]bool{}
	for i, m := range d.Models {
		c.requireUnique(models, fmt.Sprintf("models[%d].name", i), m.Name)
		if len(m.Versions) == 0 {
			c.add("list at least one", fmt.Sprintf("models[%d].versions", i), "is empty")
		}
		modelVersions := map[string]bool{}
		for j, v := range m.Versions {
			c.requireUnique(modelVersions, fmt.Sprintf("models[%d].versions[%d]", i, j), v)
			versions[m.Name+"@"+v] = true
		}
	}
	return models, versions
}

func (d Declaration) checkVMs(c *checker, now time.Time, dataCentres map[string]bool, prev *Declaration) map[string]bool {
	previous := map[string]time.Time{}
	if prev != nil {
		for _, v := range prev.VMs {
			if v.LeavesAt != nil {
				previous[v.Name] = *v.LeavesAt
			}
		}
	}
	names := map[string]bool{}
	for i, v := range d.VMs {
		field := fmt.Sprintf("vms[%d].", i)
		c.requireUnique(names, field+"name", v.Name)
		c.requireDeclared(dataCentres, field+"dataCentre", v.DataCentre, "dataCentres")
		if v.LeavesAt == nil {
			if v.DrainFrom != nil {
				c.add("add leavesAt or remove drainFrom", field+"drainFrom", "stands without leavesAt")
			}
			continue
		}
		if t, ok := previous[v.Name]; v.LeavesAt.Before(now) && !(ok && t.Equal(*v.LeavesAt)) {
			c.add("give a time to come, or remove the VM", field+"leavesAt", "is in the past (%s)", v.LeavesAt.Format(time.RFC3339))
		}
		if v.DrainFrom != nil && v.DrainFrom.After(*v.LeavesAt) {
			c.add("let it precede leavesAt", field+"drainFrom", "is after leavesAt")
		}
	}
	return names
}

func (d Declaration) checkPools(c *checker, models, versions map[string]bool) map[string]bool {
	seen := map[string]bool{}
	fallbacks := map[string]string{}
	for i, p := range d.Pools {
		field := fmt.Sprintf("pools[%d].", i)
		c.requireUnique(seen, field+"name", p.Name)
		c.checkClass(field+"class", p.Class)
		fallbacks[p.Name] = p.Fallback
		switch {
		case !models[p.Model]:
			c.requireDeclared(models, field+"model", p.Model, "models")
		case !versions[p.Model+"@"+p.Version]:
			c.add("add it to the versions of the model or correct it", field+"version", "unknown version %q of %q", p.Version, p.Model)
		}
	}
	for i, p := range d.Pools {
		field := fmt.Sprintf("pools[%d].fallback", i)
		if p.Fallback == "" {
			continue
		}
		c.requireDeclared(seen, field, p.Fallback, "pools")
		if fallbackReaches(fallbacks, p.Fallback, p.Name) {
			c.add("let the last pool of the line have none", field, "forms a cycle through %q", p.Name)
		}
	}
	return seen
}

// fallbackReaches reports whether the chain of fallbacks that starts at the pool
// from contains the pool to.
func fallbackReaches(fallbacks map[string]string, from, to string) bool {
	for range len(fallbacks) + 1 {
		if from == to {
			return true
		}
		if from = fallbacks[from]; from == "" {
			return false
		}
	}
	return false
}

// keepDaysByRoute returns the keepDays of each route of d, by service name and
// path. d may be nil.
func (d *Declaration) keepDaysByRoute() map[string]int {
	days := map[string]int{}
	if d == nil {
		return days
	}
	for _, s := range d.Services {
		for _, r := range s.Routes {
			days[s.Name+r.Path] = r.KeepDays
		}
	}
	return days
}

func (d Declaration) checkServices(c *checker, prev *Declaration) map[string]bool {
	previousKeepDays := prev.keepDaysByRoute()
	seen := map[string]bool{}
	for i, s := range d.Services {
		c.requireUnique(seen, fmt.Sprintf("services[%d].name", i), s.Name)
		paths := map[string]bool{}
		for j, r := range s.Routes {
			field := fmt.Sprintf("services[%d].routes[%d].", i, j)
			c.requireUnique(paths, field+"path", r.Path)
			c.checkClass(field+"class", r.Class)
			requireNonNegative(c, field+"keepDays", r.KeepDays)
			if before := previousKeepDays[s.Name+r.Path]; before > 0 && (r.KeepDays > before || r.KeepDays == 0) {
				c.add("keep it at that or lower", field+"keepDays", "can't be raised from %d: older claims are forgotten", before)
			}
			if len(r.Path) == 0 || r.Path[0] != '/' {
				c.add("start it with a slash", field+"path", "%q is no path", r.Path)
			}
		}
	}
	return seen
}

func (d Declaration) checkUpstreams(c *checker, vms, pools, services map[string]bool) {
	seen := map[string]bool{}
	for i, u := range d.Upstreams {
		field := fmt.Sprintf("upstreams[%d].", i)
		c.requireUnique(seen, field+"name", u.Name)
		c.requireDeclared(vms, field+"vm", u.VM, "vms")
		requireNonNegative(c, field+"slots", u.Slots)
		c.checkURL(field+"url", u.URL)
		switch {
		case (u.Pool == "") == (u.Service == ""):
			c.add("name one of the two", field+"pool", "needs a pool or a service, not both")
		case u.Pool != "":
			c.requireDeclared(pools, field+"pool", u.Pool, "pools")
		default:
			c.requireDeclared(services, field+"service", u.Service, "services")
		}
	}
}

func (c *checker) checkURL(field, raw string) {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || net.ParseIP(u.Hostname()) == nil {
		c.add("write http://IP:PORT", field, "%q is no URL with an IP number", raw)
	}
}

func (d Declaration) checkWorkspaces(c *checker, models map[string]bool) {
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, w := range d.Workspaces {
		field := fmt.Sprintf("workspaces[%d].", i)
		c.requireUnique(seen, field+"name", w.Name)
		requireNonNegative(c, field+"weight", w.Weight)
		requireNonNegative(c, field+"tokensPerSecond", w.TokensPerSecond)
		for j, m := range w.Models {
			c.requireDeclared(models, fmt.Sprintf("%smodels[%d]", field, j), m, "models")
		}
		if len(w.KeyHashes) == 0 {
			c.add("add the SHA-256 of a bearer key", field+"keyHashes", "is empty")
		}
		for j, k := range w.KeyHashes {
			key := fmt.Sprintf("%skeyHashes[%d]", field, j)
			c.requireUnique(keys, key, k)
			c.checkHash(key, k)
		}
	}
}

func (c *checker) checkHash(field, h string) {
	if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
		c.add("write 64 hex digits (sha256sum of the key)", field, "is no SHA-256 in hex")
	}
}

const minSecretLength = 16

// Check validates s and returns all problems, or none if s is valid.
func (s Settings) Check() []Problem {
	c := &checker{}
	if s.Name == "" {
		c.add("give the node a unique name", "name", "is empty")
	}
	if s.DataCentre == "" {
		c.add("set the data centre of the node", "dataCentre", "is empty")
	}
	c.checkAddress("listen", s.Listen)
	c.checkAddress("peerListen", s.PeerListen)
	for i, p := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), p)
	}
	if len(s.PeerSecret) < minSecretLength {
		c.add("use at least 16 characters", "peerSecret", "is too short")
	}
	c.checkURL("platform", s.Platform)
	if s.OperatorKeyHash != "" {
		c.checkHash("operatorKeyHash", s.OperatorKeyHash)
	}
	switch s.LogLevel {
	case "", "debug", "info", "warning", "error":
	default:
		c.add("use debug, info, warning or error", "logLevel", "unknown level %q", s.LogLevel)
	}
	return c.problems
}

func (c *checker) checkAddress(field, a string) {
	host, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		c.add("write IP:PORT", field, "%q is no address with an IP number", a)
	}
}
