package inspector_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/inspector"
	"github.com/auburnnotch/auburnnotch/pkg/differ"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
)

var now = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

const (
	hash1 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hash2 = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	// cleanDeclaration is a declaration without findings.
	cleanDeclaration = `{ // comment
"dataCentres": [{"name": "a", "region": "r"}],
"models": [{"name": "m", "versions": ["v1"]}],
"vms": [{"name": "vm", "dataCentre": "a"}],
"pools": [{"name": "p", "model": "m", "version": "v1"}],
"services": [{"name": "p", "routes": [{"path": "/x", "keepDays": 30}, {"path": "/y", "repeatable": true}]}],
"upstreams": [{"name": "u", "vm": "vm", "url": "http://10.0.0.1:80", "pool": "p"},
{"name": "v", "vm": "vm", "url": "http://10.0.0.1:81", "service": "p"}],
"workspaces": [{"name": "w", "keyHashes": ["` + hash1 + `"], "tokensPerSecond": 100},
{"name": "x", "keyHashes": ["` + hash2 + `"], "models": ["m"]}],
}`
	withoutService = `"services": [],`
)

func replace(t *testing.T, text string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("%q isn't in the document", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// Guards against findings on a declaration that are missing, stand twice, or are those of the
// platform's form only. Each document differs from cleanDeclaration in the replaced text.
func TestFindingsOnDeclaration(t *testing.T) {
	service := cleanDeclaration[strings.Index(cleanDeclaration, `"services"`):strings.Index(cleanDeclaration, `"upstreams"`)]
	backEnd := cleanDeclaration[strings.Index(cleanDeclaration, `{"name": "v"`):strings.Index(cleanDeclaration, `"workspaces"`)]
	for name, c := range map[string]struct {
		pairs []string
		want  []string
	}{
		"clean":                  {nil, nil},
		"wrong type":             {[]string{`"v1"]`, `7]`, `"region"`, `"regio"`}, []string{"2 dataCentres[0].regio error fieldInvalid", "3 models[0].versions[0] error fieldInvalid"}},
		"rule of package config": {[]string{`"vm": "vm"`, `"vm": "wm"`}, []string{"7 upstreams[0].vm error declarationInvalid"}},
		"path twice":             {[]string{`"/y"`, `"/x"`}, []string{"6 services[0].routes[1].path error declarationInvalid"}},
		"model twice":            {[]string{`"versions": ["v1"]}`, `"versions": ["v1"]}, {"name": "m", "versions": ["v1"]}`}, []string{"3 models[1].name error declarationInvalid"}},
		"key twice":              {[]string{hash2, hash1}, []string{"10 workspaces[1].keyHashes[0] error declarationInvalid"}},
		"no key":                 {[]string{`"` + hash2 + `"`, ``}, []string{"10 workspaces[1].keyHashes error declarationInvalid"}},
		"service without route":  {[]string{`{"path": "/x", "keepDays": 30}, {"path": "/y", "repeatable": true}`, ``}, []string{"6 services[0] warning serviceUnused"}},
		"service without back end": {[]string{`"service": "p"`, `"pool": "p"`}, []string{
			"6 services[0].routes[0] error routeTargets", "6 services[0].routes[1] error routeTargets",
		}},
		"model without pool":          {[]string{`"versions": ["v1"]}`, `"versions": ["v1"]}, {"name": "n", "versions": ["v1"]}`}, []string{"3 models[1] error routeTargets"}},
		"model without engine":        {[]string{`"pool": "p"`, `"service": "p"`}, []string{"3 models[0] error routeTargets"}},
		"workspace without its model": {[]string{service, withoutService, backEnd, `],`, `"pool": "p"`, `"pool": "q"`, `"version": "v1"}`, `"version": "v1"}, {"name": "q", "model": "n", "version": "v1"}`, `"versions": ["v1"]}`, `"versions": ["v1"]}, {"name": "n", "versions": ["v1"]}`}, []string{"3 models[0] error routeTargets", "8 workspaces[1] warning workspaceWithoutRoute"}},
		"small burst":                 {[]string{`"tokensPerSecond": 100`, `"tokensPerSecond": 100, "burstTokens": 9`}, []string{"9 workspaces[0].burstTokens warning burstTooSmall"}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := inspector.Inspect(now, []byte(replace(t, cleanDeclaration, c.pairs...)), "", nil)
			if err != nil || got.Form != inspector.Declaration {
				t.Fatalf("%+v, error %v", got, err)
			}
			var findings []string
			for _, f := range got.Findings {
				findings = append(findings, fmt.Sprintf("%d %s %s %s", f.Line, f.Path, f.Severity, f.Code))
			}
			if !slices.Equal(findings, c.want) {
				t.Errorf("findings:\n%s\nwant:\n%s", strings.Join(findings, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// Guards against a file that is checked by the rules of the other form.
func TestForm(t *testing.T) {
	for text, want := range map[string]inspector.Form{
		cleanDeclaration:                                   inspector.Declaration,
		`{"version": 1, "services": []}`:                   inspector.Platform,
		`{"services": [], "tenants": []}`:                  inspector.Platform,
		`{"services": [], "pools": []}`:                    inspector.Declaration,
		`{"version": 1, "routes": [], "workspaces": []}`:   inspector.Platform,
		"// comment\n{\"upstreams\": [], \"version\": 1,}": "",
		`{"services": []}`:                                 "",
		`{}`:                                               "",
	} {
		c, err := inspector.Inspect(now, []byte(text), "", nil)
		if want == "" && !errors.Is(err, inspector.Unclear) || want != "" && (err != nil || c.Form != want) {
			t.Errorf("%.60s: %+v, error %v; want form %q", text, c, err, want)
		}
	}
	for _, form := range []inspector.Form{inspector.Declaration, inspector.Platform} {
		if c, err := inspector.Inspect(now, []byte(`{}`), form, nil); err != nil || c.Form != form {
			t.Errorf("form %s: %+v, error %v", form, c, err)
		}
	}
	if _, err := inspector.Inspect(now, []byte(`{}`), "other", nil); err == nil {
		t.Error("accepted an unknown form")
	}
	for _, text := range []string{``, `{`, `[]`, `7`, "{\n\"version\": 1, \"routes\": [}"} {
		if c, err := inspector.Inspect(now, []byte(text), inspector.Platform, nil); err == nil {
			t.Errorf("%q was read as %+v", text, c)
		}
	}
}

// Guards against a check of a declaration that ignores the one in force, and against
// differences that no rule of package differ sees since the View lacks them.
func TestDeclarationAgainstEarlierOne(t *testing.T) {
	before, err := inspector.Inspect(now, []byte(cleanDeclaration), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	text := replace(t, cleanDeclaration, `"keepDays": 30`, `"keepDays": 31`, `"/y"`, `"/z"`, `"tokensPerSecond": 100`, `"tokensPerSecond": 50`)
	after, err := inspector.Inspect(now, []byte(text), "", before)
	if err != nil || len(after.Findings) != 1 || after.Findings[0].Path != "services[0].routes[0].keepDays" {
		t.Errorf("%+v, error %v; want a finding on keepDays", after, err)
	}
	var groups []differ.Group
	for _, g := range differ.Compare(before.View, after.View) {
		groups = append(groups, g.Group)
	}
	if want := []differ.Group{differ.RoutesAdded, differ.RoutesRemoved, differ.LimitsLowered}; !slices.Equal(groups, want) {
		t.Errorf("differences in %v, want %v", groups, want)
	}
}

// Guards against a rollout that every node ignores.
func TestVersionMustIncrease(t *testing.T) {
	inspect := func(version string, prev *inspector.Configuration) *inspector.Configuration {
		text := "{\n" + `"version": ` + version + `, "limits": {"max-header-bytes": 1, "max-body-bytes": 1}}`
		c, err := inspector.Inspect(now, []byte(text), "", prev)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for version, want := range map[string]linter.Code{"8": "", "7": linter.VersionNotIncreased, "6": linter.VersionNotIncreased, "0": linter.VersionInvalid} {
		f := inspect(version, inspect("7", nil)).Findings
		if (want == "") != (len(f) == 0) || want != "" && (len(f) != 1 || f[0].Code != want || f[0].Line != 2) {
			t.Errorf("version %s after 7: %+v, want %q on line 2", version, f, want)
		}
	}
}
