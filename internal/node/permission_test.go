package node_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Guards against requests of a revoked key: a request that waited for a slot while its key
// was taken away ran all the same.
func TestKeyRevokedWhileRequestWaits(t *testing.T) {
	testChangeWhileRequestWaits(t, http.StatusUnauthorized, func(declaration string) string {
		return strings.ReplaceAll(declaration, declare.HashKey(testlib.Key), declare.HashKey("another key"))
	})
}

// Guards against requests of a workspace for a model that it may no longer use: one that waited
// for a slot while the permission was taken away ran all the same.
func TestModelTakenFromWorkspaceWhileRequestWaits(t *testing.T) {
	testChangeWhileRequestWaits(t, http.StatusNotFound, func(declaration string) string {
		return strings.Replace(declaration, `"name": "bench",`, `"name": "bench", "models": ["another"],`, 1)
	})
}

// testChangeWhileRequestWaits changes the declaration while a request waits for a slot, which
// must then end with the given status and not run.
func testChangeWhileRequestWaits(t *testing.T, status int, change func(declaration string) string) {
	t.Helper()
	const slots = 16 // of the engine
	d := deploy(t, 1, 1)
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range slots {
		callers.Go(func() { _, _ = d.caller(0).Chat(d.ctx, testlib.NewChat("shared", fmt.Sprint(i), 400), nil) })
	}
	d.eventually(func() bool { return d.engines[0].Runs() == slots })
	waiting := make(chan testlib.Response, 1)
	callers.Go(func() {
		r, err := d.caller(0).Chat(d.ctx, testlib.NewChat("shared", "waiting", 2), http.Header{wire.HeaderClass: {"batch"}})
		if err != nil {
			t.Error(err)
		}
		waiting <- r
	})
	var text strings.Builder
	if err := d.Declaration().WithModel("another", "v1").Print(&text); err != nil {
		t.Fatal(err)
	}
	path := d.Dir + "/changed.json"
	changed := change(text.String())
	if changed == text.String() {
		t.Fatalf("nothing changed in %s", changed)
	}
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := d.RunCommand("apply", "--node", d.Nodes[0].Addr, path); err != nil {
		t.Fatal(err, out)
	}
	if n := d.engines[0].Runs(); n != slots {
		t.Fatalf("%d runs before the change, want %d: no request waited", n, slots)
	}
	if r := <-waiting; r.Status != status || !r.Error.NotRun || d.engines[0].Runs() != slots {
		t.Errorf("status %d, not run %t, %d runs; want %d and %d runs", r.Status, r.Error.NotRun, d.engines[0].Runs(), status, slots)
	}
}
