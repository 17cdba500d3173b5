package peerlink_test

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

const secret = "the secret of all nodes"

func openLink(tb testing.TB, secret string) *peerlink.Link {
	tb.Helper()
	l, err := peerlink.New("127.0.0.1:0", secret, systemclock.New())
	if err != nil {
		tb.Fatal(err)
	}
	l.SetHandler(func(_ context.Context, m *peerlink.Message) *peerlink.Message {
		return &peerlink.Message{Digest: m.Digest, OK: true}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return l.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l
}

func probeMessage() *peerlink.Message {
	d := member.Digest{From: member.Info{Name: "node-001", Address: "10.0.0.1:9000", Entry: "10.0.0.1:8080", DataCentre: "dc-01"}}
	for range 6 {
		d.Updates = append(d.Updates, d.From)
	}
	return &peerlink.Message{Digest: &d}
}

// TestExchangeRequiresSharedSecret checks that a peer with another secret is
// rejected in the TLS handshake.
func TestExchangeRequiresSharedSecret(t *testing.T) {
	server := openLink(t, secret)
	if m, err := openLink(t, secret).Exchange(t.Context(), server.Addr(), probeMessage()); err != nil || !m.OK {
		t.Errorf("exchange with the shared secret: %v", err)
	}
	if _, err := openLink(t, "another secret of others").Exchange(t.Context(), server.Addr(), probeMessage()); err == nil {
		t.Error("exchange with a peer that has another secret succeeded")
	}
}

// BenchmarkExchange reports the time and the bytes of a probe over an open
// connection, for both ends together. With -cpu 1, the time per operation is the
// CPU time of both ends.
func BenchmarkExchange(b *testing.B) {
	server, client := openLink(b, secret), openLink(b, secret)
	m := probeMessage()
	b.ReportAllocs()
	before, n := loopbackBytes(b), 0
	for b.Loop() {
		n++
		if _, err := client.Exchange(b.Context(), server.Addr(), m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((loopbackBytes(b)-before)/float64(n), "wire-bytes/op")
}

// loopbackBytes returns the number of bytes that the loopback interface has
// received since the boot.
func loopbackBytes(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ":"); ok && name == "lo" {
			var n float64
			_, _ = fmt.Sscan(rest, &n)
			return n
		}
	}
	return 0
}

// BenchmarkConnect reports the time of opening a connection and sending the first
// probe over it, and the memory that the connection uses, for both ends together.
func BenchmarkConnect(b *testing.B) {
	server := openLink(b, secret)
	m := probeMessage()
	before, wire := memoryInUse(), loopbackBytes(b)
	n := 0
	for b.Loop() {
		n++
		if _, err := openLink(b, secret).Exchange(b.Context(), server.Addr(), m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((loopbackBytes(b)-wire)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(memoryInUse()-before)/float64(n)/1024, "KB/connection-both-ends")
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
