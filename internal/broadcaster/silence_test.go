package broadcaster_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against DRAIN: a node in graceful shutdown, which is no longer registered, heard
// nothing from the others, and directed callers to nodes that had been off for seconds.
func TestLeavingNodeStaysInformed(t *testing.T) {
	for _, size := range []int{3, 20} { // full mesh and aggregators
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			var nodes []traffic.Node
			for i := range size {
				nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: testlib.NewAddress(t), MilliCores: 1000 - i})
			}
			const leaver = 2 // not an aggregator
			registered := roster.New(append(append([]traffic.Node{}, nodes[:leaver]...), nodes[leaver+1:]...))
			log, _ := logtest.NewNullLogger()
			boot := testlib.NewClock(time.Unix(50, 0))
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer func() { cancel(); wg.Wait() }()
			var leaving *broadcaster.Broadcaster
			var heard *recorder
			for i := range nodes {
				l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
				b, err := broadcaster.New(systemclock.New(), boot, log, nodes[i], func() *roster.Roster { return registered }, l, tally.NoopScope)
				if err != nil {
					t.Fatal(err)
				}
				if i == leaver {
					leaving, heard = b, l
				}
				wg.Go(func() { _ = b.Run(ctx) })
			}
			leaving.AnnounceLeaving()
			for range 3 {
				eventually(t, "messages to the leaving node", func() bool {
					heard.mu.Lock()
					defer heard.mu.Unlock()
					if size > 3 {
						return heard.total != nil
					}
					return len(heard.received) == size-1
				})
				heard.mu.Lock()
				heard.total = nil
				clear(heard.received)
				heard.mu.Unlock()
			}
		})
	}
}

// Guards against DRAIN: a node that had just started directed callers to all registered
// nodes, also to those that had been off for seconds.
func TestStartingNodeDoesNotKnowFleet(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	for _, c := range []struct {
		nodes   int
		message broadcaster.Message // of each of heard
		heard   int
		knows   bool
	}{
		{nodes: 4, heard: 0},
		{nodes: 4, heard: 1},
		{nodes: 4, heard: 2, knows: true},
		{nodes: 20, heard: 15},
		{nodes: 20, heard: 1, message: broadcaster.Message{Aggregated: true}, knows: true},
	} {
		clk := testlib.NewClock(time.Unix(100, 0))
		nodes := []traffic.Node{{Name: "self", Peer: testlib.NewAddress(t)}}
		for i := range c.nodes - 1 {
			nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: "127.0.0.1:9", MilliCores: 1000 - i})
		}
		fleet := roster.New(nodes)
		l := &recorder{received: map[string]*broadcaster.Message{}, upgraded: map[uint32]bool{}}
		b, err := broadcaster.New(clk, clk, log, nodes[0], func() *roster.Roster { return fleet }, l, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = b.Run(ctx) })
		sender := testlib.NewAddress(t)
		from, err := broadcaster.New(clk, clk, log, traffic.Node{Name: "sender", Peer: sender}, func() *roster.Roster { return fleet }, l, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		if b.KnowsFleet() {
			t.Errorf("%+v: knows the fleet before it hears anyone", c)
		}
		for i := range c.heard {
			m := c.message
			m.From = fmt.Sprint("n", i)
			if err := from.Send(nodes[0].Peer, 0, &m); err != nil {
				t.Fatal(err)
			}
		}
		eventually(t, "the messages", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return len(l.received) == c.heard || l.total != nil
		})
		if b.KnowsFleet() != c.knows {
			t.Errorf("%+v: knows the fleet: %t", c, b.KnowsFleet())
		}
		clk.Step(2 * time.Second)
		if !b.KnowsFleet() {
			t.Errorf("%+v: doesn't know the fleet 2 s after the start", c)
		}
		var want []string
		if c.nodes == 4 {
			for i := c.heard; i < c.nodes-1; i++ {
				want = append(want, fmt.Sprint("n", i))
			}
		}
		if got := b.NeverHeard(); !slices.Equal(got, want) {
			t.Errorf("%+v: %v were never heard, want %v", c, got, want)
		}
		cancel()
		wg.Wait()
	}
}
