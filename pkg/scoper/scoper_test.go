package scoper_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// model is a fleet whose nodes take configurations, read and write the store's record and ask
// each other in any order. The revision of a configuration is its index in configs plus one,
// times configStep; those between are the writes of the record.
type model struct {
	configs  [][]traffic.Workspace
	revision uint64
	record   recorder.Stored
	written  uint64 // revision of the record
	// makers has for each scope who made a part in it, with the oldest configuration at
	// which that was.
	makers map[string]map[string]int
}

const configStep = 1000

type node struct {
	version int // index of its configuration
	names   recorder.Recorder
	read    uint64 // revision of the record that it has read
	asOf    uint64 // revision of the store then
}

func position(version int) uint64 { return uint64(version+1) * configStep }

func (m *model) configure(config []traffic.Workspace) {
	m.configs = append(m.configs, config)
	m.revision = position(len(m.configs) - 1)
}

// take puts a newer configuration in force. With history, the node sees those that it skips.
func (m *model) take(n *node, version int, history bool) {
	since := position(n.version)
	if history {
		for v := n.version + 1; v <= version; v++ {
			n.names = n.names.WithSuperseded(m.configs[v])
		}
	}
	n.version = version
	n.names = n.names.WithWorkspaces(position(version), m.configs[version])
	if history {
		n.names = n.names.WithHistory(since, position(version))
	}
}

func (m *model) readStore(n *node) {
	n.names, n.read, n.asOf = n.names.WithStored(m.record), m.written, m.revision
}

// write is conditional on the record that the node has read.
func (m *model) write(n *node) {
	if n.read != m.written {
		return
	}
	id := max(n.asOf, n.read)
	next, changed := n.names.Next(id)
	if !n.names.Complete() {
		next, changed = n.names.NextEpoch(id), true
	}
	if changed {
		m.put(next)
	}
}

func (m *model) put(s recorder.Stored) {
	m.revision++
	m.record, m.written = s, m.revision
}

// feed sends a node what another one knows, as store readers do.
func (m *model) feed(from, to *node) {
	if from.version > to.version {
		m.take(to, from.version, false)
	}
	if from.read > to.read {
		to.names, to.read, to.asOf = to.names.WithStored(m.storedAt(from)), from.read, from.asOf
	}
	if position(to.version) <= from.names.RecordedTo() && to.read <= from.read {
		to.names = to.names.WithCompleteTo(from.names.RecordedTo())
	}
}

// storedAt returns the record that a node has read. Only the present one is kept.
func (m *model) storedAt(n *node) recorder.Stored {
	if n.read == m.written {
		return m.record
	}
	return recorder.Stored{}
}

// damage changes the record as a person or an aggregator of an earlier release does.
func (m *model) damage(t *rapid.T) {
	s := m.record
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		s.Names, s.Readable = nil, false
	case 1:
		s.Epoch = traffic.CacheEpoch{}
	case 2:
		s.Names = append(slices.Clone(s.Names), "other")
	case 3:
		if len(s.Names) > 0 {
			s.Names = slices.Clone(s.Names[1:])
		}
	}
	m.put(s)
}

// use lets each workspace, and requests without one, use and make parts on a node.
func (m *model) use(t *rapid.T, n *node) {
	config := m.configs[n.version]
	s := scoper.New(config, n.names.History())
	users := []*traffic.Workspace{nil}
	for i := range config {
		users = append(users, &config[i])
	}
	for _, w := range users {
		scope, name := s.Scope(w), ""
		if w != nil {
			name = w.Name
		}
		if m.makers[scope] == nil {
			m.makers[scope] = map[string]int{}
		}
		for maker, version := range m.makers[scope] {
			if maker == name || maker == "" {
				continue
			}
			if w != nil && w.Isolated || m.isolatedSince(maker, version, n.version) {
				t.Fatalf("%.9q uses a part of %.9q, made under configuration %d, in scope %.9q under %d", name, maker, version, scope, n.version)
			}
		}
		if made, ok := m.makers[scope][name]; !ok || n.version < made {
			m.makers[scope][name] = n.version
		}
	}
}

// isolatedSince reports whether a configuration after from up to to has isolated a workspace
// that the last of them doesn't list as shared.
func (m *model) isolatedSince(name string, from, to int) bool {
	isolated := false
	for v := to; v >= from; v-- {
		i := slices.IndexFunc(m.configs[v], func(w traffic.Workspace) bool { return w.Name == name })
		if i >= 0 && v == to {
			return m.configs[v][i].Isolated
		}
		isolated = isolated || i >= 0 && v > from && m.configs[v][i].Isolated
	}
	return isolated
}

// drawConfig draws three workspaces, the last of which has a name that is too long to be kept.
func drawConfig(t *rapid.T) []traffic.Workspace {
	var config []traffic.Workspace
	for i, name := range []string{"a", "b", "c" + strings.Repeat("x", 1100)} {
		if kind := rapid.IntRange(0, 2).Draw(t, fmt.Sprint("kind", i)); kind > 0 {
			config = append(config, traffic.Workspace{Name: name, Isolated: kind == 2})
		}
	}
	return config
}

