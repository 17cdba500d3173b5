package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"time"
)

// Problem is one fault of a file: the field, what is wrong and the remedy.
type Problem struct {
	Field  string `json:"field"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.Field + ": " + p.Fault + "; " + p.Remedy }

type checker struct{ problems []Problem }

func (c *checker) add(remedy, field, fault string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, Fault: fmt.Sprintf(fault, args...), Remedy: remedy})
}

func (c *checker) unique(seen map[string]bool, field, name string) {
	switch {
	case name == "":
		c.add("give it a name", field, "is empty")
	case seen[name]:
		c.add("rename or remove one of them", field, "duplicate %q", name)
	}
	seen[name] = true
}

func (c *checker) known(seen map[string]bool, field, name, list string) {
	if !seen[name] {
		c.add("declare it in "+list+" or correct the name", field, "unknown %q", name)
	}
}

func (c *checker) class(field string, class Class) {
	switch class {
	case "", Interactive, Standard, Batch:
	default:
		c.add("use interactive, standard or batch", field, "unknown class %q", class)
	}
}

// Check returns every problem of d, none for a good declaration. Leave times
// before now are problems unless the VM already stood in prev with that time.
func (d Declaration) Check(now time.Time, prev *Declaration) []Problem {
	c := &checker{}
	places := d.checkPlaces(c)
	models, versions := d.checkModels(c)
	vms := d.checkVMs(c, now, places, prev)
	pools := d.checkPools(c, models, versions)
	services := d.checkServices(c, prev)
	d.checkUpstreams(c, vms, pools, services)
	d.checkWorkspaces(c, models)
	c.nonNegative("pieceBytes", d.PieceBytes)
	c.nonNegative("weightStore.slots", d.WeightStore.Slots)
	return c.problems
}

func (c *checker) nonNegative(field string, n int) {
	if n < 0 {
		c.add("use 0 for the default, or a positive number", field, "is negative")
	}
}

func (d Declaration) checkPlaces(c *checker) map[string]bool {
	seen := map[string]bool{}
	for i, p := range d.DataCentres {
		c.unique(seen, fmt.Sprintf("dataCentres[%d].name", i), p.Name)
	}
	return seen
}

func (d Declaration) checkModels(c *checker) (models, versions map[string]bool) {
	models, versions = map[string]bool{}, map[string]bool{}
	for i, m := range d.Models {
		c.unique(models, fmt.Sprintf("models[%d].name", i), m.Name)
		if len(m.Versions) == 0 {
			c.add("list at least one", fmt.Sprintf("models[%d].versions", i), "is empty")
		}
		own := map[string]bool{}
		for j, v := range m.Versions {
			c.unique(own, fmt.Sprintf("models[%d].versions[%d]", i, j), v)
			versions[m.Name+"@"+v] = true
		}
	}
	return models, versions
}

func (d Declaration) checkVMs(c *checker, now time.Time, places map[string]bool, prev *Declaration) map[string]bool {
	old := map[string]time.Time{}
	if prev != nil {
		for _, v := range prev.VMs {
			if v.LeavesAt != nil {
				old[v.Name] = *v.LeavesAt
			}
		}
	}
	seen := map[string]bool{}
	for i, v := range d.VMs {
		field := fmt.Sprintf("vms[%d].", i)
		c.unique(seen, field+"name", v.Name)
		c.known(places, field+"dataCentre", v.DataCentre, "dataCentres")
		if v.LeavesAt == nil {
			if v.DrainFrom != nil {
				c.add("add leavesAt or remove drainFrom", field+"drainFrom", "stands without leavesAt")
			}
			continue
		}
		if t, ok := old[v.Name]; v.LeavesAt.Before(now) && !(ok && t.Equal(*v.LeavesAt)) {
			c.add("give a time to come, or remove the VM", field+"leavesAt", "is in the past (%s)", v.LeavesAt.Format(time.RFC3339))
		}
		if v.DrainFrom != nil && v.DrainFrom.After(*v.LeavesAt) {
			c.add("let it precede leavesAt", field+"drainFrom", "is after leavesAt")
		}
	}
	return seen
}

func (d Declaration) checkPools(c *checker, models, versions map[string]bool) map[string]bool {
	seen := map[string]bool{}
	next := map[string]string{}
	for i, p := range d.Pools {
		field := fmt.Sprintf("pools[%d].", i)
		c.unique(seen, field+"name", p.Name)
		c.class(field+"class", p.Class)
		next[p.Name] = p.Fallback
		switch {
		case !models[p.Model]:
			c.known(models, field+"model", p.Model, "models")
		case !versions[p.Model+"@"+p.Version]:
			c.add("add it to the versions of the model or correct it", field+"version", "unknown version %q of %q", p.Version, p.Model)
		}
	}
	for i, p := range d.Pools {
		field := fmt.Sprintf("pools[%d].fallback", i)
		if p.Fallback == "" {
			continue
		}
		c.known(seen, field, p.Fallback, "pools")
		if reaches(next, p.Fallback, p.Name) {
			c.add("let the last pool of the line have none", field, "forms a cycle through %q", p.Name)
		}
	}
	return seen
}

func reaches(next map[string]string, from, to string) bool {
	for range len(next) + 1 {
		if from == to {
			return true
		}
		if from = next[from]; from == "" {
			return false
		}
	}
	return false
}

// kept returns the keepDays of each route of d.
func (d *Declaration) kept() map[string]int {
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
	old := prev.kept()
	seen := map[string]bool{}
	for i, s := range d.Services {
		c.unique(seen, fmt.Sprintf("services[%d].name", i), s.Name)
		paths := map[string]bool{}
		for j, r := range s.Routes {
			field := fmt.Sprintf("services[%d].routes[%d].", i, j)
			c.unique(paths, field+"path", r.Path)
			c.class(field+"class", r.Class)
			c.nonNegative(field+"keepDays", r.KeepDays)
			if before := old[s.Name+r.Path]; before > 0 && (r.KeepDays > before || r.KeepDays == 0) {
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
		c.unique(seen, field+"name", u.Name)
		c.known(vms, field+"vm", u.VM, "vms")
		c.nonNegative(field+"slots", u.Slots)
		c.url(field+"url", u.URL)
		switch {
		case (u.Pool == "") == (u.Service == ""):
			c.add("name one of the two", field+"pool", "needs a pool or a service, not both")
		case u.Pool != "":
			c.known(pools, field+"pool", u.Pool, "pools")
		default:
			c.known(services, field+"service", u.Service, "services")
		}
	}
}

func (c *checker) url(field, raw string) {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || net.ParseIP(u.Hostname()) == nil {
		c.add("write http://IP:PORT", field, "%q is no URL with an IP number", raw)
	}
}

func (d Declaration) checkWorkspaces(c *checker, models map[string]bool) {
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, w := range d.Workspaces {
		field := fmt.Sprintf("workspaces[%d].", i)
		c.unique(seen, field+"name", w.Name)
		c.nonNegative(field+"weight", w.Weight)
		c.nonNegative(field+"tokensPerSecond", w.TokensPerSecond)
		for j, m := range w.Models {
			c.known(models, fmt.Sprintf("%smodels[%d]", field, j), m, "models")
		}
		if len(w.KeyHashes) == 0 {
			c.add("add the SHA-256 of a bearer key", field+"keyHashes", "is empty")
		}
		for j, k := range w.KeyHashes {
			key := fmt.Sprintf("%skeyHashes[%d]", field, j)
			c.unique(keys, key, k)
			c.hash(key, k)
		}
	}
}

func (c *checker) hash(field, h string) {
	if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
		c.add("write 64 hex digits (sha256sum of the key)", field, "is no SHA-256 in hex")
	}
}

const minSecretLength = 16

// Check returns every problem of s.
func (s Settings) Check() []Problem {
	c := &checker{}
	if s.Name == "" {
		c.add("give the node a unique name", "name", "is empty")
	}
	if s.DataCentre == "" {
		c.add("name the data centre the node stands in", "dataCentre", "is empty")
	}
	c.address("listen", s.Listen)
	c.address("peerListen", s.PeerListen)
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), p)
	}
	if len(s.PeerSecret) < minSecretLength {
		c.add("use at least 16 characters", "peerSecret", "is too short")
	}
	c.url("platform", s.Platform)
	if s.OperatorKeyHash != "" {
		c.hash("operatorKeyHash", s.OperatorKeyHash)
	}
	switch s.LogLevel {
	case "", "debug", "info", "warning", "error":
	default:
		c.add("use debug, info, warning or error", "logLevel", "unknown level %q", s.LogLevel)
	}
	return c.problems
}

func (c *checker) address(field, a string) {
	host, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		c.add("write IP:PORT", field, "%q is no address with an IP number", a)
	}
}
