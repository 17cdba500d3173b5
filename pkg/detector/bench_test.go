package detector_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/detector"
)

// benchmarkFeatures are those of a prompt with four shared parts.
var benchmarkFeatures = []detector.Feature{1, 2, 3, 4, 1_000}

func BenchmarkRejects(b *testing.B) {
	for name, poisons := range map[string]int{"nothing": 0, "32 poisons": 32} {
		b.Run(name, func(b *testing.B) {
			d := detector.New(newRand())
			for i := range poisons {
				d.Merge(start, detector.Evidence{Poisons: []detector.Poison{{Features: []detector.Feature{detector.Feature(100 + i)}, RemainingMS: 60_000}}})
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Rejects(start, benchmarkFeatures)
			}
		})
	}
}

func BenchmarkRecordSuccess(b *testing.B) {
	d := detector.New(newRand())
	b.ReportAllocs()
	features := append([]detector.Feature(nil), benchmarkFeatures...)
	for b.Loop() {
		features[len(features)-1]++
		d.RecordSuccess(start, model, features)
	}
}

// BenchmarkJudge judges 128 crashes with eight lost runs each.
func BenchmarkJudge(b *testing.B) {
	d := detector.New(newRand())
	d.SetJudge(true)
	for i := range 128 {
		for j := range 8 {
			d.RecordLoss(start.Add(time.Duration(i)*30*time.Millisecond), model, uint32(i), start, []detector.Feature{1, detector.Feature(100 + i%20), detector.Feature(1_000 + 8*i + j)})
		}
	}
	now := start.Add(5 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		d.Judge(now, noRuns)
	}
}