// Guards against WALL: after a workspace became isolated, requests of others used the parts that it
// had left in the shared scope; also after it was removed from the configuration, on nodes that
// started since, that skipped the configuration which isolated it, or whose record was lost. Nodes
// use any version, older ones included.
func TestIsolatedWorkspaceSharesNoPartMadeBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{makers: map[string]map[string]int{}}
		m.configure(drawConfig(t))
		start := func() *node {
			n := &node{}
			m.readStore(n)
			m.take(n, len(m.configs)-1, false)
			n.names = n.names.WithStored(m.record)
			return n
		}
		nodes := []*node{start(), start(), start()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch n := nodes[i]; rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				m.configure(drawConfig(t))
			case 1:
				m.take(n, rapid.IntRange(n.version, len(m.configs)-1).Draw(t, "version"), false)
			case 2:
				m.take(n, rapid.IntRange(n.version, len(m.configs)-1).Draw(t, "version"), true)
			case 3, 4:
				m.readStore(n)
			case 5:
				m.write(n)
			case 6:
				nodes[i] = start()
			case 7:
				m.feed(nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "from")], n)
			case 8:
				m.damage(t)
			}
			for _, n := range nodes {
				m.use(t, n)
			}
		}
	})
}

// Guards against scopes that are new without need, and against one that holds parts of a workspace
// which must not be found in it.
func TestScopes(t *testing.T) {
	own := func(name string) traffic.Workspace { return traffic.Workspace{Name: name, Isolated: true} }
	shared := traffic.Workspace{Name: "s"}
	known := func(past ...string) scoper.History { return scoper.History{Epoch: 1, Past: past, Complete: true} }
	none := scoper.New([]traffic.Workspace{shared}, known())
	one := scoper.New([]traffic.Workspace{own("a"), shared}, known())
	two := scoper.New([]traffic.Workspace{own("b"), own("a")}, known())
	incomplete := scoper.New([]traffic.Workspace{shared}, scoper.History{Epoch: 1})
	for name, c := range map[string]struct {
		got, other string
		equal      bool
	}{
		"order of the workspaces":              {two.Scope(nil), scoper.New([]traffic.Workspace{own("a"), own("b")}, known()).Scope(nil), true},
		"request without a workspace":          {one.Scope(nil), one.Scope(&shared), true},
		"one isolated workspace more":          {one.Scope(nil), two.Scope(nil), false},
		"names that join to the same text":     {two.Scope(nil), scoper.New([]traffic.Workspace{own("ab")}, known()).Scope(nil), false},
		"a shared workspace more":              {none.Scope(nil), scoper.New([]traffic.Workspace{shared, {Name: "a"}}, known()).Scope(nil), true},
		"isolated workspace that is removed":   {one.Scope(nil), scoper.New([]traffic.Workspace{shared}, known("a")).Scope(nil), true},
		"removed one that returns isolated":    {one.Scope(nil), scoper.New([]traffic.Workspace{own("a"), shared}, known("a", "a")).Scope(nil), true},
		"removed one that returns as shared":   {none.Scope(nil), scoper.New([]traffic.Workspace{shared, {Name: "a"}}, known("a")).Scope(nil), true},
		"workspace named like a shared scope":  {one.Scope(nil), one.Scope(&traffic.Workspace{Name: one.Scope(nil), Isolated: true}), false},
		"another epoch":                        {none.Scope(nil), scoper.New([]traffic.Workspace{shared}, scoper.History{Epoch: 2, Complete: true}).Scope(nil), false},
		"no workspace has changed":             {incomplete.Scope(nil), scoper.New([]traffic.Workspace{shared}, scoper.History{Epoch: 1, Complete: true, Members: scoper.Members([]traffic.Workspace{shared})}).Scope(nil), true},
		"a workspace has changed":              {none.Scope(nil), scoper.New([]traffic.Workspace{shared}, scoper.History{Epoch: 1, Complete: true, Members: scoper.Members(nil)}).Scope(nil), true},
		"names may be missing":                 {none.Scope(nil), incomplete.Scope(nil), false},
		"names may be missing, another member": {incomplete.Scope(nil), scoper.New([]traffic.Workspace{shared, {Name: "a"}}, scoper.History{}).Scope(nil), false},
		"names may be missing, an isolated":    {incomplete.Scope(nil), scoper.New([]traffic.Workspace{shared, own("a")}, scoper.History{}).Scope(nil), true},
	} {
		if (c.got == c.other) != c.equal {
			t.Errorf("%s: scopes %q and %q", name, c.got, c.other)
		}
	}
	const earlier = "~ac8d8342bbb2362d" // of the releases before epochs, which find parts of removed workspaces in such scopes
	for _, got := range []string{none.Scope(nil), one.Scope(nil), incomplete.Scope(nil)} {
		if got == "" || got == earlier {
			t.Errorf("shared scope %q is one of an earlier release", got)
		}
	}
}
