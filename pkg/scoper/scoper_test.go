package scoper_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// model is a fleet whose nodes take configurations and read and write the record of isolated
// names in any order.
type model struct {
	configs [][]traffic.Workspace
	record  []string                   // in the store
	written map[string]bool            // names that were known to a node when it wrote the record
	makers  map[string]map[string]bool // workspaces that made a part, by scope
}

type node struct {
	version int // index of its configuration
	names   recorder.Recorder
	known   map[string]bool // names that the node has seen isolated or that were written when it read
}

func (m *model) take(n *node, version int) {
	n.version = version
	n.names = n.names.WithWorkspaces(m.configs[version])
	for _, w := range m.configs[version] {
		if w.Isolated {
			n.known[w.Name] = true
		}
	}
}

func (m *model) read(n *node) {
	n.names = n.names.WithRecord(m.record)
	maps.Copy(n.known, m.written)
}

// write is conditional on the record that the node has read.
func (m *model) write(n *node) {
	m.read(n)
	m.record, _, _ = n.names.Next()
	maps.Copy(m.written, n.known)
}

// use lets each workspace, and requests without one, use and make parts on a node.
func (m *model) use(t *rapid.T, n *node) {
	config := m.configs[n.version]
	s := scoper.New(config, n.names.Past())
	users := []*traffic.Workspace{nil}
	for i := range config {
		users = append(users, &config[i])
	}
	for _, w := range users {
		scope, name := s.Scope(w), ""
		if w != nil {
			name = w.Name
		}
		for maker := range m.makers[scope] {
			isolated, listed := state(config, maker)
			if maker != name && (w != nil && w.Isolated || isolated || !listed && n.known[maker]) {
				t.Fatalf("%q uses a part of %s in scope %q in %+v; known are %v", name, maker, scope, config, n.known)
			}
		}
		if m.makers[scope] == nil {
			m.makers[scope] = map[string]bool{}
		}
		if m.makers[scope][name] = true; w == nil {
			delete(m.makers[scope], name) // belongs to nobody
		}
	}
}

func state(config []traffic.Workspace, name string) (isolated, listed bool) {
	for i := range config {
		if config[i].Name == name {
			return config[i].Isolated, true
		}
	}
	return false, false
}

func drawConfig(t *rapid.T) []traffic.Workspace {
	var config []traffic.Workspace
	for i := range 4 {
		if kind := rapid.IntRange(0, 2).Draw(t, "kind"); kind > 0 {
			config = append(config, traffic.Workspace{Name: fmt.Sprint("w", i), Isolated: kind == 2})
		}
	}
	return config
}

// Guards against WALL: after a workspace became isolated, requests of others used the
// parts that it had left in the shared scope; also after it was removed from the
// configuration, on nodes that started since then. Workspaces are added, removed, isolated
// and shared in any order, and nodes use any version, older ones included.
func TestIsolatedWorkspaceSharesNoPartMadeBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{configs: [][]traffic.Workspace{drawConfig(t)}, written: map[string]bool{}, makers: map[string]map[string]bool{}}
		start := func() *node {
			n := &node{known: map[string]bool{}}
			m.read(n)
			m.take(n, len(m.configs)-1)
			return n
		}
		nodes := []*node{start(), start(), start()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch n := nodes[i]; rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.configs = append(m.configs, drawConfig(t))
			case 1:
				m.take(n, rapid.IntRange(n.version, len(m.configs)-1).Draw(t, "version"))
			case 2:
				m.read(n)
			case 3:
				m.write(n)
			case 4:
				nodes[i] = start()
			case 5:
				n.names = n.names.WithoutRecord()
			}
			for _, n := range nodes {
				m.use(t, n)
			}
		}
	})
}

func TestScopes(t *testing.T) {
	own := func(name string) traffic.Workspace { return traffic.Workspace{Name: name, Isolated: true} }
	shared := traffic.Workspace{Name: "s"}
	none := scoper.New([]traffic.Workspace{shared}, nil)
	one := scoper.New([]traffic.Workspace{own("a"), shared}, nil)
	two := scoper.New([]traffic.Workspace{own("b"), own("a")}, nil)
	if got := none.Scope(&shared); got != "" {
		t.Errorf("shared scope without isolated workspaces is %q", got)
	}
	for name, c := range map[string]struct {
		got, other string
		equal      bool
	}{
		"order of the workspaces":             {two.Scope(nil), scoper.New([]traffic.Workspace{own("a"), own("b")}, nil).Scope(nil), true},
		"request without a workspace":         {one.Scope(nil), one.Scope(&shared), true},
		"one isolated workspace more":         {one.Scope(nil), two.Scope(nil), false},
		"names that join to the same text":    {two.Scope(nil), scoper.New([]traffic.Workspace{own("ab")}, nil).Scope(nil), false},
		"isolated workspace that is removed":  {one.Scope(nil), scoper.New([]traffic.Workspace{shared}, []string{"a"}).Scope(nil), true},
		"removed one that returns isolated":   {one.Scope(nil), scoper.New([]traffic.Workspace{own("a"), shared}, []string{"a", "a"}).Scope(nil), true},
		"removed one that returns as shared":  {none.Scope(nil), scoper.New([]traffic.Workspace{shared, {Name: "a"}}, []string{"a"}).Scope(nil), true},
		"workspace named like a shared scope": {one.Scope(nil), one.Scope(&traffic.Workspace{Name: one.Scope(nil), Isolated: true}), false},
	} {
		if (c.got == c.other) != c.equal {
			t.Errorf("%s: scopes %q and %q", name, c.got, c.other)
		}
	}
	const earlier = "~ac8d8342bbb2362d" // of the release before the record
	if got := one.Scope(nil); got != earlier {
		t.Errorf("the shared scope beside a is %q, want %q", got, earlier)
	}
}
