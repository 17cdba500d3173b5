package relayer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// servePrompt sends a prompt of the workspace that holds the key and returns the header
// that the upstream received.
func (b *fixture) servePrompt(t *testing.T, key string) (salt, workspace string) {
	t.Helper()
	h := b.sendPrompt(t, key)
	return h.Get("Salt"), h.Get("Workspace")
}

func (b *fixture) sendPrompt(t *testing.T, key string) http.Header {
	t.Helper()
	r := &reply{}
	b.relay.Serve(context.Background(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: key, Timeout: 2 * time.Second, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "m", Tokens: 1010, MaxOutput: 5, Parts: []traffic.Part{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 10}}},
	}, r)
	got := b.ups[0].Received()
	if r.status != 200 || len(got) == 0 {
		t.Fatalf("status %d, kind %s, %d requests received", r.status, r.kind, len(got))
	}
	return got[len(got)-1].Header
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

// Guards against WALL: the isolated workspace is removed, and requests of others have the
// salt that it had used before its isolation. Once it is listed as shared, they may have.
func TestRemovedIsolatedWorkspaceLeavesNoPartToOthers(t *testing.T) {
	b := newFixture(t, streaming(0))
	b.fleet.set(isolation(1, false), b.boot.Elapsed())
	before, _ := b.servePrompt(t, "keyA")
	b.fleet.set(isolation(2, true), b.boot.Elapsed())
	isolated, _ := b.servePrompt(t, "keyB")
	removed := isolation(3, true)
	removed.Workspaces = removed.Workspaces[1:]
	b.fleet.set(removed, b.boot.Elapsed(), "a")
	if got, _ := b.servePrompt(t, "keyB"); got == before || got != isolated {
		t.Errorf("salt %q before the isolation, %q during it, then %q", before, isolated, got)
	}
	b.fleet.set(isolation(4, false), b.boot.Elapsed(), "a")
	if got, _ := b.servePrompt(t, "keyB"); got != before {
		t.Errorf("salt %q, want %q as before the isolation", got, before)
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

// Guards against WALL and UNASKED: a route became public before the send, and the request
// kept the workspace of the configuration before, which is isolated now.
func TestRouteThatBecomesPublicBeforeTheSendHasNoWorkspace(t *testing.T) {
	b := newFixture(t, streaming(0))
	b.fleet.set(isolation(1, false), b.boot.Elapsed())
	b.dialect.onAppend = func() {
		public := isolation(2, true)
		for i := range public.Routes {
			public.Routes[i].Public = true
		}
		b.fleet.set(public, b.boot.Elapsed())
	}
	salt, workspace := b.servePrompt(t, "keyA")
	if want, _ := b.servePrompt(t, ""); workspace != "" || salt != want {
		t.Errorf("sent for workspace %q with salt %q, want none and %q", workspace, salt, want)
	}
}

// Guards against WALL: on a node out of touch, for which a workspace is still shared, requests of
// a public route, which need no proof of the configuration, went on to use what that workspace left.
func TestRequestsWithoutKeyUseNoSharedPartsWithoutProof(t *testing.T) {
	b := newFixture(t, streaming(0))
	b.fleet.set(isolation(1, false), b.boot.Elapsed())
	shared, _ := b.servePrompt(t, "keyA")
	public := isolation(2, false)
	for i := range public.Routes {
		public.Routes[i].Public = true
	}
	b.fleet.set(public, b.boot.Elapsed())
	if got, _ := b.servePrompt(t, ""); got != shared {
		t.Errorf("salt %q with a proof, want %q as workspaces", got, shared)
	}
	b.boot.Step(maxProofAge + time.Millisecond)
	if got, _ := b.servePrompt(t, ""); got == shared {
		t.Errorf("salt %q as workspaces without a proof", got)
	}
}

// Guards against WALL: a second attempt beside a slow one was sent with the salt of the configuration
// before, though a workspace had been isolated meanwhile.
func TestSecondAttemptUsesScopeOfNewConfiguration(t *testing.T) {
	b := newHedgeFixture(t, systemclock.New(), 0.2, "/stream/", 2)
	config := func(version uint64, isolated bool) *traffic.Catalog {
		c := hedgeCatalog(2)
		c.Version, c.Workspaces = version, append(c.Workspaces, traffic.Workspace{Name: "a", Isolated: isolated})
		return c
	}
	b.fleet.set(config(2, false), b.boot.Elapsed())
	salts := make(chan string, 2)
	b.arm(func(conn net.Conn, r testlib.Received) bool {
		b.fleet.set(config(3, true), b.boot.Elapsed())
		salts <- r.Header.Get("Salt")
		return b.silent(conn, r)
	}, func(conn net.Conn, r testlib.Received) bool {
		salts <- r.Header.Get("Salt")
		return streaming(0)(conn, r)
	})
	r := &reply{}
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: "key", Timeout: unlimited, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "m", Tokens: 10, MaxOutput: 5, Parts: []traffic.Part{{ID: "p", Tokens: 10}}},
	}, r)
	b.awaitClosed(t, 1)
	if first, second := <-salts, <-salts; r.status != 200 || first == second {
		t.Errorf("status %d, salts %q and %q", r.status, first, second)
	}
}

// Guards against STALE: parts made on weights of an unknown version were saved in the cache
// store and fetched from it under one salt, whatever version an upstream had.
func TestPartsOfUnknownVersionAreNotShared(t *testing.T) {
	const store = "10.0.0.9:1"
	b := newFixture(t, streaming(0))
	c := catalog(1, "key")
	c.Services = []traffic.Service{{Name: "store", CacheAddress: store, CacheTokens: 100_000}}
	b.fleet.set(c, b.boot.Elapsed())
	for version, want := range []string{"", store} {
		b.relay.SetUpstreams([]traffic.Upstream{{
			ID: "u0", StartedMS: 1, Service: "s", Address: b.ups[0].Addr, DataCentre: "a", Slots: 8, Models: map[string]int{"m": version},
		}}, nil)
		if h := b.sendPrompt(t, "key"); h.Get("Source") != want || h.Get("Save") != want {
			t.Errorf("version %d: fetched from %q and saved to %q, want %q", version, h.Get("Source"), h.Get("Save"), want)
		}
	}
}
