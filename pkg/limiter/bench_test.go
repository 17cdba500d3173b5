package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/limiter"
)

const (
	benchWorkspaces = 22_000
	benchNodes      = 340
)

// newBench returns the limiter of a node of the target size, and the names of the workspaces.
func newBench(receivesAll bool) (*limiter.Limiter, []string) {
	l := limiter.New(start, rand.New(rand.NewPCG(1, 1)))
	var limits []limiter.Limit
	var names []string
	for i := range benchWorkspaces {
		names = append(names, fmt.Sprint("workspace-", i))
		limits = append(limits, limiter.Limit{Workspace: names[i], Rate: 18_000, Burst: 18_000})
	}
	l.SetLimits(start, limits)
	l.SetFleet(start, limiter.Fleet{Nodes: benchNodes, ReceivesAll: receivesAll, Summarized: true})
	return l, names
}

func BenchmarkAllow(b *testing.B) {
	for _, receivesAll := range []bool{true, false} {
		b.Run(fmt.Sprintf("receivesAll=%t", receivesAll), func(b *testing.B) {
			l, names := newBench(receivesAll)
			now := start.Add(time.Second)
			if !receivesAll {
				l.Follow(now, nil)
			}
			for _, name := range names { // the lists have their size
				l.Allow(now, name, 1)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(20 * time.Microsecond)
				l.Allow(now, names[i*7919%benchWorkspaces], longPrompt)
			}
		})
	}
}

// BenchmarkMergeUsage merges a report of a node of 340 that take 7,300 requests per second: of two
// further requests, and of seven that earlier reports have listed already.
func BenchmarkMergeUsage(b *testing.B) {
	const listed, changed = 9, 2
	l, names := newBench(true)
	rnd := rand.New(rand.NewPCG(3, 1))
	reports := make([]limiter.Report, benchNodes)
	peers := make([]string, benchNodes)
	peer, _ := newBench(false)
	for i := range reports {
		for range listed {
			peer.Allow(start, names[rnd.IntN(len(names))], longPrompt)
		}
		reports[i], peers[i] = peer.TakeUsage(start.Add(time.Duration(i)*3*time.Second)), fmt.Sprint("n", i)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(300 * time.Microsecond)
		report := reports[i%benchNodes]
		for j := range report.Usage[:changed] {
			report.Usage[j].Admitted += longPrompt
			report.Usage[j].Asked += longPrompt
			report.Usage[j].Requests++
		}
		l.MergeUsage(now, peers[i%benchNodes], 1, report)
	}
}

// BenchmarkSummary makes a summary while all workspaces are active and 256 of them or more are in
// shortage.
func BenchmarkSummary(b *testing.B) {
	l, names := newBench(true)
	l.SetFleet(start, limiter.Fleet{Nodes: 1, ReceivesAll: true, Summarized: true}) // hears all
	now := start.Add(10 * time.Second)
	for i, name := range names {
		l.Allow(now, name, longPrompt)
		for range 20 * min(1, max(0, 300-i)) {
			l.Allow(now, name, longPrompt)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond) // the workspaces stay active
		l.Summary(now)
	}
}
