package testlib

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// goldenVariable is the environment variable that makes Golden write missing files.
const goldenVariable = "AUBURNNOTCH_WRITE_GOLDEN"

// Golden returns the bytes of testdata/name.hex, and fails the test if got differs from
// them. These files hold the messages of earlier releases: they are never changed, and a
// new protocol gets files of its own.
func Golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".hex")
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv(goldenVariable) != "" {
		if err := os.MkdirAll("testdata", 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(hex.EncodeToString(got)+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return got
	}
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is encoded as\n%x, and by an earlier release as\n%x", name, got, want)
	}
	return want
}
