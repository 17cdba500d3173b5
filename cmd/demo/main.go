// Command demo runs the main job on this machine: stand-ins of the platform,
// of engines and of a plain service, and two entries, each a process of its
// own. It streams answers, shows which prefixes were reused, stops an entry
// while it streams, and ends by itself.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "auburnnotch-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	fmt.Println("building the router and the stand-ins")
	if err := testlib.Build(ctx, ".", dir); err != nil {
		return err
	}
	f := testlib.NewFleet(dir, io.Discard)
	defer f.Stop()
	if err := f.StartStandIns(2); err != nil {
		return err
	}
	if err := f.StartNodes(2); err != nil {
		return err
	}
	fmt.Printf("started: platform, %d engines, 1 plain service, %d entries\n", len(f.Engines), len(f.Nodes))
	out, err := f.Apply(f.Declaration())
	if err != nil {
		return err
	}
	fmt.Print(out)
	return runRequests(ctx, f)
}

func runRequests(ctx context.Context, f *testlib.Fleet) error {
	entries, err := f.RunCommand("entries", "--node", f.Nodes[0].Addr)
	if err != nil {
		return err
	}
	fmt.Printf("entries:\n%s", entries)
	const pieces = 6
	prefix := strings.Repeat("House rules of the flag workshop. ", pieces*8192/34)
	c := testlib.NewCaller(f.Nodes[0].Addr)
	c.OnToken = func(text string) error { fmt.Print(text); return nil }
	for _, q := range []string{"Word a pennant.", "Word a banner.", "Word a flag."} {
		if err := chat(ctx, c, testlib.NewChat(prefix, q, 12)); err != nil {
			return err
		}
	}
	if err := commitOrder(ctx, c); err != nil {
		return err
	}
	return stopEntry(ctx, f, c, testlib.NewChat(prefix, "Word a long flag.", 60))
}

func chat(ctx context.Context, c *testlib.Caller, q testlib.Chat) error {
	fmt.Printf("> %s\n  ", q.Messages[1].Content)
	r, err := c.Chat(ctx, q, nil)
	if err != nil {
		return err
	}
	if !r.Complete {
		return errors.Errorf("the stream is not complete: status %d, %+v", r.Status, r.Error)
	}
	word := "miss"
	if r.CachedTokens > 0 {
		word = "hit"
	}
	fmt.Printf("\n  %s: %d of %d prompt tokens reused on %s\n", word, r.CachedTokens, r.PromptTokens, r.Header.Get(wire.HeaderUpstream))
	return nil
}

func commitOrder(ctx context.Context, c *testlib.Caller) error {
	h := http.Header{wire.HeaderIdempotencyKey: {"order-1"}}
	for range 2 {
		r, err := c.Call(ctx, "/v1/services/orders/commit", []byte(`{"flags":40}`), h)
		if err != nil {
			return err
		}
		fmt.Printf("order commit: %d %s replayed=%q\n", r.Status, strings.TrimSpace(r.Body), r.Header.Get("Idempotent-Replayed"))
	}
	return nil
}

// stopEntry stops the entry while it streams.
func stopEntry(ctx context.Context, f *testlib.Fleet, c *testlib.Caller, q testlib.Chat) error {
	tokens := 0
	print := c.OnToken
	c.OnToken = func(text string) error {
		if tokens++; tokens == 5 {
			fmt.Print("[SIGTERM to the entry] ")
			if err := f.Nodes[0].Signal(syscall.SIGTERM); err != nil {
				return errors.Trace(err)
			}
		}
		return print(text)
	}
	if err := chat(ctx, c, q); err != nil {
		return err
	}
	if err := f.Nodes[0].Wait(); err != nil {
		return errors.Annotate(err, "the stopped entry")
	}
	fmt.Println("the stopped entry has finished its stream and ended with 0")
	return nil
}
