package peerlink_test

import (
	"context"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/permitter"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

// Nodes of two releases run side by side during each upgrade, and read each other's
// messages on suspects and on the rates of upstreams.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	reports := []quarantiner.Report{{Fingerprint: 1, Crashes: 2, Until: time.Unix(1_800_000_000, 0), Upstream: "e1"}}
	for name, m := range map[string]peerlink.Message{
		"suspects":  {Suspects: reports},
		"permit":    {Permit: &permitter.Request{Fingerprint: 1, Node: "n1@2", Reports: reports}},
		"permitted": {Permitted: &permitter.Reply{Verdict: quarantiner.Isolated, Reports: reports}},
		"query":     {Query: &permitter.Query{Fingerprint: 1}},
		"pace":      {Pace: &ratetracker.Statement{Upstream: 3, Rate: 1.5, AgeMS: 200}},
		"paced":     {Paced: &limiter.Decision{RetryAfter: 400 * time.Millisecond, Level: -0.5, Fraction: 0.25}},
		"state":     {State: &quarantiner.State{Running: true, Verdict: quarantiner.Quarantined, Reports: reports}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := msgpack.Marshal(&m)
			if err != nil {
				t.Fatal(err)
			}
			var got peerlink.Message
			if err := msgpack.Unmarshal(testlib.Golden(t, "message-"+name, data), &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, m) {
				t.Errorf("got %+v, want %+v", got, m)
			}
		})
	}
}

// Guards against a sender that takes a node of an earlier release, which doesn't reply to
// messages that it doesn't know, for one that can't be reached.
func TestUnknownMessageIsToldFromUnreachablePeer(t *testing.T) {
	earlier, err := peerlink.New("127.0.0.1:0", secret, systemclock.New())
	if err != nil {
		t.Fatal(err)
	}
	earlier.SetHandler(func(context.Context, *peerlink.Message) *peerlink.Message { return nil })
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return earlier.Run(ctx) })
	link := openLink(t, secret)
	query := &peerlink.Message{Query: &permitter.Query{Fingerprint: 1}}
	if _, err := link.Exchange(t.Context(), earlier.Addr(), query); !errors.Is(err, io.EOF) {
		t.Errorf("a message that the peer doesn't know: %v, want EOF", err)
	}
	cancel()
	_ = g.Wait()
	if _, err := link.Exchange(t.Context(), earlier.Addr(), query); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a peer that is gone: %v, want another error than EOF", err)
	}
}
