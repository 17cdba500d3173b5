package linter

func (c *checker) checkWorkspaces() {
	workspaces := c.Catalog.Workspaces
	if len(workspaces) > 0 && !c.keyed && c.HasRoute == nil {
		// One finding for all workspaces, since they have a common cause.
		c.add(Warning, WorkspaceWithoutRoute, at(Workspaces, None, NoField), "no route takes the requests of workspaces: none that matches needs a key")
	}
	names, owners := make(map[string]bool, len(workspaces)), make(map[string]int, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		c.checkName(names, Workspaces, i, w.Name, "upstreams and metrics can't tell the workspaces apart")
		if len(w.Keys) == 0 {
			c.add(Warning, WorkspaceWithoutRoute, at(Workspaces, i, Keys), "workspace %s has no API key, so that it has no requests", quote(w.Name))
		} else if c.HasRoute != nil && !c.HasRoute(i) {
			c.add(Warning, WorkspaceWithoutRoute, at(Workspaces, i, NoField), "workspace %s may use no route that has a target", quote(w.Name))
		}
		for j, k := range w.Keys {
			c.checkKey(owners, i, j, k)
		}
		if c.Rate == nil {
			continue
		}
		if code, text := CheckRate(c.Rate(i)); code != "" {
			field := Burst
			if code == RateWithoutBurst {
				field = Rate
			}
			c.add(Warning, code, at(Workspaces, i, field), "%s", text)
		}
	}
}

// checkKey checks the j-th key of the i-th workspace. Its text doesn't contain the key.
func (c *checker) checkKey(owners map[string]int, i, j int, key string) {
	ref := at(Workspaces, i, Keys)
	ref.Element = j
	if key == "" {
		c.add(Error, KeyEmpty, ref, "the API key is empty: requests without a key count for workspace %s", quote(c.Catalog.Workspaces[i].Name))
		return
	}
	owner, ok := owners[key]
	owners[key] = i
	switch {
	case !ok:
	case owner == i:
		c.add(Error, KeyDuplicate, ref, "the API key stands twice in workspace %s", quote(c.Catalog.Workspaces[i].Name))
	default:
		c.add(Error, KeyDuplicate, ref, "the API key is one of workspace %s too; its requests count for %s",
			quote(c.Catalog.Workspaces[owner].Name), quote(c.Catalog.Workspaces[i].Name))
	}
}
