// Command demo runs a small deployment on this machine: stand-ins for the
// platform, two engines and a plain service, and two entry nodes, each in a
// process of its own. It streams completions and prints how much of each prompt
// was reused, repeats a call with the same idempotency key, stops an entry node
// during a stream, and exits.
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

// chat sends a request, and prints its stream and the number of prompt tokens
// that were reused.
func chat(ctx context.Context, c *testlib.Caller, request testlib.Chat) error {
	fmt.Printf("> %s\n  ", request.Messages[1].Content)
	r, err := c.Chat(ctx, request, nil)
	if err != nil {
		return err
	}
	if !r.Complete {
		return errors.Errorf("incomplete stream: status %d, %+v", r.Status, r.Error)
	}
	result := "miss"
	if r.CachedTokens > 0 {
		result = "hit"
	}
	fmt.Printf("\n  %s: %d of %d prompt tokens reused on %s\n", result, r.CachedTokens, r.PromptTokens, r.Header.Get(wire.HeaderUpstream))
	return nil
}

// commitOrder sends an order twice with one idempotency key. The second response
// is a replay of the first.
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

// stopEntry stops the first entry during a stream, which it must complete before
// it exits.
func stopEntry(ctx context.Context, f *testlib.Fleet, c *testlib.Caller, request testlib.Chat) error {
	tokens := 0
	printToken := c.OnToken
	c.OnToken = func(text string) error {
		if tokens++; tokens == 5 {
			fmt.Print("[SIGTERM to the entry] ")
			if err := f.Nodes[0].Signal(syscall.SIGTERM); err != nil {
				return errors.Trace(err)
			}
		}
		return printToken(text)
	}
	if err := chat(ctx, c, request); err != nil {
		return err
	}
	if err := f.Nodes[0].Wait(); err != nil {
		return errors.Annotate(err, "wait for the stopped entry")
	}
	fmt.Println("the stopped entry has finished its stream and ended with 0")
	return nil
}
