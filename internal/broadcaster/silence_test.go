package broadcaster_test

import (
	"context"
	"fmt"
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
