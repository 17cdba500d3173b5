package broadcaster_test

import (
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
)

// BenchmarkLimitBytes reports the bytes that the fields of limits add to a message: the usage of 9
// workspaces, as a node of 340 reports it at 7,300 requests per second, and 256 shortages.
func BenchmarkLimitBytes(b *testing.B) {
	size := func(m *broadcaster.Message) float64 {
		data, err := packer.Pack(m)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	var usage, shortage broadcaster.Message
	for i := range 9 {
		usage.Usage.Usage = append(usage.Usage.Usage, limiter.Usage{Workspace: 1<<31 + uint32(i), Period: 100_000, Admitted: 9200, Asked: 9200, Requests: 1})
	}
	for i := range 256 {
		shortage.Shortages = append(shortage.Shortages, limiter.Shortage{Workspace: 1<<31 + uint32(i), Level: -9200, Asked: 90_000})
	}
	for b.Loop() {
		empty := size(&broadcaster.Message{})
		b.ReportMetric(size(&usage)-empty, "usage-bytes")
		b.ReportMetric(size(&shortage)-empty, "shortage-bytes")
	}
}
