package retrier_test

import (
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/retrier"
)

// attemptsPerRequest returns the average number of attempts per request when
// nine of ten attempts fail and each request has at most eight.
func attemptsPerRequest(limit float64) float64 {
	const (
		requests = 10_000
		attempts = 8
	)
	r := retrier.New(0.1, limit)
	sent := 0
	for range requests {
		for try := range attempts {
			if try > 0 && !r.Allow() {
				break
			}
			if sent++; sent%10 == 0 {
				r.RecordSuccess()
				break
			}
		}
	}
	return float64(sent) / requests
}

func TestBudgetBoundsAttemptsDuringOutage(t *testing.T) {
	if got := attemptsPerRequest(64); got > 1.2 {
		t.Errorf("%.2f attempts per request, want at most 1.2", got)
	}
}

// BenchmarkOutage reports the attempts per request during an outage, with the
// budget and without.
func BenchmarkOutage(b *testing.B) {
	for name, limit := range map[string]float64{"budget": 64, "none": 1e9} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(attemptsPerRequest(limit), "attempts/request")
			}
		})
	}
}
