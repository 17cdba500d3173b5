package checker

import "time"

// checkWalls checks that no run of a workspace can use cached parts that an isolated one
// has made, before or after its isolation, or leaves such parts to another.
func (v *validation) checkWalls() {
	makers := map[string]map[string]bool{} // workspaces by salt
	for _, run := range v.history.Runs {
		if run.CacheSalt == "" {
			continue
		}
		if makers[run.CacheSalt] == nil {
			makers[run.CacheSalt] = map[string]bool{}
		}
		for maker := range makers[run.CacheSalt] {
			if maker != run.Workspace && (v.isolated(maker, run.StartedAt) || v.isolated(run.Workspace, run.StartedAt)) {
				v.add("wall", run.ID, "runs for %s with the cache salt %q of %s", run.Workspace, run.CacheSalt, maker)
			}
		}
		makers[run.CacheSalt][run.Workspace] = true
	}
}

// isolated reports whether a workspace is isolated at a time by every configuration that a
// node may use for requests with keys.
func (v *validation) isolated(workspace string, at time.Time) bool {
	isolated := false
	for _, w := range v.history.Walls {
		switch {
		case w.Workspace != workspace:
		case !w.At.After(at.Add(-v.bounds.Revoke)):
			isolated = w.Isolated
		case !w.At.After(at):
			return false
		}
	}
	return isolated
}
