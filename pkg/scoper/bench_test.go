package scoper_test

import (
	"fmt"
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// BenchmarkConfiguration measures what cache scopes cost a node for each configuration with the
// workspaces of the largest fleet (docs/CAPACITY.md), a hundredth of them isolated.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{8, 2200, 22_000} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			workspaces := make([]traffic.Workspace, n)
			for i := range workspaces {
				workspaces[i] = traffic.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Isolated: i%100 == 0}
			}
			var r recorder.Recorder
			b.ReportAllocs()
			for b.Loop() {
				r = r.WithWorkspaces(1, workspaces)
				scoper.New(workspaces, r.History())
			}
		})
	}
}
