package matcher_test

import (
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/matcher"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

func TestRoute(t *testing.T) {
	m := matcher.New(&traffic.Catalog{
		Routes: []traffic.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Services:   []traffic.Service{{Name: "engines"}, {Name: "cache", CacheAddress: "127.0.0.1:9"}},
		Workspaces: []traffic.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := m.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s is %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if w := m.Workspace("k2"); w == nil || w.Name != "w" {
		t.Error("the second key of a workspace was not found")
	}
	if m.Workspace("k3") != nil || m.Workspace("") != nil {
		t.Error("a workspace was found for an unknown key")
	}
	if m.CacheStores().Pick(1) == "" || m.CacheStores().Len() != 1 || !m.RequiresKey() || m.Service("engines") == nil {
		t.Error("the cache store, the key requirement or a service is missing")
	}
}
