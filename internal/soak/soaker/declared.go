package soaker

import (
	"fmt"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// declared is what series of changes have made of the configuration.
type declared struct {
	limits      traffic.Limits
	addedRoutes int
	workspaces  [KeyCount]planner.WorkspaceChanged
	// timeLimits lists the factors of the routes' time limits, oldest first.
	timeLimits []timeLimits
}

type timeLimits struct {
	from   time.Time
	factor float64
}

func newDeclared() declared {
	return declared{limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}}
}

// apply changes the configuration that is written next.
func (d *declared) apply(f planner.Fault, now time.Time) {
	switch f := f.(type) {
	case planner.LimitsChanged:
		d.limits.BodyBytes, d.limits.IdleTimeout = f.BodyBytes, f.IdleTimeout
	case planner.TimeLimitsChanged:
		d.timeLimits = append(d.timeLimits, timeLimits{now, f.Factor})
	case planner.WorkspaceChanged:
		d.workspaces[f.Workspace] = f
	case planner.RoutesAdded:
		d.addedRoutes = f.Routes
	}
}

// factor returns the factor of the time limits of the configuration that is written next.
func (d *declared) factor() float64 {
	if n := len(d.timeLimits); n > 0 {
		return d.timeLimits[n-1].factor
	}
	return 1
}

// leastFactor returns the least factor that may have been in force between two times.
func (d *declared) leastFactor(from, to time.Time) float64 {
	least := 1.0
	for _, t := range d.timeLimits {
		switch {
		case t.from.After(to):
			return least
		case t.from.After(from):
			least = min(least, t.factor)
		default:
			least = t.factor
		}
	}
	return least
}

// workspace returns a workspace with its key, and with a second one that no caller uses if
// it is declared.
func (d *declared) workspace(i int) traffic.Workspace {
	w := traffic.Workspace{Name: workspace(i), Keys: []string{key(i)}}
	if c := d.workspaces[i]; c != (planner.WorkspaceChanged{}) {
		w.Priority, w.HasPriority = c.Priority, true
		if c.SecondKey {
			w.Keys = append(w.Keys, key(i)+"-second")
		}
	}
	return w
}

// routes returns the routes that no caller uses.
func (d *declared) routes() []traffic.Route {
	var out []traffic.Route
	for i := range d.addedRoutes {
		name := fmt.Sprint("unused-", i)
		out = append(out, traffic.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: traffic.Safe, MaxAttempts: 1, Timeout: routeTimeout,
			Targets: []traffic.Target{{Service: plainService, Weight: 1 + i}},
		})
	}
	return out
}
