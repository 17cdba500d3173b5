package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/cmd"
)

// Guards against a change of the output that programs read, and of what operators see. The
// documents have several findings and differences.
func TestConfigCheckOutput(t *testing.T) {
	dir := filepath.Join("testdata", "config")
	for golden, args := range map[string][]string{"after.txt": nil, "after.golden.json": {"--json"}} {
		args = append([]string{"config", "check", dir + "/after.json", "--against", dir + "/before.json"}, args...)
		var out, errOut bytes.Buffer
		if code := cmd.Execute(args, &out, &errOut); code != 1 || errOut.String() != "auburnnotch: testdata/config/after.json: 11 findings\n" {
			t.Errorf("%s: exit code %d, errors %q", golden, code, errOut.String())
		}
		want, err := os.ReadFile(filepath.Join(dir, golden))
		if err != nil {
			t.Fatal(err)
		}
		if out.String() != string(want) {
			t.Errorf("%s: output\n%s\nwant\n%s", golden, out.String(), want)
		}
	}
}

// Guards against exit codes that let a deployment script go on with a faulty or unreadable file.
func TestConfigCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	before := filepath.Join("testdata", "config", "before.json")
	text, err := os.ReadFile(before)
	if err != nil {
		t.Fatal(err)
	}
	next := write("next.json", strings.Replace(string(text), `"version": 7`, `"version": 8`, 1))
	declaration := write("declaration.json", `{"models": [], /* none */}`)
	badDeclaration := write("bad.json", "{\n\"model\": 1, \"pools\": []}")
	unclear := write("unclear.json", `{"services": []}`)
	broken := write("broken.json", "{\n\"version\": 1,,}")
	odd := write("odd.json", `{"version": 1, "limits": {"max-header-bytes": 1, "max-body-bytes": 1}, "services": [], `+
		`"routes": [{"name": "r", "host": "g\n:1", "prefix": "/", "kind": "safe", "service": "a\nb"}]}`)
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"clean":                        {[]string{before}, 0, "before.json: good\n"},
		"differences only":             {[]string{next, "--against", before}, 0, "version 7 -> 8\nno differences from"},
		"same version":                 {[]string{before, "--against", before}, 1, "before.json:2: version: error versionNotIncreased"},
		"clean declaration":            {[]string{declaration}, 0, "good"},
		"unknown field":                {[]string{badDeclaration}, 1, "bad.json:2: model: error fieldInvalid: unknown field"},
		"clean as JSON":                {[]string{before, "--json"}, 0, `"findings": []`},
		"control characters":           {[]string{odd}, 1, "there is no service \"a\\nb\""},
		"form unclear":                 {[]string{unclear}, 2, "use --form declaration or --form platform"},
		"form forced to a declaration": {[]string{unclear, "--form", "declaration"}, 0, "good"},
		"form forced to the platform":  {[]string{unclear, "--form", "platform"}, 1, "versionInvalid"},
		"unknown form":                 {[]string{unclear, "--form", "yaml"}, 2, "yaml"},
		"other form":                   {[]string{declaration, "--against", before}, 2, "declaration.json"},
		"broken":                       {[]string{broken}, 2, "broken.json: hujson: line 2"},
		"broken file in force":         {[]string{before, "--against", broken}, 2, "broken.json: hujson: line 2"},
		"undecodable declaration":      {[]string{badDeclaration, "--against", declaration, "--json"}, 1, "]\n}\n"},
		"undecodable one in force":     {[]string{declaration, "--against", badDeclaration}, 2, "bad.json not valid"},
		"missing":                      {[]string{filepath.Join(dir, "none")}, 2, "no such file"},
		"missing file in force":        {[]string{before, "--against", filepath.Join(dir, "none")}, 2, "no such file"},
		"no file":                      {nil, 2, "FILE is required"},
		"unknown flag":                 {[]string{before, "--loud"}, 2, "--loud"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := cmd.Execute(append([]string{"config", "check"}, c.args...), &out, &out); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.want) {
				t.Errorf("output %q, want %q", out.String(), c.want)
			}
		})
	}
	var out bytes.Buffer
	if code := cmd.Execute([]string{"config"}, &out, &out); code != 2 {
		t.Errorf("exit code %d without a subcommand, want 2", code)
	}
}
