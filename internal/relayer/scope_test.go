package relayer_test

import (
	"context"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// servePrompt sends a prompt of the workspace that holds the key and returns the header
// that the upstream received.
func (b *fixture) servePrompt(t *testing.T, key string) (salt, workspace string) {
	t.Helper()
	r := &reply{}
	b.relay.Serve(context.Background(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: key, Timeout: 2 * time.Second, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "m", Tokens: 20, MaxOutput: 5, Parts: []traffic.Part{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 10}}},
	}, r)
	got := b.ups[0].Received()
	if r.status != 200 || len(got) == 0 {
		t.Fatalf("status %d, kind %s, %d requests received", r.status, r.kind, len(got))
	}
	h := got[len(got)-1].Header
	return h.Get("Salt"), h.Get("Workspace")
}

func isolation(version uint64, isolated bool, keys ...string) *traffic.Catalog {
	c := catalog(version)
	c.Workspaces = []traffic.Workspace{{Name: "a", Keys: []string{"keyA"}, Isolated: isolated}, {Name: "b", Keys: append(keys, "keyB")}}
	return c
}

// Guards against WALL: once a workspace is isolated, requests of others were sent with the
// salt under which upstreams keep the parts that it made before.
func TestIsolatedWorkspaceLeavesNoPartToOthers(t *testing.T) {
	b := newFixture(t, streaming(0))
	b.fleet.set(isolation(1, false), b.boot.Elapsed())
	before, _ := b.servePrompt(t, "keyA")
	if other, _ := b.servePrompt(t, "keyB"); other != before {
		t.Errorf("workspaces that share parts have salts %q and %q", before, other)
	}
	b.fleet.set(isolation(2, true), b.boot.Elapsed())
	own, _ := b.servePrompt(t, "keyA")
	other, _ := b.servePrompt(t, "keyB")
	if other == before || own == before || own == other {
		t.Errorf("salt %q before the isolation; then %q of the isolated workspace and %q of the other", before, own, other)
	}
}

// Guards against WALL: a key moved to another workspace between the choice of an upstream
// and the send, and the request was sent for the workspace that had held it.
func TestKeyThatMovesBeforeTheSendCountsForItsNewWorkspace(t *testing.T) {
	b := newFixture(t, streaming(0))
	first := isolation(1, true)
	first.Workspaces[0].Keys = []string{"moving"}
	b.fleet.set(first, b.boot.Elapsed())
	b.dialect.onAppend = func() { b.fleet.set(isolation(2, true, "moving"), b.boot.Elapsed()) }
	salt, workspace := b.servePrompt(t, "moving")
	if want, _ := b.servePrompt(t, "keyB"); workspace != "b" || salt != want {
		t.Errorf("sent for workspace %q with salt %q, want b and %q", workspace, salt, want)
	}
}
