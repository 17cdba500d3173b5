package loader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

const validDeclaration = `{
  // where it stands
  "dataCentres": [{"name": "a", "region": "r"}],
  "models": [{"name": "m", "versions": ["v1"]}],
  "vms": [{"name": "vm", "dataCentre": "a"}],
  "pools": [{"name": "p", "model": "m", "version": "v1"}],
  "services": [{"name": "s", "routes": [{"path": "/x"}]}],
  "upstreams": [{"name": "u", "vm": "vm", "url": "http://10.0.0.1:80", "pool": "p"}],
  "workspaces": [{"name": "w", "keyHashes": ["` + hash + `"]}],
}`

const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

func loadAndCheck(text string) string {
	var d config.Declaration
	l := loader.New("f.json", []byte(text))
	problems := l.Load(&d)
	if len(problems) == 0 {
		problems = d.Check(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), nil)
	}
	if err := loader.Join(l.Locate(problems)); err != nil {
		return err.Error()
	}
	return ""
}

func TestProblemsHaveLineAndRemedy(t *testing.T) {
	if got := loadAndCheck(validDeclaration); got != "" {
		t.Fatalf("problems in a valid file: %s", got)
	}
	for name, c := range map[string]struct {
		old, text string
		want      []string
	}{
		"malformed":        {`"vms": [`, `"vms": `, []string{"f.json:1", "correct the JSON"}},
		"unknown field":    {`"region": "r"`, `"regio": "r"`, []string{"f.json:3: dataCentres[0].regio: unknown field; use one of name, region"}},
		"wrong type":       {`"versions": ["v1"]`, `"versions": "v1"`, []string{"f.json:4: models[0].versions: is \"v1\", wants a list"}},
		"field twice":      {`"region": "r"`, `"region": "r", "region": "s"`, []string{"f.json:3: dataCentres[0].region: stands twice"}},
		"unknown model":    {`"model": "m"`, `"model": "n"`, []string{"f.json:6: pools[0].model: unknown \"n\"; declare it in models"}},
		"unknown version":  {`"version": "v1"`, `"version": "v2"`, []string{"unknown version \"v2\" of \"m\""}},
		"unknown VM":       {`"vm": "vm"`, `"vm": "wm"`, []string{"f.json:8: upstreams[0].vm: unknown"}},
		"host name in URL": {`10.0.0.1`, `engine.example`, []string{"no URL with an IP number; write http://IP:PORT"}},
		"duplicate":        {`{"name": "vm", "dataCentre": "a"}`, `{"name": "vm", "dataCentre": "a"}, {"name": "vm", "dataCentre": "a"}`, []string{"vms[1].name: duplicate \"vm\""}},
		"leaves in the past": {
			`"dataCentre": "a"}`, `"dataCentre": "a", "leavesAt": "2020-01-01T00:00:00Z"}`,
			[]string{"f.json:5: vms[0].leavesAt: is in the past"},
		},
		"cycle": {
			`"version": "v1"}`, `"version": "v1", "fallback": "q"}, {"name": "q", "model": "m", "version": "v1", "fallback": "p"}`,
			[]string{"pools[0].fallback: forms a cycle", "pools[1].fallback: forms a cycle"},
		},
		"plain key": {hash, "secret", []string{"keyHashes[0]: is no SHA-256 in hex"}},
		"two faults at once": {
			`"region": "r"`, `"regio": "r", "other": 1`, []string{"regio: unknown field", "other: unknown field"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := loadAndCheck(strings.Replace(validDeclaration, c.old, c.text, 1))
			for _, want := range c.want {
				if !strings.Contains(got, want) {
					t.Errorf("problems:\n%s\nwant: %s", got, want)
				}
			}
		})
	}
}

func FuzzLoadNeverPanics(f *testing.F) {
	f.Add(validDeclaration)
	f.Add(`{"vms": [{"leavesAt": 3}], "pools": {}}`)
	f.Fuzz(func(_ *testing.T, text string) { loadAndCheck(text) })
}
