package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/cmd"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte("{\n\"listen\": \"localhost:1\"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join(dir, "good.json")
	if err := os.WriteFile(good, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"help":               {[]string{"--help"}, 0, "Exit codes"},
		"help of a command":  {[]string{"apply", "--help"}, 0, "--base"},
		"version":            {[]string{"version"}, 0, "auburnnotch"},
		"no command":         {nil, 2, "Usage"},
		"unknown command":    {[]string{"destroy"}, 2, "destroy"},
		"unknown flag":       {[]string{"status", "--loud"}, 2, "--loud"},
		"no file to check":   {[]string{"check"}, 2, "no file given: name a file"},
		"schema":             {[]string{"check", "--schema"}, 0, "leavesAt"},
		"empty declaration":  {[]string{"check", good}, 0, "good"},
		"bad settings":       {[]string{"check", "--settings", bad}, 1, "bad.json:2: listen: \"localhost:1\" is no address with an IP number"},
		"serve bad settings": {[]string{"serve", bad}, 1, "peerSecret: is too short; use at least 16 characters"},
		"missing file":       {[]string{"check", filepath.Join(dir, "none")}, 1, "no such file"},
		"node not running":   {[]string{"status", "--node", "127.0.0.1:1"}, 1, "request to the node failed; is it running"},
		"bad time":           {[]string{"drain", "vm", "--at", "tomorrow"}, 2, "\"tomorrow\" is not a time such as 2027-03-31T18:00:00Z"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := cmd.Execute(c.args, &out, &out); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.want) {
				t.Errorf("output %q, want %q", out.String(), c.want)
			}
		})
	}
}
