package scoper_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against WALL: after a workspace became isolated, requests of others used the
// parts that it had left in the shared scope. Workspaces change between isolated and
// shared in any order, and some nodes still use the configuration before the last.
func TestIsolatedWorkspaceSharesNoPartMadeBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workspaces := make([]traffic.Workspace, rapid.IntRange(1, 4).Draw(t, "workspaces"))
		for i := range workspaces {
			workspaces[i].Name = fmt.Sprint("w", i)
		}
		makers := map[string]map[string]bool{} // workspaces that made a part, by scope
		var previous []traffic.Workspace
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			for i := range workspaces {
				workspaces[i].Isolated = rapid.Bool().Draw(t, "isolated")
			}
			use := func(config []traffic.Workspace) {
				s := scoper.New(config)
				for i := range config {
					w := &config[i]
					scope := s.Scope(w)
					for maker := range makers[scope] {
						if maker != w.Name && (w.Isolated || isIsolated(config, maker)) {
							t.Fatalf("%s uses a part of %s in scope %q; one is isolated in %+v", w.Name, maker, scope, config)
						}
					}
					if makers[scope] == nil {
						makers[scope] = map[string]bool{}
					}
					makers[scope][w.Name] = true
				}
			}
			use(workspaces)
			if previous != nil {
				use(previous)
			}
			previous = append([]traffic.Workspace(nil), workspaces...)
		}
	})
}

func isIsolated(workspaces []traffic.Workspace, name string) bool {
	for i := range workspaces {
		if workspaces[i].Name == name {
			return workspaces[i].Isolated
		}
	}
	return false
}

func TestScopes(t *testing.T) {
	own := func(name string) traffic.Workspace { return traffic.Workspace{Name: name, Isolated: true} }
	shared := traffic.Workspace{Name: "s"}
	none := scoper.New([]traffic.Workspace{shared})
	one := scoper.New([]traffic.Workspace{own("a"), shared})
	two := scoper.New([]traffic.Workspace{own("b"), own("a")})
	if got := none.Scope(&shared); got != "" {
		t.Errorf("shared scope without isolated workspaces is %q", got)
	}
	for name, c := range map[string]struct {
		got, other string
		equal      bool
	}{
		"order of the workspaces":             {two.Scope(nil), scoper.New([]traffic.Workspace{own("a"), own("b")}).Scope(nil), true},
		"request without a workspace":         {one.Scope(nil), one.Scope(&shared), true},
		"one isolated workspace more":         {one.Scope(nil), two.Scope(nil), false},
		"names that join to the same text":    {two.Scope(nil), scoper.New([]traffic.Workspace{own("ab")}).Scope(nil), false},
		"workspace named like a shared scope": {one.Scope(nil), one.Scope(&traffic.Workspace{Name: one.Scope(nil), Isolated: true}), false},
	} {
		if (c.got == c.other) != c.equal {
			t.Errorf("%s: scopes %q and %q", name, c.got, c.other)
		}
	}
}
