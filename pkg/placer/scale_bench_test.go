package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// BenchmarkCoordinatorSecond plays one second of a coordinator: each node reports ten
// times, and 1,260 questions arrive among the reports.
func BenchmarkCoordinatorSecond(b *testing.B) {
	const nodes, reports, questions, enginesPerNode = 295, 10, 1260, 5
	ups := engines(240, versionOne)
	coordinator := newPlacer(6, ups)
	var keys []uint32
	for i := range ups {
		keys = append(keys, placer.Key(ups[i].Incarnation()))
	}
	now := start
	question := uint64(0)
	for b.Loop() {
		for i := range nodes * reports {
			now = now.Add(time.Second / (nodes * reports))
			node := i % nodes
			var loads []placer.Load
			for k := range enginesPerNode {
				loads = append(loads, placer.Load{Upstream: keys[(node*7+k*31)%len(keys)], Running: 1, PrefillTokens: 100, MemoryTokens: 5000, ActivityAgeMS: 10})
			}
			coordinator.MergeReport(now, fmt.Sprint("n", node), placer.Report{Loads: loads, Settled: question})
			for range questions*(i+1)/(nodes*reports) - questions*i/(nodes*reports) {
				question++
				coordinator.Advise(now, fmt.Sprint("n", question%nodes), question, prompt(fmt.Sprint("s", question%4000), 1000+int(question%977)))
			}
		}
	}
}
