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

func open(tb testing.TB, secret string) *peerlink.Link {
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

func probe() *peerlink.Message {
	d := member.Digest{From: member.Info{Name: "node-001", Address: "10.0.0.1:9000", Entry: "10.0.0.1:8080", DataCentre: "dc-01"}}
	for range 6 {
		d.Updates = append(d.Updates, d.From)
	}
	return &peerlink.Message{Digest: &d}
}

func TestPeersNeedTheSecret(t *testing.T) {
	server := open(t, secret)
	if m, err := open(t, secret).Exchange(t.Context(), server.Addr(), probe()); err != nil || !m.OK {
		t.Errorf("with the secret: %v", err)
	}
	if _, err := open(t, "another secret of others").Exchange(t.Context(), server.Addr(), probe()); err == nil {
		t.Error("a peer with another secret was answered")
	}
}

// BenchmarkExchange gives the time and the bytes of both ends of a probe on an
// open connection, with all processors' time in the same figure when run with
// -cpu 1.
func BenchmarkExchange(b *testing.B) {
	server, client := open(b, secret), open(b, secret)
	m := probe()
	b.ReportAllocs()
	before, n := loopback(b), 0
	for b.Loop() {
		n++
		if _, err := client.Exchange(b.Context(), server.Addr(), m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((loopback(b)-before)/float64(n), "wire-bytes/op")
}

// loopback returns the bytes that the loopback interface has carried.
func loopback(b *testing.B) float64 {
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

// BenchmarkConnect gives the time of both ends of a new connection and its
// first probe, and the memory that both ends hold for it.
func BenchmarkConnect(b *testing.B) {
	server := open(b, secret)
	m := probe()
	before, wire := heap(), loopback(b)
	n := 0
	for b.Loop() {
		n++
		if _, err := open(b, secret).Exchange(b.Context(), server.Addr(), m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((loopback(b)-wire)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(heap()-before)/float64(n)/1024, "KB/connection-both-ends")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
